//! Contract tests of each port, run against each of its adapters.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

/// Defines a test for each pair of a case and an adapter. A new adapter is one more line at the end of the call.
macro_rules! contract {
    ($cases:tt, $($adapter:ident => $make:path),* $(,)?) => {$(
        contract!(@adapter $adapter, $make, $cases);
    )*};
    (@adapter $adapter:ident, $make:path, [$($case:ident),* $(,)?]) => {
        mod $adapter {
            $(
                #[tokio::test]
                async fn $case() {
                    super::$case($make(crate::harness::LONG_TIMEOUT).await).await;
                }
            )*
        }
    };
}

mod clock;
mod endpoint;
mod harness;
mod limits;
mod objects;
mod table;
mod token;
mod vm_list;
mod worker_calls;
mod worker_orders;
mod worker_runs;
