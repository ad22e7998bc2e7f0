//! Comparison of two texts of a document by section.

use std::collections::BTreeMap;

/// Returns the headers of the sections that differ between two texts, sorted.
///
/// Blank lines and comments make no difference.
#[must_use]
pub fn changed_sections(before: &str, after: &str) -> Vec<String> {
    let before = sections(before);
    let after = sections(after);
    let mut headers: Vec<&str> = before.keys().chain(after.keys()).copied().collect();
    headers.sort_unstable();
    headers.dedup();
    headers
        .into_iter()
        .filter(|header| before.get(header) != after.get(header))
        .map(str::to_owned)
        .collect()
}

fn sections(text: &str) -> BTreeMap<&str, Vec<&str>> {
    let mut sections: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut current = "";
    for line in text.lines().map(str::trim).filter(|line| !is_blank_or_comment(line)) {
        if line.starts_with('[') {
            current = line;
            sections.entry(current).or_default();
        } else {
            sections.entry(current).or_default().push(line);
        }
    }
    sections
}

fn is_blank_or_comment(line: &str) -> bool {
    line.is_empty() || line.starts_with([';', '#'])
}
