//! The contract of each port, run against each adapter.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

/// Runs each case of a suite against each adapter. A new adapter is one more line.
macro_rules! contract {
    ($cases:tt, $($adapter:ident => $make:path),* $(,)?) => {$(
        contract!(@adapter $adapter, $make, $cases);
    )*};
    (@adapter $adapter:ident, $make:path, [$($case:ident),* $(,)?]) => {
        mod $adapter {
            $(
                #[tokio::test]
                async fn $case() {
                    super::$case($make(crate::harness::PATIENT).await).await;
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
