//! Writes a path without needless escapes.

use std::borrow::Cow;

/// Returns a path with the escapes of unreserved characters undone (RFC 3986, 6.2.2.2): `/%62ook` and
/// `/book` name the same thing, and must not belong to two classes.
pub(crate) fn plain_path(path: &str) -> Cow<'_, str> {
    if !path.contains('%') {
        return Cow::Borrowed(path);
    }
    let mut plain = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(place) = rest.find('%') {
        plain.push_str(&rest[..place]);
        let after = &rest[place + 1..];
        match unreserved(after) {
            Some(character) => {
                plain.push(character);
                rest = &after[2..];
            }
            None => {
                plain.push('%');
                rest = after;
            }
        }
    }
    plain.push_str(rest);
    Cow::Owned(plain)
}

fn unreserved(digits: &str) -> Option<char> {
    let digits = digits.get(..2)?;
    let hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    let byte = u8::from_str_radix(digits, 16).ok()?;
    let plain = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    (hexadecimal && plain).then_some(char::from(byte))
}
