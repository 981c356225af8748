//! The small language of scenarios.

#[derive(Debug, goldenscript::Command)]
pub(crate) enum Command {
    /// Starts a cluster: `cluster linked draws=1 fees=2`.
    Cluster(
        #[arg(pos, many, optional)] Vec<String>,
        #[arg(key, many)] Vec<(String, usize)>,
    ),
    /// Sends a request in the background: `send x POST fees via=0`.
    Send {
        name: String,
        method: String,
        service: String,
        #[arg(key)]
        via: usize,
        #[arg(key)]
        deadline: Option<u64>,
        #[arg(key)]
        depth: Option<u32>,
        /// Service of the nested calls.
        #[arg(key)]
        to: Option<String>,
    },
    /// Sends so many requests one after the other and prints the statuses.
    Burst {
        count: usize,
        method: String,
        service: String,
        #[arg(key)]
        via: usize,
    },
    /// Waits for the answer to a request and prints it.
    Await(Vec<String>),
    /// The caller of a request goes away.
    Leave(String),
    /// Waits until a request has begun at a backend server.
    Begun(String),
    /// Waits until a backend server has begun so many requests.
    Began(usize, u64),
    /// Prints how often a request was begun.
    Runs(Vec<String>),
    /// Waits until so many requests were cancelled at a backend server.
    Cancelled(usize, u64),
    /// Changes a backend server: `server 0 answering=silent slow=10`.
    Server(usize, #[arg(key, many)] Vec<(String, String)>),
    /// A backend server is started anew: what runs is cut, and it is cold.
    Restart(usize),
    /// Sends so many requests at once and prints how many were answered or truly refused.
    Rush {
        count: usize,
        method: String,
        service: String,
        #[arg(key)]
        via: usize,
    },
    /// Prints whether a backend server was given more than it bore.
    Breaches(Vec<usize>),
    /// A backend server takes no connections, or does again.
    Down(usize),
    Up(usize),
    /// Sends a signal to a node: `signal 1 STOP`.
    Signal(usize, String),
    Kill(usize),
    Start(usize),
    /// Waits until a node takes work, or until it is in another phase.
    Ready(usize),
    /// Waits until a node ends by itself and prints its exit code.
    Exit(usize),
    /// Changes the link to a node: `link 1 deaf`.
    Link(usize, String),
    /// Changes the platform: `platform down`, `platform stale=1`, `platform up`.
    Platform(String),
    /// Publishes a change: `publish zone a out`.
    Publish(Vec<String>),
    /// Shows a host as leaving on the platform's list.
    Leaving(usize),
    /// Waits until nodes have a revision in force: `in_force 2 0 1`.
    InForce(u64, Vec<usize>),
    /// Publishes the same change twice, as two operators who don't know of each other.
    Race(Vec<String>),
    /// Prints the faults of the last rejected note on each node.
    Faults(Vec<usize>),
    /// Waits until the gates of nodes take no new work, or do again.
    Closed(Vec<usize>),
    Open(Vec<usize>),
    /// Prints whether a backend server began anything since the last look.
    Idle(usize),
    /// Prints the revisions that nodes have in force.
    Revisions(Vec<usize>),
    Sleep(u64),
}
