//! Normalizes percent-encoding in request paths.

use std::borrow::Cow;

/// Returns `path` with percent-encoded unreserved characters decoded (RFC 3986, section 6.2.2.2).
///
/// `/%62ook` and `/book` identify the same resource and must not be routed to different classes.
pub(crate) fn normalize_path(path: &str) -> Cow<'_, str> {
    if !path.contains('%') {
        return Cow::Borrowed(path);
    }
    let mut normalized = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(percent) = rest.find('%') {
        normalized.push_str(&rest[..percent]);
        let after = &rest[percent + 1..];
        match decode_unreserved(after) {
            Some(character) => {
                normalized.push(character);
                rest = &after[2..];
            }
            None => {
                normalized.push('%');
                rest = after;
            }
        }
    }
    normalized.push_str(rest);
    Cow::Owned(normalized)
}

/// Returns the unreserved character that the first two bytes of `escape`, which follow a percent
/// sign, encode in hexadecimal; `None` if they encode none.
fn decode_unreserved(escape: &str) -> Option<char> {
    let digits = escape.get(..2)?;
    let is_hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    let byte = u8::from_str_radix(digits, 16).ok()?;
    let is_unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    (is_hexadecimal && is_unreserved).then_some(char::from(byte))
}
