//! Text in the query of a path.

use std::fmt::Write;

/// Returns a text as it is written in the query of a path: all bytes but letters, digits and
/// `-._~/` are escaped.
///
/// A key of the store may hold any character. An unescaped space or control character makes the
/// call fail, and `#`, `&`, `%` or `+` make the receiver read another key.
///
/// ```
/// assert_eq!(web::encode_query("servers/a b&c"), "servers/a%20b%26c");
/// ```
#[must_use]
pub fn encode_query(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _is_written = write!(encoded, "%{byte:02X}").is_ok();
        }
    }
    encoded
}
