//! Tests that views only advance, in whatever order pages and updates arrive.

use std::sync::Arc;

use fleet::{History, HistoryError, ViewUpdate};
use note::View;
use proptest::{collection::vec, prelude::*};
use serde_json::json;
use types::Revision;

fn text(number: u64) -> Arc<str> {
    let zone = json!({ "id": format!("zone-{number}"), "region": "r" });
    let add = json!({ "zones": [zone] });
    Arc::from(json!({ "author": "op", "after": number, "add": add }).to_string())
}

fn texts(range: std::ops::Range<u64>) -> Vec<Arc<str>> {
    range.map(text).collect()
}

fn history(notes: u64) -> History {
    let mut history = History::default();
    history.extend(Revision(0), &texts(0..notes));
    history
}

#[test]
fn notes_that_are_already_applied_are_skipped() {
    let update = history(3).since(Revision(0)).expect("an update");
    let mut own = history(2);
    assert_eq!(own.apply(update), Ok(()));
    assert_eq!(own.view().digest, history(3).view().digest);

    let update = history(3).since(Revision(0)).expect("an update");
    assert_eq!(own.apply(update), Err(HistoryError::Older));
}

#[test]
fn notes_of_a_diverged_history_are_rejected() {
    let mut other = History::default();
    other.extend(Revision(0), &[text(7), text(1), text(2)]);
    let mut own = history(2);
    let update = other.since(Revision(2)).expect("an update");
    assert_eq!(
        own.apply(update),
        Err(HistoryError::Forked {
            revision: Revision(2)
        })
    );
    assert_eq!(own.view().revision, Revision(2));
}

#[test]
fn a_peer_too_far_behind_gets_the_whole_view() {
    let mut new_node = History::default();
    let view: Arc<View> = Arc::clone(history(5).view());
    new_node
        .apply(ViewUpdate::View(Arc::clone(&view)))
        .expect("a newer view");
    assert_eq!(new_node.since(Revision(2)), Some(ViewUpdate::View(view)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Applies pages and updates of one history, some stale or repeated, in random order on several
    /// nodes.
    #[test]
    fn views_never_revert_and_agree_at_equal_revisions(
        steps in vec((0..4_usize, 0..4_usize, 0..12_u64, 0..12_u64, any::<bool>()), 1..60)
    ) {
        let mut nodes = vec![History::default(); 4];
        for (to, from, after, end, from_platform) in steps {
            let before = nodes[to].view().revision;
            if from_platform {
                nodes[to].extend(Revision(after), &texts(after..end.max(after)));
            } else if let Some(update) = nodes[from].clone().since(Revision(after)) {
                let _ = nodes[to].apply(update);
            }
            let view = nodes[to].view();
            prop_assert!(view.revision >= before);
            prop_assert_eq!(view.digest, history(view.revision.0).view().digest);
        }
    }
}

#[test]
fn a_view_with_an_impossible_revision_is_rejected() {
    let mut own = history(2);
    let view = View {
        revision: Revision(u64::MAX),
        ..View::default()
    };
    let applied = own.apply(ViewUpdate::View(Arc::new(view)));
    assert_eq!(applied, Err(HistoryError::InvalidRevision));
    assert_eq!(own.view().revision, Revision(2));
}
