//! State that the components of one node share, published over watch channels.
//!
//! Each channel has one writer, except `leaving`, `quarantine` and `phase`, and any number of components
//! read it or wait for it to change. Components depend on the board and not on each other:
//!
//! | channel | writer | readers |
//! |---|---|---|
//! | `view` | `ViewSync` | `GateActor`, ingress, peer server, admin API |
//! | `lease` | `ViewSync` | `GateActor`, admin API |
//! | `keys` | `ViewSync` | ingress, peer server, admin API |
//! | `hosts` | `ViewSync` | `GateActor`, ingress |
//! | `leaving` | any, through [`Board::mark_leaving`] | `GateActor`, ingress, `ViewSync` |
//! | `quarantine` | any, by merging | `GateActor`, ingress, `ViewSync` |
//! | `joined` | `ViewSync`, through [`Board::join`] | `GateActor`, ingress, `ViewSync`, peer server |
//! | `phase` | `ViewSync` (ready, through [`Board::join`]), lifecycle (leaving, stopping, exiting) | all |
//! | `stop_at` | lifecycle | `GateActor`, ingress |

mod clock;

use std::{net::SocketAddr, sync::Arc};

use fleet::{KeyLease, Lease, LeavingServers, Quarantine};
use note::{Server, State, View};
use platform::{HostList, HostStatus};
use serde::Serialize;
use tokio::sync::watch;
use types::{Boot, HostId, Moment, ServerId, Stamp, ZoneId};

pub use clock::Clock;

/// Phase of a node's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The node's view may be older than that of its peers. A node that is stopped before it has joined leaves
    /// this phase all the same, see [`Board::has_joined`].
    Joining,
    /// The node accepts new requests.
    Ready,
    /// The node announces that it is about to stop, and accepts requests for a while so that
    /// callers can move away.
    Leaving,
    /// The node refuses new requests and completes those in progress.
    Stopping,
    /// The node is about to exit: queued requests are refused, and only those that run are completed.
    Exiting,
}

impl Phase {
    /// Whether new requests are refused as the node stops.
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::Exiting)
    }
}

/// Identity of a node.
#[derive(Debug, Clone, Serialize)]
pub struct Identity {
    /// Host that the node runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address that the node listens on for its peers.
    pub node: SocketAddr,
    /// Incarnation of the process: a random number drawn at each start.
    pub boot: Boot,
}

/// State shared by the components of a node.
#[derive(Debug)]
pub struct Board {
    /// Identity of the node.
    pub identity: Identity,
    /// Clock that all moments in this process are read from.
    pub clock: Clock,
    /// Configuration in force: the result of all accepted release notes, or a snapshot of
    /// the registry.
    pub view: watch::Sender<Arc<View>>,
    /// Stamp up to which the configuration in `view` has been compared with the registry. It is written
    /// after `view`, so a reader of both reads it first.
    pub checked: watch::Sender<Stamp>,
    /// Lease on the view: the time until which the view may be used without confirmation.
    pub lease: watch::Sender<Lease>,
    /// Lease on the teams' keys, `None` if they are served while the view is. It is written after `view`.
    pub keys: watch::Sender<Option<KeyLease>>,
    /// The platform's list of hosts and their status.
    pub hosts: watch::Sender<Arc<HostList>>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: watch::Sender<LeavingServers>,
    /// Evidence about requests under which backend servers ended.
    pub quarantine: watch::Sender<Quarantine>,
    /// Whether the view has been as new as that of the peers since the process started. Without that, a node judges
    /// no request, whatever its phase.
    pub joined: watch::Sender<bool>,
    /// Phase of the node's lifecycle.
    pub phase: watch::Sender<Phase>,
    /// When a stopping node exits, whether or not its requests are completed. It is written before `phase`.
    pub stop_at: watch::Sender<Moment>,
}

impl Board {
    /// Returns the board of a starting node: an empty view, an expired lease and phase `Joining`.
    pub fn new(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            identity,
            clock: Clock::start(),
            view: watch::Sender::default(),
            checked: watch::Sender::default(),
            lease: watch::Sender::default(),
            keys: watch::Sender::default(),
            hosts: watch::Sender::default(),
            leaving: watch::Sender::default(),
            quarantine: watch::Sender::default(),
            joined: watch::Sender::new(false),
            phase: watch::Sender::new(Phase::Joining),
            stop_at: watch::Sender::new(Moment::MAX),
        })
    }

    /// Returns the view in force.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the phase of the node's lifecycle.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns whether the view has been as new as that of the peers since the process started.
    pub fn has_joined(&self) -> bool {
        *self.joined.borrow()
    }

    /// Records that the view is as new as that of the peers. A node that isn't stopping becomes ready; returns
    /// whether it did.
    pub fn join(&self) -> bool {
        self.joined.send_replace(true);
        self.phase.send_if_modified(|phase| {
            let is_joining = *phase == Phase::Joining;
            if is_joining {
                *phase = Phase::Ready;
            }
            is_joining
        })
    }

    /// Returns the backend server on this node's host, `None` if the view has none.
    pub fn own_server(&self) -> Option<Server> {
        self.view
            .borrow()
            .state
            .server_on(&self.identity.host)
            .cloned()
    }

    /// Returns whether the platform's list marks a host as about to be stopped.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.hosts.borrow().get(host) == Some(&HostStatus::Leaving)
    }

    /// Returns whether a backend server may get new requests according to the view and the host
    /// list.
    pub fn accepts_requests(&self, id: &ServerId) -> bool {
        let view = self.view.borrow();
        let server = view.state.server(id);
        server.is_some_and(|s| {
            view.state.is_in_service(s)
                && !self.is_leaving(&s.host)
                && !self.has_said_leaving(&view.state, id)
        })
    }

    /// Returns whether the current incarnation of a backend server has said that it is leaving.
    pub fn has_said_leaving(&self, state: &State, id: &ServerId) -> bool {
        let incarnation = state.incarnation_of(id);
        incarnation.is_some_and(|incarnation| self.leaving.borrow().contains(id, incarnation))
    }

    /// Records that an incarnation of a backend server has said that it is leaving. Returns whether
    /// that is new.
    pub fn mark_leaving(&self, id: &ServerId, incarnation: Boot) -> bool {
        let mark = |servers: &mut LeavingServers| servers.insert(id.clone(), incarnation);
        self.leaving.send_if_modified(mark)
    }
}
