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
use hyper::body::Incoming;

use crate::{
    HttpHandler,
    JobApi,
    PeerAnswer,
    PeerHealth,
    PeerRequest,
    admission_check::decide_as_owner,
    fleet_log::whole_millis,
    read_body,
    shared_state::SharedState, //
};

/// The largest accepted body of a peer's call, in bytes: a caller's body and its envelope.
const MAX_CALL_BYTES: usize = 4 << 20;

/// The HTTP API for other daemons: probes, forwarded requests of callers, and admission decisions.
pub(crate) struct PeerApi {
    shared: Rc<SharedState>,
    job_api: Rc<JobApi>,
}

impl PeerApi {
    pub(crate) fn new(shared: Rc<SharedState>, job_api: Rc<JobApi>) -> Self {
        Self { shared, job_api }
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
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = read_body(request.into_body(), MAX_CALL_BYTES).await;
        let call = body.ok().and_then(|body| postcard::from_bytes(&body).ok());
        let Some(call) = call else {
            return empty_response(StatusCode::BAD_REQUEST);
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
