//! The request path, as callers and endpoints see it.
#![expect(
    clippy::unwrap_used,
    reason = "a helper of a test that cannot go on ends the test"
)]

mod answers;
mod at_most_once;
mod bounds;
mod forwarding;
mod forwarding_to_peers;
mod idempotency_keys;
mod leaving;
mod planned_stop;
mod refusals;
mod silence;
mod slots;
mod smuggling;
mod support;
mod traces;
