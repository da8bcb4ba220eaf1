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
    CallerCall,
    HttpFault,
    HttpPool,
    OwnerProbe,
    PeerAnswer,
    PeerCall, //
};

/// How long a probe waits. An owner is taken for silent after three unanswered probes and the pauses between them.
const PROBE: Duration = Duration::from_millis(400);

/// Why a call to another daemon failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerFault {
    /// The call was not sent.
    Unsent,
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

    pub(crate) async fn probe(&self, address: &str, token: u64) -> OwnerProbe {
        match self.call(address, &PeerCall::Probe { token }, PROBE).await {
            Ok(PeerAnswer::Health(health)) => OwnerProbe::Answered(health),
            Ok(PeerAnswer::Served(_) | PeerAnswer::Admission(_)) => OwnerProbe::Silent,
            Err(HttpFault::Closed) => OwnerProbe::Gone,
            Err(HttpFault::Unsent | HttpFault::Unanswered) => OwnerProbe::Silent,
        }
    }

    pub(crate) async fn serve(
        &self,
        address: &str,
        call: CallerCall,
        patience: Duration,
    ) -> Result<CallerAnswer, PeerFault> {
        match self.call(address, &PeerCall::Serve(call), patience).await {
            Ok(PeerAnswer::Served(answer)) => Ok(answer),
            Ok(PeerAnswer::Health(_) | PeerAnswer::Admission(_)) | Err(HttpFault::Unanswered) => {
                Err(PeerFault::Unanswered)
            }
            Err(HttpFault::Closed | HttpFault::Unsent) => Err(PeerFault::Unsent),
        }
    }

    /// Asks the daemon at `address` for an admission decision; returns `None` if it did not answer or is not the owner.
    pub(crate) async fn admit(
        &self,
        address: &str,
        key: JobKey,
        queue: &str,
        graph: &JobGraph,
        patience: Duration,
    ) -> Option<Admission> {
        let call = PeerCall::Admit {
            key,
            queue: queue.to_owned(),
            graph: graph.clone(),
        };
        match self.call(address, &call, patience).await {
            Ok(PeerAnswer::Admission(admission)) => admission,
            Ok(_) | Err(_) => None,
        }
    }

    async fn call(
        &self,
        address: &str,
        call: &PeerCall,
        timeout: Duration,
    ) -> Result<PeerAnswer, HttpFault> {
        let body = postcard::to_stdvec(call).map_err(|_| HttpFault::Unsent)?;
        let request = Request::post("/peer")
            .header(http::header::HOST, address)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| HttpFault::Unsent)?;
        let reply = self.pool.call(address, request, timeout).await?;
        postcard::from_bytes(&reply.body).map_err(|_| HttpFault::Unanswered)
    }
}
