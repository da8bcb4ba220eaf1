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
    CallerDesk,
    HttpHandler,
    PeerAnswer,
    PeerCall,
    PeerHealth,
    admission_desk::decide_here,
    fleet_log::whole_millis,
    fleet_shared::FleetShared,
    read_body, //
};

/// The largest accepted body of a peer's call, in bytes: a caller's body and its envelope.
const LARGEST_CALL: usize = 4 << 20;

/// The HTTP API for other daemons: probes, forwarded requests of callers, and admission decisions.
pub(crate) struct PeerDesk {
    shared: Rc<FleetShared>,
    desk: Rc<CallerDesk>,
}

impl PeerDesk {
    pub(crate) fn new(shared: Rc<FleetShared>, desk: Rc<CallerDesk>) -> Self {
        Self { shared, desk }
    }

    async fn answer(&self, call: PeerCall) -> PeerAnswer {
        match call {
            PeerCall::Probe { token } => {
                let may_tell = self.may_tell(token);
                self.shared.note_token(token);
                PeerAnswer::Health(self.health(may_tell))
            }
            PeerCall::Serve(call) => PeerAnswer::Served(self.desk.answer_for_peer(call).await),
            PeerCall::Admit { key, queue, graph } => {
                PeerAnswer::Admission(decide_here(&self.shared, key, &queue, &graph))
            }
        }
    }

    /// Returns whether this daemon may report the highest token it knows in answer to a probe with `token`. A daemon that
    /// has not read the store since its start may have known a newer owner before, and must not confirm an older one.
    fn may_tell(&self, token: u64) -> bool {
        self.shared.owner_version.get() > 0 || self.shared.highest_token.get() > token
    }

    fn health(&self, may_tell: bool) -> PeerHealth {
        PeerHealth {
            incarnation: self.shared.incarnation,
            acting: self.shared.seat().map(|seat| seat.token()),
            known_token: match may_tell {
                true => self.shared.highest_token.get(),
                false => 0,
            },
            without_store_ms: whole_millis(self.shared.store.without()),
        }
    }
}

#[async_trait(?Send)]
impl HttpHandler for PeerDesk {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = read_body(request.into_body(), LARGEST_CALL).await;
        let call = body.ok().and_then(|body| postcard::from_bytes(&body).ok());
        let Some(call) = call else {
            return status(StatusCode::BAD_REQUEST);
        };
        match postcard::to_stdvec(&self.answer(call).await) {
            Ok(bytes) => Response::new(Full::new(Bytes::from(bytes))),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
