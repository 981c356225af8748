//! Applies notes, in the platform's order, to a view.

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use types::Revision;

use crate::{
    check::{Fault, Problem, check},
    parse::{Batch, Note, Withdrawal, parse},
    state::{Entry, State},
};

/// Number of most recent rejections that a view records.
const MAX_REJECTIONS: usize = 16;

/// SHA-256 digest that identifies a view. For a history of notes it is a hash chain: the digest of
/// the previous digest and the note's text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the SHA-256 digest of a value's JSON serialization.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be serialized to JSON.
    pub fn of(value: &impl Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("a value that serializes to JSON");
        Self(Sha256::digest(text).into())
    }

    fn chain(self, text: &str) -> Self {
        let hash = Sha256::new().chain_update(self.0).chain_update(text);
        Self(hash.finalize().into())
    }
}

/// Formats the first 6 bytes as hexadecimal digits.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A rejected note and its faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Revision of the note.
    pub revision: Revision,
    /// All faults of the note.
    pub faults: Vec<Fault>,
}

/// The configuration in force at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Revision of the last note, accepted or rejected, or of the registry contents.
    pub revision: Revision,
    /// Digest of all notes up to `revision`, or of the registry contents.
    pub digest: Digest,
    /// State that results from all accepted notes, or from the registry contents.
    pub state: State,
    /// The most recent rejections, oldest first.
    pub rejected: VecDeque<Rejection>,
}

impl View {
    /// Applies the next note, and returns its faults if it is rejected.
    ///
    /// The revision and the digest advance in both cases.
    pub fn apply(&mut self, text: &str) -> Vec<Fault> {
        let before = self.revision;
        self.revision = before.next();
        self.digest = self.digest.chain(text);
        let faults = self.try_apply(text, before);
        if !faults.is_empty() {
            self.rejected.push_back(Rejection {
                revision: self.revision,
                faults: faults.clone(),
            });
        }
        if self.rejected.len() > MAX_REJECTIONS {
            self.rejected.pop_front();
        }
        faults
    }

    fn try_apply(&mut self, text: &str, before: Revision) -> Vec<Fault> {
        let Ok(note) = parse(text) else {
            return vec![Fault {
                place: "note".into(),
                problem: Problem::Malformed,
            }];
        };
        let mut next = self.state.clone();
        apply_note(&mut next, &note, self.revision);
        let faults = check(&note, &self.state, &next, before);
        if faults.is_empty() {
            self.state = next;
        }
        faults
    }
}

fn apply_note(state: &mut State, note: &Note, changed: Revision) {
    insert_all(state, &note.add, changed);
    insert_all(state, &note.change, changed);
    remove_all(state, &note.withdraw);
}

fn insert_all(state: &mut State, batch: &Batch, changed: Revision) {
    for item in batch.zones.iter().cloned() {
        state.zones.insert(item.id.clone(), Entry { item, changed });
    }
    for item in batch.services.iter().cloned() {
        state
            .services
            .insert(item.id.clone(), Entry { item, changed });
    }
    for item in batch.servers.iter().cloned() {
        state
            .servers
            .insert(item.id.clone(), Entry { item, changed });
    }
    for item in batch.routes.iter().cloned() {
        state
            .routes
            .insert(item.id.clone(), Entry { item, changed });
    }
    for item in batch.teams.iter().cloned() {
        state.teams.insert(item.id.clone(), Entry { item, changed });
    }
}

fn remove_all(state: &mut State, withdrawal: &Withdrawal) {
    state.zones.retain(|id, _| !withdrawal.zones.contains(id));
    state
        .services
        .retain(|id, _| !withdrawal.services.contains(id));
    state
        .servers
        .retain(|id, _| !withdrawal.servers.contains(id));
    state.routes.retain(|id, _| !withdrawal.routes.contains(id));
    state.teams.retain(|id, _| !withdrawal.teams.contains(id));
}
