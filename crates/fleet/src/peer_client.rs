//! Calls to other daemons.

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

/// How long a probe waits. Three of them, with their pauses, make an owner silent.
const PROBE: Duration = Duration::from_millis(400);

/// Why another daemon did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerFault {
    /// It never saw the call.
    Unsent,
    /// It may have done what it was asked.
    Unanswered,
}

/// Calls to other daemons.
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

    /// Asks whether there is room for a job; nothing if no owner answered.
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
