//! Commands that the goldenscripts below `scripts/` may use.

#[derive(Debug, goldenscript::Command)]
pub(crate) enum Command {
    /// Starts a cluster with this many backend servers per service:
    /// `cluster linked draws=1 fees=2`. `linked` puts a proxy in front of each node, `cold` starts
    /// backend servers cold, and `slow` gives them a service time of 300 ms.
    Cluster(
        #[arg(pos, many, optional)] Vec<String>,
        #[arg(key, many)] Vec<(String, usize)>,
    ),
    /// Sends a request in the background: `send x POST fees via=0`.
    Send {
        name: String,
        method: String,
        service: String,
        /// Index of the node that receives the request.
        #[arg(key)]
        via: usize,
        /// Milliseconds that the request names as its deadline.
        #[arg(key)]
        deadline: Option<u64>,
        /// Levels of nested requests.
        #[arg(key)]
        depth: Option<u32>,
        /// Service that the nested requests go to.
        #[arg(key)]
        to: Option<String>,
    },
    /// Sends `count` requests one after the other and prints how often each result occurred.
    Burst {
        count: usize,
        method: String,
        service: String,
        #[arg(key)]
        via: usize,
    },
    /// Waits for the responses to requests and prints their results.
    Await(Vec<String>),
    /// Disconnects the caller of a request.
    Leave(String),
    /// Waits until a request has started at a backend server.
    Begun(String),
    /// Waits until a backend server has started this many requests.
    Began(usize, u64),
    /// Prints how often requests were started on any backend server.
    Runs(Vec<String>),
    /// Waits until this many requests were cancelled at a backend server.
    Cancelled(usize, u64),
    /// Changes the behavior of a backend server: `server 0 answering=silent slow=10`.
    Server(usize, #[arg(key, many)] Vec<(String, String)>),
    /// Restarts a backend server: its running requests are cut, and it starts cold.
    Restart(usize),
    /// Sends `count` requests at once and prints how many got a complete response or were refused
    /// as not run.
    Rush {
        count: usize,
        method: String,
        service: String,
        #[arg(key)]
        via: usize,
    },
    /// Prints how many requests backend servers started beyond their concurrency limits.
    Breaches(Vec<usize>),
    /// Makes a backend server refuse connections.
    Down(usize),
    /// Makes a backend server accept connections again.
    Up(usize),
    /// Sends a signal to a node: `signal 1 STOP`.
    Signal(usize, String),
    Kill(usize),
    Start(usize),
    /// Waits until a node is ready.
    Ready(usize),
    /// Waits until a node exits by itself and prints its exit code.
    Exit(usize),
    /// Changes the faults of the proxy in front of a node: `link 1 deaf`.
    Link(usize, String),
    /// Changes the faults of the platform: `platform down`, `platform stale-1`, `platform up`.
    Platform(String),
    /// Publishes a release note: `publish zone a out`, `publish server 1 leaving`.
    Publish(Vec<String>),
    /// Marks a host as leaving in the platform's host list.
    Leaving(usize),
    /// Waits until nodes apply a revision: `in_force 2 0 1`.
    InForce(u64, Vec<usize>),
    /// Publishes the same change twice with the same base revision, as two concurrent operators do.
    Race(Vec<String>),
    /// Prints the faults of the last rejected release note on each node.
    Faults(Vec<usize>),
    /// Waits until the gates of nodes accept no new work.
    Closed(Vec<usize>),
    /// Waits until the gates of nodes accept new work.
    Open(Vec<usize>),
    /// Prints whether a backend server started any request since the previous `idle` command.
    Idle(usize),
    /// Prints the revisions that nodes apply.
    Revisions(Vec<usize>),
    /// Sleeps for this many milliseconds.
    Sleep(u64),
}
