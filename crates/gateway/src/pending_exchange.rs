//! An exchange whose answer has not come, and what becomes of it when nobody waits any more.

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
    exchange_end::{
        AnswerVerdict,
        ExchangeEnd, //
    },
    service_pool::ServicePool,
    slot_lease::SlotLease,
};

/// The head of an answer, or why there is none.
pub(crate) type SendOutcome = Result<Response<Incoming>, TrySendError<EndpointRequest>>;
/// What comes to a [`SendOutcome`].
pub(crate) type SendFuture = Pin<Box<dyn Future<Output = SendOutcome> + Send>>;

/// An exchange whose answer's head has not come. If it is dropped, because the caller left, the
/// time is over or another attempt was faster, the endpoint may still be working on it: a task
/// then waits for the answer on its behalf and gives the slot back no earlier.
pub(crate) struct PendingExchange {
    answer: Option<SendFuture>,
    lease: Option<SlotLease>,
    connection: Option<EndpointConnection>,
    sent_at: Duration,
    suspected: bool,
}

impl PendingExchange {
    /// Creates the exchange of a request that is being sent.
    pub(crate) fn new(
        answer: SendFuture,
        lease: SlotLease,
        connection: EndpointConnection,
        sent_at: Duration,
    ) -> Self {
        Self {
            answer: Some(answer),
            lease: Some(lease),
            connection: Some(connection),
            sent_at,
            suspected: false,
        }
    }

    /// Waits for the answer's head; `None` if the time is over first.
    pub(crate) async fn wait(
        mut self,
        left: Duration,
    ) -> Option<(SendOutcome, SlotLease, EndpointConnection)> {
        let answer = self.answer.as_mut()?;
        let Ok(outcome) = timeout(left, answer).await else {
            self.suspect();
            // A request that timed out takes its connection with it.
            self.connection = None;
            return None;
        };
        self.answer = None;
        Some((outcome, self.lease.take()?, self.connection.take()?))
    }

    /// Makes connections that were quiet for as long as this one suspect, so that the next request
    /// does not meet the same end.
    fn suspect(&mut self) {
        let Some(lease) = self.lease.as_ref() else {
            return;
        };
        let pool = lease.pool();
        let now = pool.clock.monotonic();
        if now.saturating_sub(self.sent_at) >= pool.suspicion_time() {
            pool.suspect(self.sent_at);
            self.suspected = true;
        }
    }
}

impl Drop for PendingExchange {
    fn drop(&mut self) {
        let (Some(answer), Some(lease)) = (self.answer.take(), self.lease.take()) else {
            return;
        };
        let Ok(handle) = Handle::try_current() else {
            return;
        };
        lease.pool().lock().slot(lease.key()).phase = SlotPhase::Stray;
        let suspicion = (!self.suspected).then_some(self.sent_at);
        let connection = self.connection.take();
        handle.spawn(follow(answer, lease, connection, self.sent_at, suspicion));
    }
}

/// Waits for the answer of an exchange that was given up, so that its slot is known to be free.
async fn follow(
    mut answer: SendFuture,
    lease: SlotLease,
    connection: Option<EndpointConnection>,
    sent_at: Duration,
    suspicion: Option<Duration>,
) {
    let pool = Arc::clone(lease.pool());
    let longest = pool.settings.longest_request;
    let early = match suspicion {
        Some(sent_at) => follow_early(&pool, &mut answer, sent_at).await,
        None => None,
    };
    let (head, connection) = match early {
        Some(head) => (Ok(head), connection),
        None => (timeout(longest, answer).await, None),
    };
    match head {
        Err(_) => lease.end(ExchangeEnd::Over),
        Ok(Ok(response)) => {
            let latency = pool.clock.monotonic().saturating_sub(sent_at);
            drain(response, lease, connection, latency).await;
        }
        Ok(Err(mut error)) => lease.end(match error.take_message() {
            Some(_) => ExchangeEnd::Unused { connection: None },
            None => ExchangeEnd::Unknown,
        }),
    }
}

/// Waits until the connection counts as silent, and then makes others like it suspect.
async fn follow_early(
    pool: &ServicePool,
    answer: &mut SendFuture,
    sent_at: Duration,
) -> Option<SendOutcome> {
    if let Ok(head) = timeout(pool.suspicion_time(), answer).await {
        return Some(head);
    }
    pool.suspect(sent_at);
    None
}

/// Reads the rest of an answer that nobody wants, and then frees its slot. A connection whose answer
/// was read in whole can carry the next request.
pub(crate) async fn drain(
    response: Response<Incoming>,
    lease: SlotLease,
    connection: Option<EndpointConnection>,
    latency: Duration,
) {
    let longest = lease.pool().settings.longest_request;
    let mut body = response.into_body();
    let whole = timeout(longest, async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    });
    let end = match whole.await {
        Ok(true) => ExchangeEnd::Answered {
            latency,
            verdict: AnswerVerdict::Good,
            connection: heard_now(connection, &lease),
        },
        Ok(false) => ExchangeEnd::Unknown,
        Err(_) => ExchangeEnd::Over,
    };
    lease.end(end);
}

fn heard_now(
    connection: Option<EndpointConnection>,
    lease: &SlotLease,
) -> Option<EndpointConnection> {
    let mut connection = connection.filter(EndpointConnection::is_open)?;
    connection.last_heard = lease.pool().clock.monotonic();
    Some(connection)
}
