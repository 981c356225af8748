//! The backend servers of a service that one ingress uses.

use std::collections::HashMap;

use types::{Boot, ZoneId};

use crate::{rendezvous::rendezvous_hash, server::Member};

/// Maximum backend servers of one service that an ingress uses. Other ingresses use the rest.
const MAX_SERVERS: usize = 12;
/// Servers of each other zone that an ingress uses in addition, so that it hears of all zones.
const FAR_SERVERS: usize = 3;
/// Maximum servers of all other zones that it uses in addition.
const MAX_FAR_SERVERS: usize = 12;

/// The members that an ingress uses: local ones first. With `knows_all`, some of each other zone are
/// among them.
pub(crate) fn subset(mut members: Vec<Member>, ingress: Boot, knows_all: bool) -> Vec<Member> {
    members.sort_by_cached_key(|m| (!m.local, rendezvous_hash(ingress, &m.id)));
    if !knows_all {
        members.truncate(MAX_SERVERS);
        return members;
    }
    let mut ranks: HashMap<ZoneId, usize> = HashMap::new();
    let mut places = Vec::with_capacity(members.len());
    for member in &members {
        let rank = ranks.entry(member.zone.clone()).or_default();
        places.push(match member.local {
            true => (*rank >= MAX_SERVERS, 0),
            false => (*rank >= FAR_SERVERS, *rank),
        });
        *rank += 1;
    }
    let needed = |local| {
        let pairs = members.iter().zip(&places);
        pairs
            .filter(|(m, (is_rest, _))| m.local == local && !is_rest)
            .count()
    };
    let count = needed(true) + needed(false).min(MAX_FAR_SERVERS);
    let mut ranked: Vec<_> = places.into_iter().zip(members).collect();
    ranked.sort_by_key(|((is_rest, rank), member)| (*is_rest, !member.local, *rank));
    ranked.truncate(count.max(MAX_SERVERS));
    ranked.into_iter().map(|(_, member)| member).collect()
}
