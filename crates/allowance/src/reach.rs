//! Which part of the fleet a node reaches.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use types::{Moment, Span, TeamId, ZoneId};

use crate::{SETTLED, TAKEOVER, first_owner};

/// Time without an answer from an availability zone after which it counts as cut off: below [`TAKEOVER`], so that
/// an owner reduces its rate before another one starts.
const CUT_AFTER: Span = Span::from_millis(900);
/// Time for which an answer makes another probe needless.
const FRESH: Span = Span::from_millis(250);
/// Time for which a smaller share holds on after a cut, while a successor learns that its owner is back.
const HOLD: Span = Span::from_millis(1_000);
/// Time after the last question about it for which a lost member is probed.
const DEMAND: Span = Span::from_millis(5_000);

/// A node of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Address of the node for its peers.
    pub node: SocketAddr,
    /// Availability zone of its host.
    pub zone: ZoneId,
}

/// A message whose answer shows that a member is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The member.
    pub to: SocketAddr,
    /// The member that passes the message on, if there is no direct way.
    pub via: Option<SocketAddr>,
}

/// What a node does with a question about a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stand {
    /// It passes the question on to this member.
    Pass(SocketAddr),
    /// It can't reach a member that may still be the owner.
    Unreached,
    /// It is the owner.
    Own {
        /// When it took over. Zero if it is the first in the order.
        since: Moment,
    },
}

#[derive(Debug, Clone, Copy)]
struct Lost {
    since: Moment,
    failed_at: Moment,
    wanted_at: Moment,
}

/// Answers of members, and what follows from them.
#[derive(Debug)]
pub struct Reach {
    own: SocketAddr,
    members: Vec<Member>,
    /// Earlier members of the last seconds, and until when they were.
    former: VecDeque<(Moment, Vec<Member>)>,
    /// Latest answer of each availability zone, and the member that gave it without a relay.
    zones: HashMap<ZoneId, (Moment, Option<SocketAddr>)>,
    lost: HashMap<SocketAddr, Lost>,
    /// Shares of the last second.
    shares: VecDeque<(Moment, f64)>,
    cursor: usize,
    started_at: Moment,
}

impl Reach {
    /// A node that has just started.
    pub fn new(own: SocketAddr, now: Moment) -> Self {
        Self {
            own,
            members: Vec::new(),
            former: VecDeque::new(),
            zones: HashMap::new(),
            lost: HashMap::new(),
            shares: VecDeque::new(),
            cursor: 0,
            started_at: now,
        }
    }

    /// Sets the members of the fleet.
    pub fn set_members(&mut self, members: Vec<Member>, now: Moment) {
        if members == self.members {
            return;
        }
        self.former.retain(|(until, _)| now.since(*until) < SETTLED);
        let former = std::mem::take(&mut self.members);
        self.former.push_back((now, former));
        self.lost
            .retain(|node, _| members.iter().any(|m| m.node == *node));
        self.members = members;
    }

    /// Returns the members of the fleet.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns since when this node is the first owner of a team, as far back as grants of another one count.
    pub fn owned_since(&self, team: &TeamId) -> Moment {
        let former = self.former.iter().rev();
        let mut foreign =
            former.filter(|(_, members)| first_owner(team, members) != Some(self.own));
        foreign.next().map(|(until, _)| *until).unwrap_or_default()
    }

    /// Records an answer of a member to a message that was sent at `sent_at`.
    pub fn answered(&mut self, node: SocketAddr, is_direct: bool, sent_at: Moment) {
        self.lost.remove(&node);
        let Some(member) = self.members.iter().find(|m| m.node == node) else {
            return;
        };
        let direct = is_direct.then_some(node);
        let zone = self.zones.entry(member.zone.clone()).or_default();
        *zone = (zone.0.max(sent_at), direct.or(zone.1));
    }

    /// Records that a member was reached neither directly nor through others.
    pub fn failed(&mut self, node: SocketAddr, now: Moment) {
        let lost = self.lost.entry(node).or_insert(Lost {
            since: now,
            failed_at: now,
            wanted_at: now,
        });
        lost.failed_at = now;
    }

    /// Whether a message to a member has failed just now.
    pub fn is_failing(&self, node: SocketAddr, now: Moment) -> bool {
        let lost = self.lost.get(&node);
        lost.is_some_and(|lost| now.since(lost.failed_at) < FRESH)
    }

    /// Returns members, one of each availability zone but that of `node`, that may pass a message on to it.
    pub fn relays(&self, node: SocketAddr) -> Vec<SocketAddr> {
        let zone = self.members.iter().find(|m| m.node == node);
        let zone = zone.map(|m| &m.zone);
        let others = self.zones.iter().filter(|(id, _)| Some(*id) != zone);
        let mut relays: Vec<_> = others
            .filter_map(|(_, (_, relay))| *relay)
            .filter(|relay| *relay != node && *relay != self.own)
            .collect();
        relays.sort();
        relays
    }

    /// Returns the messages that are due, and updates the share. To be called several times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Probe> {
        self.cursor = self.cursor.wrapping_add(1);
        self.lost
            .retain(|_, lost| now.since(lost.wanted_at) < DEMAND);
        let mut due: Vec<Probe> = Vec::new();
        for zone in self.zone_ids() {
            let answered_at = self.answered_at(&zone);
            if now.since(answered_at) < FRESH && answered_at > Moment::default() {
                continue;
            }
            let peers = self.members.iter();
            let peers = peers.filter(|m| m.zone == zone && m.node != self.own);
            let peers: Vec<_> = peers.map(|m| m.node).collect();
            if peers.is_empty() {
                continue;
            }
            let to = peers[self.cursor % peers.len()];
            due.push(Probe { to, via: None });
            if now.since(answered_at) >= FRESH.scale(2.0) {
                let relays = self.relays(to).into_iter();
                due.extend(relays.map(|via| Probe { to, via: Some(via) }));
            }
        }
        for (node, lost) in &self.lost {
            if now.since(lost.failed_at) >= FRESH {
                due.push(Probe {
                    to: *node,
                    via: None,
                });
                let relays = self.relays(*node).into_iter();
                due.extend(relays.map(|via| Probe {
                    to: *node,
                    via: Some(via),
                }));
            }
        }
        // A node that has just started has no answers yet.
        if !self.zones.is_empty() || now.since(self.started_at) >= CUT_AFTER {
            self.shares.push_back((now, self.present_share(now)));
        }
        while self
            .shares
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HOLD)
        {
            self.shares.pop_front();
        }
        due
    }

    /// Returns the share of the fleet that the node reaches, the smallest one of the last second.
    pub fn share(&self) -> f64 {
        let shares = self.shares.iter().map(|(_, share)| *share);
        shares.reduce(f64::min).unwrap_or_default()
    }

    /// Returns what this node does with a question about a team whose owners are in this order.
    pub fn stand(&mut self, order: &[Member], now: Moment) -> Stand {
        let mut since = Moment::default();
        for member in order.iter().take_while(|m| m.node != self.own) {
            let zone_since = match self.answered_at(&member.zone) {
                at if now.since(at) >= TAKEOVER => Some(at.max(self.started_at)),
                _ => None,
            };
            let lost = self.lost.get_mut(&member.node);
            let lost_since = match lost {
                Some(lost) => {
                    lost.wanted_at = now;
                    Some(lost.since)
                }
                None => None,
            };
            // One that fails since a while may be slow to notice that its whole zone is cut off.
            let earliest = match (zone_since, lost_since) {
                (Some(zone), Some(lost)) => Some(zone.min(lost)),
                (zone, lost) => zone.or(lost),
            };
            match earliest {
                None => return Stand::Pass(member.node),
                Some(at) if now.since(at) < TAKEOVER => return Stand::Unreached,
                Some(at) => since = since.max(at + TAKEOVER),
            }
        }
        match order.iter().any(|m| m.node == self.own) {
            true => Stand::Own { since },
            false => Stand::Unreached,
        }
    }

    fn answered_at(&self, zone: &ZoneId) -> Moment {
        self.zones.get(zone).map(|(at, _)| *at).unwrap_or_default()
    }

    fn zone_ids(&self) -> Vec<ZoneId> {
        let mut ids: Vec<_> = self.members.iter().map(|m| m.zone.clone()).collect();
        ids.sort();
        ids.dedup();
        ids
    }

    fn present_share(&self, now: Moment) -> f64 {
        let is_reached = |zone: &ZoneId| {
            let at = self.answered_at(zone);
            at > Moment::default() && now.since(at) < CUT_AFTER
        };
        let reached = self.members.iter();
        let reached = reached.filter(|m| m.node == self.own || is_reached(&m.zone));
        match self.members.len() {
            0 => 0.0,
            all => reached.count() as f64 / all as f64,
        }
    }
}
