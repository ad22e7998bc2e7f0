//! The order in which alternatives are tried.

/// Moves the items that are avoided behind the others, whose order stays.
///
/// Each item is asked once: whether it is avoided depends on the time and may change meanwhile, and
/// a sort whose comparisons contradict each other panics.
pub fn move_avoided_last<T>(items: &mut [T], is_avoided: impl FnMut(&T) -> bool) {
    items.sort_by_cached_key(is_avoided);
}
