//! Tests of the request path over real sockets, from the view of callers and of endpoints.
#![expect(
    clippy::unwrap_used,
    reason = "a test helper that cannot continue must fail the test"
)]

mod at_most_once;
mod forwarding;
mod idempotency_keys;
mod leaving_endpoints;
mod peer_forwarding;
mod planned_stop;
mod refusals;
mod request_smuggling;
mod resource_limits;
mod response_integrity;
mod silent_connections;
mod slot_limits;
mod support;
mod traces;
