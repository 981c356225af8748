//! The blackboard of one process: what its controllers share.
//!
//! Each section has one controller that writes it and any number that read it or wait for it to
//! change. Controllers know the board, not each other:
//!
//! | section | writer | readers |
//! |---|---|---|
//! | `view` | spreader | gatekeeper, ingress, admin |
//! | `lease` | spreader | gatekeeper, admin |
//! | `hosts` | spreader | gatekeeper, ingress, admin |
//! | `phase` | spreader (ready), operations (leaving, stopping) | all |

mod clock;

use std::{net::SocketAddr, sync::Arc};

use fleet::Lease;
use note::{Server, View};
use platform::{HostList, HostStatus};
use serde::Serialize;
use tokio::sync::watch;
use types::{Boot, HostId, ServerId, ZoneId};

pub use clock::Clock;

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It has no view yet that is as new as its peers'.
    Joining,
    /// It takes work.
    Ready,
    /// It is about to stop and says so, and takes work until callers have gone elsewhere.
    Leaving,
    /// It takes no new work and finishes what it has.
    Stopping,
}

/// Who this process is.
#[derive(Debug, Clone, Serialize)]
pub struct Identity {
    /// Host that it runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address at which it hears its peers.
    pub node: SocketAddr,
    /// Incarnation of the process.
    pub boot: Boot,
}

/// The blackboard.
#[derive(Debug)]
pub struct Board {
    /// Who this process is.
    pub identity: Identity,
    /// The clock of all moments in this process.
    pub clock: Clock,
    /// The release notes in force.
    pub view: watch::Sender<Arc<View>>,
    /// For how long the view may be acted on.
    pub lease: watch::Sender<Lease>,
    /// The platform's list of hosts.
    pub hosts: watch::Sender<Arc<HostList>>,
    /// Where the process is in its life.
    pub phase: watch::Sender<Phase>,
}

impl Board {
    /// The board of a process that starts.
    pub fn new(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            identity,
            clock: Clock::start(),
            view: watch::Sender::default(),
            lease: watch::Sender::default(),
            hosts: watch::Sender::default(),
            phase: watch::Sender::new(Phase::Joining),
        })
    }

    /// The view in force.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Where the process is in its life.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// The backend server beside this process, if the view knows one.
    pub fn own_server(&self) -> Option<Server> {
        self.view
            .borrow()
            .state
            .server_on(&self.identity.host)
            .cloned()
    }

    /// Whether the platform's list says that a host is about to be stopped.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.hosts.borrow().get(host) == Some(&HostStatus::Leaving)
    }

    /// Whether notes and platform let this backend server take new work.
    pub fn accepts_requests(&self, id: &ServerId) -> bool {
        let view = self.view.borrow();
        let server = view.state.server(id);
        server.is_some_and(|s| view.state.takes_work(s) && !self.is_leaving(&s.host))
    }
}
