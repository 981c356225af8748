//! Tests of a registry that comes back from an older copy of its contents.
//!
//! The first tests show one rule each. The last one plays drills over many seeds: nodes read the
//! registry at random times and exchange parts, some are cut off, and one starts during the drill.

use std::{collections::BTreeSet, net::SocketAddr};

use fleet::{HeldZones, Snapshot};
use note::{ListedServer, Listing, OperatorConfig, Server, ServerStatus};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::{Boot, Era, Moment, Revision, Span, Stamp, ZoneId};

const NOW: Moment = Moment(10_000_000);

fn stamp(era: u64, revision: u64) -> Stamp {
    Stamp {
        era: Era(era),
        revision: Revision(revision),
    }
}

fn listed(name: &str, seq: u64) -> ListedServer {
    let port = 1_000 + name.bytes().map(u16::from).sum::<u16>();
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let server = Server {
        id: name.parse().expect("a valid identifier"),
        service: "draws".parse().expect("a valid identifier"),
        zone: "nadi".parse().expect("a valid identifier"),
        host: name.parse().expect("a valid identifier"),
        node: address,
        address,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: None,
    };
    ListedServer { server, seq }
}

fn listing(stamp: Stamp, servers: &[ListedServer]) -> Listing {
    Listing {
        stamp,
        servers: servers.to_vec(),
        ..Listing::default()
    }
}

fn config(stamp: Stamp, version: u64, zones_out: &[&str]) -> OperatorConfig {
    let zone = |name: &&str| -> ZoneId { name.parse().expect("a valid identifier") };
    OperatorConfig {
        stamp,
        version,
        zones_out: zones_out.iter().map(zone).collect(),
        ..OperatorConfig::default()
    }
}

fn names(snapshot: &Snapshot) -> BTreeSet<String> {
    let servers = snapshot.view().state.servers.keys();
    servers.map(ToString::to_string).collect()
}

fn zones_out(snapshot: &Snapshot) -> Vec<String> {
    let zones = snapshot.view().state.zones.values();
    let out = zones.filter(|z| z.item.status == note::ZoneStatus::Out);
    out.map(|z| z.item.id.to_string()).collect()
}

fn after(ms: u64) -> Moment {
    NOW + Span::from_millis(ms)
}

#[test]
fn a_lower_revision_of_a_newer_era_is_newer() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(stamp(1, 100), &[listed("a", 5)]), NOW);
    assert!(snapshot.update_listing(
        listing(stamp(2, 90), &[listed("a", 5), listed("b", 1)]),
        NOW
    ));
    let change = snapshot.take_era_change().expect("a change of era");
    assert_eq!((change.before, change.after), (stamp(1, 100), stamp(2, 90)));
    assert_eq!((change.retained, change.added), (0, 1));
    assert_eq!(snapshot.take_era_change(), None);
    assert!(
        !snapshot.update_listing(listing(stamp(1, 120), &[]), NOW),
        "of the older era"
    );
}

#[test]
fn backend_servers_that_the_copy_lacks_are_retained_until_they_are_written_again() {
    let mut snapshot = Snapshot::default();
    let both = [listed("a", 5), listed("b", 1)];
    snapshot.update_listing(listing(stamp(1, 100), &both), NOW);
    snapshot.update_listing(listing(stamp(2, 90), &both[..1]), NOW);
    assert_eq!(names(&snapshot).len(), 2);
    let again = [listed("a", 6), listed("b", 2)];
    snapshot.update_listing(listing(stamp(2, 95), &again), after(1_500));
    snapshot.expire(after(10_000));
    assert_eq!(names(&snapshot).len(), 2);
}

#[test]
fn a_backend_server_that_is_never_written_again_is_dropped() {
    let mut snapshot = Snapshot::default();
    let both = [listed("a", 5), listed("b", 1)];
    snapshot.update_listing(listing(stamp(1, 100), &both), NOW);
    snapshot.update_listing(listing(stamp(2, 90), &both[..1]), NOW);
    let expiry = snapshot.next_expiry().expect("a retained entry");
    assert!(expiry <= after(3_000));
    assert!(snapshot.expire(expiry));
    assert_eq!(names(&snapshot).len(), 1);
}

#[test]
fn a_removed_backend_server_in_the_copy_returns_only_with_a_further_heartbeat() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(stamp(1, 100), &[listed("a", 5)]), NOW);
    snapshot.update_listing(listing(stamp(1, 110), &[]), NOW);
    // The copy has a heartbeat that this node hasn't seen before the removal.
    snapshot.update_listing(listing(stamp(2, 105), &[listed("a", 7)]), NOW);
    assert!(names(&snapshot).is_empty());
    snapshot.update_listing(listing(stamp(2, 106), &[listed("a", 7)]), after(200));
    assert!(names(&snapshot).is_empty());
    snapshot.update_listing(listing(stamp(2, 107), &[listed("a", 8)]), after(1_500));
    assert_eq!(names(&snapshot).len(), 1);
}

#[test]
fn an_older_configuration_in_the_copy_replaces_nothing() {
    let mut snapshot = Snapshot::default();
    snapshot.update_config(config(stamp(1, 100), 7, &[]), NOW);
    let digest = snapshot.view().digest;
    assert!(!snapshot.update_config(config(stamp(2, 90), 5, &[]), NOW));
    assert!(!snapshot.update_config(config(stamp(2, 93), 7, &[]), NOW));
    assert_eq!(snapshot.view().digest, digest);
    assert!(snapshot.update_config(config(stamp(2, 94), 8, &[]), NOW));
}

#[test]
fn zones_stay_out_until_the_new_era_has_had_time_to_show_either_way() {
    let mut snapshot = Snapshot::default();
    snapshot.update_config(config(stamp(1, 100), 7, &["nadi"]), NOW);
    snapshot.update_config(config(stamp(2, 90), 7, &["ba"]), NOW);
    assert_eq!(zones_out(&snapshot), ["ba", "nadi"]);
    let expiry = snapshot.next_expiry().expect("a held zone");
    assert!(snapshot.expire(expiry));
    assert_eq!(zones_out(&snapshot), ["ba"]);
}

#[test]
fn a_node_that_starts_after_the_drill_takes_version_and_held_zones_from_a_peer() {
    let mut old = Snapshot::default();
    old.update_config(config(stamp(1, 100), 7, &["nadi"]), NOW);
    old.update_config(config(stamp(2, 90), 5, &[]), NOW);
    let mut new = Snapshot::default();
    new.update_config(config(stamp(2, 91), 5, &[]), after(500));
    new.merge(old.parts(new.digests(), after(1_000)), after(1_000));
    assert_eq!(zones_out(&new), ["nadi"]);
    assert_eq!(new.digests(), old.digests());
    let expiry = new.next_expiry().expect("a held zone");
    assert_eq!(expiry, old.next_expiry().expect("a held zone"));
}

#[test]
fn zones_that_operators_wrote_again_are_known_to_peers_before_held_ones_expire() {
    let mut nodes = [Snapshot::default(), Snapshot::default()];
    for node in &mut nodes {
        node.update_config(config(stamp(1, 100), 7, &["nadi"]), NOW);
        node.update_zones(Vec::new(), stamp(2, 90), after(100));
    }
    let [reader, other] = &mut nodes;
    assert_eq!(reader.digests(), other.digests());
    let written = config(stamp(2, 95), 7, &["nadi"]).zones_out;
    let is_new = reader.update_zones(written, stamp(2, 95), after(1_900));
    assert!(is_new, "peers are told");
    assert_ne!(reader.digests(), other.digests(), "a comparison shows it");
    other.merge(reader.parts(other.digests(), after(1_950)), after(1_950));
    assert_eq!(reader.digests(), other.digests());
    for node in &mut nodes {
        assert!(!node.expire(after(3_100)), "nothing changes");
        assert_eq!(zones_out(node), ["nadi"]);
    }
}

#[test]
fn zones_that_stay_out_by_the_registry_alone_make_no_other_view() {
    let mut drilled = Snapshot::default();
    drilled.update_config(config(stamp(1, 100), 7, &["nadi"]), NOW);
    drilled.update_config(config(stamp(2, 95), 7, &["nadi"]), after(100));
    let mut started = Snapshot::default();
    started.update_config(config(stamp(2, 95), 7, &["nadi"]), after(200));
    assert_eq!(drilled.digests(), started.digests());
}

#[test]
fn held_zones_are_not_extended_by_peers() {
    let mut snapshot = Snapshot::default();
    snapshot.update_config(config(stamp(1, 100), 7, &["nadi"]), NOW);
    snapshot.update_config(config(stamp(2, 90), 7, &[]), NOW);
    let expiry = snapshot.next_expiry();
    let held = HeldZones {
        era: Era(2),
        zones: vec!["nadi".parse().expect("a valid identifier")],
        left: Span::from_millis(60_000),
    };
    let mut parts = Snapshot::default().parts(snapshot.digests(), NOW);
    parts.held = Some(held);
    snapshot.merge(parts, after(100));
    assert_eq!(snapshot.next_expiry(), expiry);
}

/// A copy of the registry's contents.
#[derive(Debug, Clone)]
struct Copied {
    at: Moment,
    stored: Vec<ListedServer>,
    version: u64,
    evacuated: bool,
    revision: u64,
    config_revision: u64,
}

/// A registry with its backend servers and operators, which write again what a drill loses.
struct World {
    rng: SmallRng,
    era: u64,
    revision: u64,
    version: u64,
    stored_version: u64,
    /// Revision at which the configuration was last written.
    config_revision: u64,
    evacuated: bool,
    stored_evacuated: bool,
    /// Sequence number of each live backend server.
    live: Vec<(String, u64)>,
    stored: Vec<ListedServer>,
    /// Backend servers that have left, and when.
    left: Vec<(String, Moment)>,
    copies: Vec<Copied>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            era: 1,
            revision: 100,
            version: 5,
            stored_version: 5,
            config_revision: 100,
            evacuated: false,
            stored_evacuated: false,
            live: (0..8).map(|i| (format!("s{i}"), 1)).collect(),
            stored: Vec::new(),
            left: Vec::new(),
            copies: Vec::new(),
        }
    }

    /// Lets all live backend servers and the operators write what they know.
    fn beat(&mut self) {
        for (name, seq) in &mut self.live {
            *seq += 1;
            let entry = listed(name, *seq);
            self.stored.retain(|l| l.server.id != entry.server.id);
            self.stored.push(entry);
        }
        self.revision += 1;
        self.write_config();
    }

    fn write_config(&mut self) {
        if self.stored_version != self.version {
            self.config_revision = self.revision;
        }
        (self.stored_version, self.stored_evacuated) = (self.version, self.evacuated);
    }

    /// Applies one change of operators or backend servers.
    fn change(&mut self, now: Moment) {
        self.revision += 1;
        match self.rng.random_range(0..4) {
            0 => self.version += 1,
            1 => self.evacuated = !self.evacuated,
            2 => {
                let name = format!("n{}", self.revision);
                self.stored.push(listed(&name, 1));
                self.live.push((name, 1));
            }
            _ if self.live.len() > 4 => {
                let at = self.rng.random_range(0..self.live.len());
                let (name, _) = self.live.remove(at);
                self.stored.retain(|l| l.server.id.as_str() != name);
                self.left.push((name, now));
            }
            _ => {}
        }
        self.write_config();
    }

    fn copy(&mut self, now: Moment) {
        let copy = Copied {
            at: now,
            stored: self.stored.clone(),
            version: self.stored_version,
            evacuated: self.stored_evacuated,
            revision: self.revision,
            config_revision: self.config_revision,
        };
        self.copies.push(copy);
    }

    fn restore(&mut self, age: Span, now: Moment) {
        let fits = |c: &&Copied| c.at + age <= now;
        let Some(copy) = self.copies.iter().rev().find(fits).cloned() else {
            return;
        };
        (self.era, self.revision) = (self.era + 1, copy.revision);
        self.stored = copy.stored;
        self.config_revision = copy.config_revision;
        (self.stored_version, self.stored_evacuated) = (copy.version, copy.evacuated);
    }

    fn read(&self, snapshot: &mut Snapshot, now: Moment) {
        let stamp = stamp(self.era, self.revision);
        snapshot.update_listing(listing(stamp, &self.stored), now);
        let out: &[&str] = if self.stored_evacuated {
            &["nadi"]
        } else {
            &[]
        };
        let config = config(stamp, self.stored_version, out);
        snapshot.update_zones(config.zones_out.clone(), stamp, now);
        // The configuration is read only if it may have changed.
        let unchanged = snapshot.checked().is_some_and(|known| {
            let changed_at = self.config_revision;
            known.era == stamp.era && known <= stamp && known.revision.0 >= changed_at
        });
        match unchanged {
            true => snapshot.confirm_config(stamp),
            false => {
                let checked = stamp;
                snapshot.update_from_registry(OperatorConfig { checked, ..config }, now);
            }
        }
    }
}

/// Plays 20 s with a drill at 8 s and, for some seeds, another at 9 s, and checks the promises of
/// each node.
fn play(seed: u64) {
    const NODES: usize = 6;
    let mut world = World::new(seed);
    let mut nodes = vec![Snapshot::default(); NODES];
    let age = Span::from_millis(world.rng.random_range(500..6_000));
    let (second, isolated) = (seed.is_multiple_of(3), seed.is_multiple_of(2));
    for step in 0..400_u64 {
        let now = after(step * 50);
        if step % 30 == 0 {
            world.beat();
        }
        if step % 10 == 0 {
            world.copy(now);
        }
        // Nothing changes just before the first drill, so that all nodes know what is lost.
        if step % 17 == 5 && (step < 130 || (260..340).contains(&step)) {
            world.change(now);
        }
        if step == 160 || (second && step == 180) {
            world.restore(age, now);
        }
        if step == 165 {
            nodes[0] = Snapshot::default();
        }
        let reader = world.rng.random_range(0..NODES);
        let cut_off = |node: usize| isolated && node == 1 && (155..200).contains(&step);
        if !cut_off(reader) && !(150..=162).contains(&step) {
            world.read(&mut nodes[reader], now);
        }
        for _ in 0..3 {
            let (from, to) = (
                world.rng.random_range(0..NODES),
                world.rng.random_range(0..NODES),
            );
            if from != to && !cut_off(from) && !cut_off(to) {
                let parts = nodes[from].parts(nodes[to].digests(), now);
                nodes[to].merge(parts, now);
                let checked = nodes[from].checked();
                if nodes[from].view().digest == nodes[to].view().digest {
                    nodes[to].confirm_config(checked.unwrap_or_default());
                }
            }
        }
        for (node, snapshot) in nodes.iter_mut().enumerate() {
            snapshot.expire(now);
            check(snapshot, node, &world, step, seed);
        }
    }
    for snapshot in &nodes {
        assert_eq!(
            snapshot.digests(),
            nodes[0].digests(),
            "seed {seed}: nodes converge"
        );
    }
}

fn check(snapshot: &Snapshot, node: usize, world: &World, step: u64, seed: u64) {
    let context = format!("seed {seed}, node {node}, step {step}");
    let known = names(snapshot);
    // Before the drill all nodes know all; the node that starts in the drill knows only the copy.
    if (155..260).contains(&step) && node != 0 {
        for (name, _) in &world.live {
            assert!(known.contains(name), "{context}: {name} is alive");
        }
        for (name, _) in &world.left {
            assert!(!known.contains(name), "{context}: {name} has left");
        }
        if world.evacuated {
            assert_eq!(zones_out(snapshot), ["nadi"], "{context}: the zone is out");
        }
    }
}

#[test]
fn drills_of_many_kinds_keep_all_promises() {
    for seed in 0..300 {
        play(seed);
    }
}
