//! The client for the HTTP API of other daemons.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use jasminebend_dispatch::{
    Admission,
    JobGraph,
    JobKey, //
};

use crate::{
    CallerAnswer,
    CallerRequest,
    HttpError,
    HttpPool,
    PeerAnswer,
    PeerRequest,
    ProbeResult, //
};

/// How long a probe waits. An owner is taken for silent after three unanswered probes and the pauses between them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a call to another daemon failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerCallError {
    /// The call was not sent.
    NotSent,
    /// The call was sent and may have taken effect.
    Unanswered,
}

/// The client for the HTTP API of other daemons.
#[derive(Clone)]
pub(crate) struct PeerClient {
    pool: Rc<HttpPool>,
}

impl PeerClient {
    pub(crate) fn new(pool: Rc<HttpPool>) -> Self {
        Self { pool }
    }

    pub(crate) async fn probe(&self, address: &str, token: u64) -> ProbeResult {
        match self
            .call(address, &PeerRequest::Probe { token }, PROBE_TIMEOUT)
            .await
        {
            Ok(PeerAnswer::Health(health)) => ProbeResult::Answered(health),
            Ok(PeerAnswer::Served(_) | PeerAnswer::Admission(_)) => ProbeResult::Unanswered,
            Err(HttpError::ConnectionRefused) => ProbeResult::ConnectionRefused,
            Err(HttpError::NotSent | HttpError::Unanswered) => ProbeResult::Unanswered,
        }
    }

    pub(crate) async fn forward_request(
        &self,
        address: &str,
        call: CallerRequest,
        timeout: Duration,
    ) -> Result<CallerAnswer, PeerCallError> {
        match self.call(address, &PeerRequest::Serve(call), timeout).await {
            Ok(PeerAnswer::Served(answer)) => Ok(answer),
            Ok(PeerAnswer::Health(_) | PeerAnswer::Admission(_)) | Err(HttpError::Unanswered) => {
                Err(PeerCallError::Unanswered)
            }
            Err(HttpError::ConnectionRefused | HttpError::NotSent) => Err(PeerCallError::NotSent),
        }
    }

    /// Asks the daemon at `address` for an admission decision; returns `None` if it did not answer or is not the owner.
    pub(crate) async fn admit(
        &self,
        address: &str,
        key: JobKey,
        queue: &str,
        graph: &JobGraph,
        timeout: Duration,
    ) -> Option<Admission> {
        let call = PeerRequest::Admit {
            key,
            queue: queue.to_owned(),
            graph: graph.clone(),
        };
        match self.call(address, &call, timeout).await {
            Ok(PeerAnswer::Admission(admission)) => admission,
            Ok(_) | Err(_) => None,
        }
    }

    async fn call(
        &self,
        address: &str,
        call: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, HttpError> {
        let body = postcard::to_stdvec(call).map_err(|_| HttpError::NotSent)?;
        let request = Request::post("/peer")
            .header(http::header::HOST, address)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| HttpError::NotSent)?;
        let reply = self.pool.call(address, request, timeout).await?;
        postcard::from_bytes(&reply.body).map_err(|_| HttpError::Unanswered)
    }
}
