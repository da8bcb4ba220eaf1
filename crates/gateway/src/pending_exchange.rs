//! [`PendingExchange`]: an exchange whose response has not arrived, and its completion when nothing
//! waits for it any more.

use std::{
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use http::Response;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    client::conn::TrySendError, //
};
use tokio::{
    runtime::Handle,
    time::timeout, //
};

use crate::{
    endpoint_connection::EndpointConnection,
    endpoint_entry::SlotPhase,
    exchange::EndpointRequest,
    exchange_outcome::{
        ExchangeOutcome, //
        ResponseVerdict,
    },
    service_pool::ServicePool,
    slot_lease::SlotLease,
};

/// The head of a response, or the reason for which there is none.
pub(crate) type SendResult = Result<Response<Incoming>, TrySendError<EndpointRequest>>;
/// A future that resolves to a [`SendResult`].
pub(crate) type SendFuture = Pin<Box<dyn Future<Output = SendResult> + Send>>;

/// An exchange whose head of the response has not arrived. If it is dropped, because the caller
/// disconnected, the deadline passed or another attempt was faster, the endpoint may still be
/// working on it: a task then waits for the response, and releases the slot only after that.
pub(crate) struct PendingExchange {
    response_future: Option<SendFuture>,
    lease: Option<SlotLease>,
    connection: Option<EndpointConnection>,
    sent_at: Duration,
    silence_reported: bool,
}

impl PendingExchange {
    /// Creates the exchange of a request that is being sent.
    pub(crate) fn new(
        response_future: SendFuture,
        lease: SlotLease,
        connection: EndpointConnection,
        sent_at: Duration,
    ) -> Self {
        Self {
            response_future: Some(response_future),
            lease: Some(lease),
            connection: Some(connection),
            sent_at,
            silence_reported: false,
        }
    }

    /// Waits for the head of the response; returns `None` if the time `remaining` passes first.
    pub(crate) async fn wait(
        mut self,
        remaining: Duration,
    ) -> Option<(SendResult, SlotLease, EndpointConnection)> {
        let response_future = self.response_future.as_mut()?;
        let Ok(outcome) = timeout(remaining, response_future).await else {
            self.report_silence();
            // The connection of a request that timed out is not reused.
            self.connection = None;
            return None;
        };
        self.response_future = None;
        Some((outcome, self.lease.take()?, self.connection.take()?))
    }

    /// Marks connections that were idle for as long as this one as silent, so that the next request
    /// does not time out on one of them.
    fn report_silence(&mut self) {
        let Some(lease) = self.lease.as_ref() else {
            return;
        };
        let pool = lease.pool();
        let now = pool.clock.monotonic();
        if now.saturating_sub(self.sent_at) >= pool.silence_timeout() {
            pool.mark_silent_connections(self.sent_at);
            self.silence_reported = true;
        }
    }
}

impl Drop for PendingExchange {
    fn drop(&mut self) {
        let (Some(response_future), Some(lease)) = (self.response_future.take(), self.lease.take())
        else {
            return;
        };
        let Ok(handle) = Handle::try_current() else {
            return;
        };
        lease.pool().lock().slot(lease.key()).phase = SlotPhase::Abandoned;
        let unreported_since = (!self.silence_reported).then_some(self.sent_at);
        let connection = self.connection.take();
        handle.spawn(await_abandoned(
            response_future,
            lease,
            connection,
            self.sent_at,
            unreported_since,
        ));
    }
}

/// Waits for the response of an abandoned exchange, until its slot is known to be free.
async fn await_abandoned(
    mut response_future: SendFuture,
    lease: SlotLease,
    connection: Option<EndpointConnection>,
    sent_at: Duration,
    unreported_since: Option<Duration>,
) {
    let pool = Arc::clone(lease.pool());
    let longest_request = pool.settings.longest_request;
    let early_result = match unreported_since {
        Some(sent_at) => await_until_silent(&pool, &mut response_future, sent_at).await,
        None => None,
    };
    let (head, connection) = match early_result {
        Some(head) => (Ok(head), connection),
        None => (timeout(longest_request, response_future).await, None),
    };
    match head {
        Err(_) => lease.release(ExchangeOutcome::TimedOut),
        Ok(Ok(response)) => {
            let latency = pool.clock.monotonic().saturating_sub(sent_at);
            drain_response(response, lease, connection, latency).await;
        }
        Ok(Err(mut error)) => lease.release(match error.take_message() {
            Some(_) => ExchangeOutcome::NotSent { connection: None },
            None => ExchangeOutcome::Unknown,
        }),
    }
}

/// Waits until the connection counts as silent, and then marks others that were idle for as long.
/// Returns the response if it arrives before.
async fn await_until_silent(
    pool: &ServicePool,
    response_future: &mut SendFuture,
    sent_at: Duration,
) -> Option<SendResult> {
    if let Ok(head) = timeout(pool.silence_timeout(), response_future).await {
        return Some(head);
    }
    pool.mark_silent_connections(sent_at);
    None
}

/// Reads and discards the rest of a response, and then releases its slot. A connection on which the
/// complete response was read can be reused.
pub(crate) async fn drain_response(
    response: Response<Incoming>,
    lease: SlotLease,
    connection: Option<EndpointConnection>,
    latency: Duration,
) {
    let longest_request = lease.pool().settings.longest_request;
    let mut body = response.into_body();
    let read_to_end = timeout(longest_request, async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    });
    let outcome = match read_to_end.await {
        Ok(true) => ExchangeOutcome::Answered {
            latency,
            verdict: ResponseVerdict::Good,
            connection: mark_received(connection, &lease),
        },
        Ok(false) => ExchangeOutcome::Unknown,
        Err(_) => ExchangeOutcome::TimedOut,
    };
    lease.release(outcome);
}

/// Sets the time of the last receipt to now, and drops a closed connection.
fn mark_received(
    connection: Option<EndpointConnection>,
    lease: &SlotLease,
) -> Option<EndpointConnection> {
    let mut connection = connection.filter(EndpointConnection::is_open)?;
    connection.last_received_at = lease.pool().clock.monotonic();
    Some(connection)
}
