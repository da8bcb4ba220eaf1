//! The HTTP API for other daemons.

use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use jasminebend_ingress::BodyError;

use crate::{
    CallerRequest,
    CallerVerb,
    HttpHandler,
    JobApi,
    PeerAnswer,
    PeerHealth,
    PeerRequest,
    RequestBody,
    admission_check::decide_as_owner,
    fleet_log::whole_millis,
    job_api::held_bytes,
    shared_state::SharedState, //
};

/// The size of a call beside the body of the caller's request that it carries, in bytes.
const ENVELOPE_BYTES: usize = 64 << 10;

/// The HTTP API for other daemons: probes, forwarded requests of callers, and admission decisions.
pub(crate) struct PeerApi {
    shared: Rc<SharedState>,
    job_api: Rc<JobApi>,
}

impl PeerApi {
    pub(crate) fn new(shared: Rc<SharedState>, job_api: Rc<JobApi>) -> Self {
        Self { shared, job_api }
    }

    async fn read_call(&self, body: &mut RequestBody) -> Result<PeerRequest, BodyError> {
        let limit = self.job_api.body_limit().saturating_add(ENVELOPE_BYTES);
        let bytes = body.read(limit).await?;
        let call = postcard::from_bytes(&bytes).map_err(|_| BodyError::Broken)?;
        if let PeerRequest::Serve(CallerRequest {
            verb: CallerVerb::Submit(graph),
            ..
        })
        | PeerRequest::Admit { graph, .. } = &call
        {
            body.reserve(held_bytes(graph))?;
        }
        Ok(call)
    }

    async fn answer(&self, call: PeerRequest) -> PeerAnswer {
        match call {
            PeerRequest::Probe { token } => {
                let may_report_token = self.may_report_token(token);
                self.shared.observe_token(token);
                PeerAnswer::Health(self.health(may_report_token))
            }
            PeerRequest::Serve(call) => {
                PeerAnswer::Served(self.job_api.answer_for_peer(call).await)
            }
            PeerRequest::Admit { key, queue, graph } => {
                PeerAnswer::Admission(decide_as_owner(&self.shared, key, &queue, &graph))
            }
        }
    }

    /// Returns whether this daemon may report the highest token it knows in answer to a probe with `token`. A daemon
    /// that has not read the store since its start may have known a newer owner before, and must not confirm an older
    /// one.
    fn may_report_token(&self, token: u64) -> bool {
        self.shared.owner_version.get() > 0 || self.shared.highest_token.get() > token
    }

    fn health(&self, may_report_token: bool) -> PeerHealth {
        PeerHealth {
            incarnation: self.shared.incarnation,
            acting: self.shared.acting_token(),
            known_token: match may_report_token {
                true => self.shared.highest_token.get(),
                false => 0,
            },
            without_store_ms: whole_millis(self.shared.store.failing_for()),
            loading: self.shared.loading_page_count(),
        }
    }
}

#[async_trait(?Send)]
impl HttpHandler for PeerApi {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Full<Bytes>> {
        let mut body = request.into_body();
        let call = match self.read_call(&mut body).await {
            Ok(call) => call,
            // A peer takes an answer without a body for none: the call may have taken effect.
            Err(BodyError::NoMemory) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Err(_) => return empty_response(StatusCode::BAD_REQUEST),
        };
        match postcard::to_stdvec(&self.answer(call).await) {
            Ok(bytes) => Response::new(Full::new(Bytes::from(bytes))),
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
