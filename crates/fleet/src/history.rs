//! The view in force and the notes that led to it lately.

use std::{collections::VecDeque, error::Error, fmt, sync::Arc};

use note::{Digest, View};
use serde::{Deserialize, Serialize};
use types::Revision;

use crate::snapshot::Parts;

/// Bytes of note texts kept for peers that are a little behind.
const MOST_KEPT_BYTES: usize = 1 << 20;

/// What a peer gets that knows less.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Extension {
    /// Texts of the notes that follow the peer's revision, and the digest after the last.
    Notes {
        /// Revision that the first of them follows.
        after: Revision,
        /// The texts, in order.
        texts: Vec<Arc<str>>,
        /// The digest after the last.
        digest: Digest,
    },
    /// The whole view, for a peer that is too far behind.
    View(Arc<View>),
    /// The parts of a snapshot, where the platform keeps no history.
    Parts(Box<Parts>),
}

/// Why an extension was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// It ends before the own view or at it.
    Older,
    /// It comes from a node whose platform publishes in another form.
    OtherFormat,
    /// It doesn't follow from the own view: two histories exist.
    Forked {
        /// The own revision.
        revision: Revision,
    },
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherFormat => f.write_str("is of another form"),
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

/// The view in force and the texts of the last notes.
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

    /// Folds notes that the platform served after revision `after`.
    ///
    /// Notes that are known already are passed over, so a stale or repeated page does no harm.
    /// Returns the number of notes folded.
    pub fn extend(&mut self, after: Revision, texts: &[Arc<str>]) -> usize {
        let known = (self.view.revision.0.saturating_sub(after.0)) as usize;
        let new = match after > self.view.revision {
            true => &[],
            false => texts.get(known..).unwrap_or_default(),
        };
        self.fold_all(new);
        new.len()
    }

    /// Takes what a peer gave, if it extends the own view.
    ///
    /// # Errors
    ///
    /// [`HistoryError`] if it doesn't. Nothing is changed then.
    pub fn apply(&mut self, extension: Extension) -> Result<(), HistoryError> {
        match extension {
            Extension::Notes {
                after,
                texts,
                digest,
            } => self.take_notes(after, &texts, digest),
            Extension::View(view) => self.take_view(view),
            Extension::Parts(_) => Err(HistoryError::OtherFormat),
        }
    }

    /// What extends the view of a peer at `after`, `None` if the own view doesn't.
    pub fn since(&self, after: Revision) -> Option<Extension> {
        let missing = self
            .view
            .revision
            .0
            .checked_sub(after.0)
            .filter(|m| *m > 0)?;
        match self.texts.len().checked_sub(missing as usize) {
            Some(skip) => Some(Extension::Notes {
                after,
                texts: self.texts.iter().skip(skip).cloned().collect(),
                digest: self.view.digest,
            }),
            None => Some(Extension::View(Arc::clone(&self.view))),
        }
    }

    fn take_notes(
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

    fn take_view(&mut self, view: Arc<View>) -> Result<(), HistoryError> {
        if view.revision <= self.view.revision {
            return Err(HistoryError::Older);
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
            "invariant: a view never reverts, {before} to {after}"
        );
        *self = next;
    }

    fn fold_all(&mut self, texts: &[Arc<str>]) {
        for text in texts {
            Arc::make_mut(&mut self.view).apply(text);
            self.bytes += text.len();
            self.texts.push_back(Arc::clone(text));
        }
        while self.bytes > MOST_KEPT_BYTES {
            self.bytes -= self.texts.pop_front().map_or(0, |text| text.len());
        }
    }
}
