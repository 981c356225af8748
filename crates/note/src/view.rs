//! Folding of notes, in the platform's order, into one view.

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use types::Revision;

use crate::{
    check::{Fault, Problem, check},
    parse::{Batch, Note, Withdrawal, parse},
    state::{Entry, State},
};

/// Rejected notes that a view keeps on show.
const REJECTIONS_KEPT: usize = 16;

/// Digest over all notes up to a revision: SHA-256 of the digest before and the note's text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of a value's JSON form.
    ///
    /// # Panics
    ///
    /// If the value has no JSON form.
    pub fn of(value: &impl Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("a state has a JSON form");
        Self(Sha256::digest(text).into())
    }

    fn chain(self, text: &str) -> Self {
        let hash = Sha256::new().chain_update(self.0).chain_update(text);
        Self(hash.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A note that was rejected, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Revision of the note.
    pub revision: Revision,
    /// All its faults.
    pub faults: Vec<Fault>,
}

/// What is in force at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Revision of the last note that was folded or rejected.
    pub revision: Revision,
    /// Digest over all notes up to it.
    pub digest: Digest,
    /// What the accepted notes describe.
    pub state: State,
    /// The last rejected notes.
    pub rejected: VecDeque<Rejection>,
}

impl View {
    /// Folds the next note into the view and returns the faults for which it was rejected.
    ///
    /// The revision advances either way: a rejected note counts as seen.
    pub fn apply(&mut self, text: &str) -> Vec<Fault> {
        let seen = self.revision;
        self.revision = seen.next();
        self.digest = self.digest.chain(text);
        let faults = self.try_apply(text, seen);
        if !faults.is_empty() {
            self.rejected.push_back(Rejection {
                revision: self.revision,
                faults: faults.clone(),
            });
        }
        if self.rejected.len() > REJECTIONS_KEPT {
            self.rejected.pop_front();
        }
        faults
    }

    fn try_apply(&mut self, text: &str, seen: Revision) -> Vec<Fault> {
        let Ok(note) = parse(text) else {
            return vec![Fault {
                place: "note".into(),
                problem: Problem::Malformed,
            }];
        };
        let mut next = self.state.clone();
        apply_note(&mut next, &note, self.revision);
        let faults = check(&note, &self.state, &next, seen);
        if faults.is_empty() {
            self.state = next;
        }
        faults
    }
}

fn apply_note(state: &mut State, note: &Note, changed: Revision) {
    put(state, &note.add, changed);
    put(state, &note.change, changed);
    drop_all(state, &note.withdraw);
}

fn put(state: &mut State, batch: &Batch, changed: Revision) {
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
}

fn drop_all(state: &mut State, gone: &Withdrawal) {
    state.zones.retain(|id, _| !gone.zones.contains(id));
    state.services.retain(|id, _| !gone.services.contains(id));
    state.servers.retain(|id, _| !gone.servers.contains(id));
    state.routes.retain(|id, _| !gone.routes.contains(id));
}
