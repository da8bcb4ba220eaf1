//! The names of headers that the `http` crate does not define.

use http::HeaderName;

/// Whether a request that the gateway refused was run: `no` or `unknown`, or `yes` if the stored
/// outcome of its idempotency key says so. An endpoint sends `no` if it did not run the request.
pub(crate) static EXECUTED: HeaderName = HeaderName::from_static("jasminebend-executed");

/// The reason for which the gateway itself responded, as one word.
pub(crate) static REASON: HeaderName = HeaderName::from_static("jasminebend-reason");

/// Identifies a request that must run at most once, however often it is sent.
pub(crate) static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Marks a response as the stored one of an earlier request with the same key.
pub(crate) static REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Marks a request that another daemon forwarded; it is not forwarded again.
pub(crate) static FORWARDED: HeaderName = HeaderName::from_static("jasminebend-forwarded");

/// Connection persistence of HTTP/1.0 clients; a hop-by-hop header.
pub(crate) static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Connection persistence of old proxies; a hop-by-hop header.
pub(crate) static PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The addresses of the callers and proxies that a request came through.
pub(crate) static FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
