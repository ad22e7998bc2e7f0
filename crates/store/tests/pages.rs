//! Guards against listings that repeat a page without end, or count what follows it as removed.

use document::Revision;
use store::{Category, Entry, Page};

fn page(keys: &[&str], is_truncated: bool) -> Page {
    let entry = |key: &&str| Entry { key: (*key).into(), revision: Revision(1), text: None };
    Page { revision: Revision(1), entries: keys.iter().map(entry).collect(), is_truncated }
}

#[test]
fn page_that_advances_is_valid() {
    page(&["a", "b"], true).check_progress(None).unwrap();
    page(&["b", "c"], true).check_progress(Some("a")).unwrap();
    page(&[], false).check_progress(Some("a")).unwrap();
}

#[test]
fn page_that_does_not_advance_is_refused() {
    for (keys, after) in [(&[] as &[&str], None), (&[], Some("a")), (&["a"], Some("a"))] {
        let report = page(keys, true).check_progress(after).unwrap_err();
        assert_eq!(report.current_context().category(), Category::Unknown);
    }
}
