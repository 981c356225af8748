//! The view in force and the texts of recent notes.

use std::{collections::VecDeque, error::Error, fmt, sync::Arc};

use note::{Digest, View};
use serde::{Deserialize, Serialize};
use types::Revision;

use crate::snapshot::Parts;

/// Maximum size of the note texts that are kept for peers a few notes behind.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// Changes that bring the view of a peer up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewUpdate {
    /// Notes that follow the peer's revision.
    Notes {
        /// Revision that precedes the first note.
        after: Revision,
        /// Texts of the notes, in order.
        texts: Vec<Arc<str>>,
        /// Digest of the view after the last note.
        digest: Digest,
    },
    /// The whole view, for a peer that is further behind than the kept texts.
    View(Arc<View>),
    /// Parts of a snapshot, if the platform stores only current values.
    Parts(Box<Parts>),
}

/// Reason why an update was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// The update is not newer than the node's own view.
    Older,
    /// The update names a revision that no correct node sends.
    InvalidRevision,
    /// The update comes from a node whose platform publishes in another format.
    OtherFormat,
    /// The update doesn't follow from the node's own view: the histories have diverged.
    Forked {
        /// Revision of the node's own view.
        revision: Revision,
    },
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidRevision => f.write_str("names an impossible revision"),
            Self::OtherFormat => f.write_str("is in another platform's format"),
            Self::Older => f.write_str("is not newer than the view in force"),
            Self::Forked { revision } => {
                write!(
                    f,
                    "does not follow from the view in force at revision {revision}"
                )
            }
        }
    }
}

impl Error for HistoryError {}

/// The view in force and the texts of recent notes.
#[derive(Debug, Clone, Default)]
pub struct History {
    view: Arc<View>,
    texts: VecDeque<Arc<str>>,
    bytes: usize,
}

impl History {
    /// The view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Applies notes that the platform served after revision `after`, and returns their number.
    ///
    /// Notes that are already applied are skipped, so a stale or repeated page has no effect.
    pub fn extend(&mut self, after: Revision, texts: &[Arc<str>]) -> usize {
        let known = (self.view.revision.0.saturating_sub(after.0)) as usize;
        let new = match after > self.view.revision {
            true => &[],
            false => texts.get(known..).unwrap_or_default(),
        };
        self.apply_all(new);
        new.len()
    }

    /// Applies an update from a peer if it follows from the node's own view and is newer.
    ///
    /// # Errors
    ///
    /// [`HistoryError`] if it doesn't; the history is unchanged then.
    pub fn apply(&mut self, update: ViewUpdate) -> Result<(), HistoryError> {
        match update {
            ViewUpdate::Notes {
                after,
                texts,
                digest,
            } => self.apply_notes(after, &texts, digest),
            ViewUpdate::View(view) => self.apply_view(view),
            ViewUpdate::Parts(_) => Err(HistoryError::OtherFormat),
        }
    }

    /// Returns the update for a peer at revision `after`, or `None` if the node's own view isn't
    /// newer.
    pub fn since(&self, after: Revision) -> Option<ViewUpdate> {
        let missing = self
            .view
            .revision
            .0
            .checked_sub(after.0)
            .filter(|m| *m > 0)?;
        match self.texts.len().checked_sub(missing as usize) {
            Some(skip) => Some(ViewUpdate::Notes {
                after,
                texts: self.texts.iter().skip(skip).cloned().collect(),
                digest: self.view.digest,
            }),
            None => Some(ViewUpdate::View(Arc::clone(&self.view))),
        }
    }

    fn apply_notes(
        &mut self,
        after: Revision,
        texts: &[Arc<str>],
        digest: Digest,
    ) -> Result<(), HistoryError> {
        let mut next = self.clone();
        if next.extend(after, texts) == 0 {
            return Err(HistoryError::Older);
        }
        if next.view.digest != digest {
            return Err(HistoryError::Forked {
                revision: self.view.revision,
            });
        }
        self.replace(next);
        Ok(())
    }

    fn apply_view(&mut self, view: Arc<View>) -> Result<(), HistoryError> {
        if view.revision <= self.view.revision {
            return Err(HistoryError::Older);
        }
        if !view.revision.is_valid() {
            return Err(HistoryError::InvalidRevision);
        }
        self.replace(Self {
            view,
            texts: VecDeque::new(),
            bytes: 0,
        });
        Ok(())
    }

    fn replace(&mut self, next: Self) {
        let (before, after) = (self.view.revision, next.view.revision);
        assert!(
            after > before,
            "invariant: the revision always increases, {before} to {after}"
        );
        *self = next;
    }

    fn apply_all(&mut self, texts: &[Arc<str>]) {
        for text in texts {
            Arc::make_mut(&mut self.view).apply(text);
            self.bytes += text.len();
            self.texts.push_back(Arc::clone(text));
        }
        while self.bytes > MAX_TEXT_BYTES {
            self.bytes -= self.texts.pop_front().map_or(0, |text| text.len());
        }
    }
}
