//! The keys of the rows of idempotency keys, and the fingerprints of their requests.

use blake3::Hasher;
use http::{
    HeaderMap,
    Method,
    Uri,
    header::AUTHORIZATION, //
};
use jasminebend_base::ClassName;
use jasminebend_ports::{
    RowKey,
    WriteId, //
};

/// The prefix of the rows that list keys by their hour of expiry.
pub(crate) const INDEX_PREFIX: &str = "request-keys/by-expiry/";
/// The prefix of the rows of idempotency keys.
const ROW_PREFIX: &str = "request-keys/by-key/";
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Returns the key of the row of an idempotency key. Classes do not share keys.
pub(crate) fn key_row(class: &ClassName, key: &[u8]) -> RowKey {
    let mut hasher = Hasher::new();
    hasher.update(class.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key);
    RowKey::from(format!("{ROW_PREFIX}{}", hasher.finalize().to_hex()))
}

/// Returns the key of the row that lists the keys reserved by one transaction.
pub(crate) fn expiry_index_row(hour: u64, write: WriteId) -> RowKey {
    RowKey::from(format!("{INDEX_PREFIX}{hour:012}/{write}"))
}

/// Returns the hour of expiry in the key of an index row.
pub(crate) fn expiry_index_hour(row: &RowKey) -> Option<u64> {
    let rest = row.as_str().strip_prefix(INDEX_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

/// Returns whether an idempotency key is valid: 1 to 255 visible ASCII characters.
pub(crate) fn is_valid_key(key: &[u8]) -> bool {
    let fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    fits && key.iter().all(u8::is_ascii_graphic)
}

/// Returns a hash that identifies a request. It includes the authorization of the caller, so that a
/// caller cannot get the response of another one by guessing its key.
pub(crate) fn fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> [u8; 16] {
    let mut hasher = Hasher::new();
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let authorization = headers
        .get(AUTHORIZATION)
        .map_or(&b""[..], |v| v.as_bytes());
    for part in [
        method.as_str().as_bytes(),
        path.as_bytes(),
        authorization,
        body,
    ] {
        // CAST: a `usize` of the supported targets fits a `u64`.
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut fingerprint = [0; 16];
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}
