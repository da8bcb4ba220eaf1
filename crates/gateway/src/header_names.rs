//! The header names that are the gateway's own.

use http::HeaderName;

/// Says whether a request that was not answered was run: `no` or `unknown`.
pub(crate) static EXECUTED: HeaderName = HeaderName::from_static("jasminebend-executed");

/// Says in one word why the gateway answered itself.
pub(crate) static REASON: HeaderName = HeaderName::from_static("jasminebend-reason");

/// Identifies a request that must run at most once, however often it is sent.
pub(crate) static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Says that an answer is the kept one of an earlier request with the same key.
pub(crate) static REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Marks a request that another daemon handed on; it is handed on no further.
pub(crate) static FORWARDED: HeaderName = HeaderName::from_static("jasminebend-forwarded");

/// Announces connection persistence to ancient clients; hop-by-hop.
pub(crate) static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The same for ancient proxies; hop-by-hop.
pub(crate) static PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The addresses that a request came through.
pub(crate) static FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
