//! Views only ever move forward, whatever order pages and peers come in.

use std::sync::Arc;

use fleet::{Extension, History, HistoryError};
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
fn notes_pulled_while_the_platform_was_read_are_passed_over() {
    let extension = history(3).since(Revision(0)).expect("an extension");
    let mut mine = history(2);
    assert_eq!(mine.apply(extension), Ok(()));
    assert_eq!(mine.view().digest, history(3).view().digest);

    let extension = history(3).since(Revision(0)).expect("an extension");
    assert_eq!(mine.apply(extension), Err(HistoryError::Older));
}

#[test]
fn notes_of_another_history_are_refused() {
    let mut other = History::default();
    other.extend(Revision(0), &[text(7), text(1), text(2)]);
    let mut mine = history(2);
    let extension = other.since(Revision(2)).expect("an extension");
    assert_eq!(
        mine.apply(extension),
        Err(HistoryError::Forked {
            revision: Revision(2)
        })
    );
    assert_eq!(mine.view().revision, Revision(2));
}

#[test]
fn a_peer_too_far_behind_gets_the_whole_view() {
    let mut late = History::default();
    let view: Arc<View> = Arc::clone(history(5).view());
    late.apply(Extension::View(Arc::clone(&view)))
        .expect("a newer view");
    assert_eq!(late.since(Revision(2)), Some(Extension::View(view)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Pages and extensions of one history, stale and repeated, in any order, over several nodes.
    #[test]
    fn views_never_revert_and_agree_at_equal_revisions(
        steps in vec((0..4_usize, 0..4_usize, 0..12_u64, 0..12_u64, any::<bool>()), 1..60)
    ) {
        let mut nodes = vec![History::default(); 4];
        for (to, from, after, head, platform) in steps {
            let before = nodes[to].view().revision;
            if platform {
                nodes[to].extend(Revision(after), &texts(after..head.max(after)));
            } else if let Some(extension) = nodes[from].clone().since(Revision(after)) {
                let _ = nodes[to].apply(extension);
            }
            let view = nodes[to].view();
            prop_assert!(view.revision >= before);
            prop_assert_eq!(view.digest, history(view.revision.0).view().digest);
        }
    }
}
