//! The HTTP/1.1 server of the stand-in endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header::CONNECTION, //
};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        watch, //
    },
    time, //
};

use crate::{
    EndpointAnswer,
    EndpointFault,
    controlled_stream::{
        ControlledStream,
        StreamControl, //
    },
    endpoint_stand_in::{
        EndpointState,
        wait_forever, //
    },
    wire_response::{
        CloseConnection,
        ResponseResult,
        body_response,
        refused_response, //
    }, //
};

const REQUEST_ID_HEADER: &str = "x-request-id";
const ANSWER_BYTES_HEADER: &str = "x-answer-bytes";
const MAX_ANSWER_BYTES: usize = 64 << 20;

pub(crate) async fn accept_all(
    listener: TcpListener,
    state: Arc<EndpointState>,
    mut closed: watch::Receiver<()>,
) {
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(serve_until_closed(stream, Arc::clone(&state), closed.clone()));
            }
        }
    }
}

async fn serve_until_closed(
    stream: TcpStream,
    state: Arc<EndpointState>,
    mut closed: watch::Receiver<()>,
) {
    let control = state.controls.add();
    state.ledger.record_open(&state.name, state.connections);
    tokio::select! {
        _ = closed.changed() => {}
        () = serve_connection(stream, Arc::clone(&state), control.clone()) => {}
    }
    state.controls.remove(&control);
    if !control.is_silent() {
        state.ledger.record_close(&state.name);
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<EndpointState>, control: StreamControl) {
    // A connection without this option still works, only slower.
    let _ = stream.set_nodelay(true);
    let stream = ControlledStream::new(stream, control.clone());
    let service = service_fn(move |request| answer(Arc::clone(&state), control.clone(), request));
    // Errors of a connection are ignored: the caller sees them on its side.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    state: Arc<EndpointState>,
    control: StreamControl,
    request: Request<Incoming>,
) -> ResponseResult {
    let slot = Arc::clone(&state.slots).try_acquire_owned().ok();
    state
        .ledger
        .record_arrival(&state.name, state.clock.monotonic(), slot.is_none());
    let fault = state.plan().next_fault();
    match &fault {
        Some(EndpointFault::CloseBeforeRun) => return Err(CloseConnection),
        Some(EndpointFault::SilenceBeforeRun) => return go_silent(&state, &control).await,
        Some(EndpointFault::FailFast(status)) => return body_response(*status, Bytes::new()),
        Some(EndpointFault::Refuse) => return refuse_leaving(),
        _ => {}
    }
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| CloseConnection)?
        .to_bytes();
    let slot = match slot {
        Some(slot) => slot,
        None => wait_for_slot(&state).await?,
    };
    // Processing continues in its own task, even if the caller gives up.
    let processing = tokio::spawn(process(
        Arc::clone(&state),
        slot,
        head.headers,
        body,
        fault.clone(),
    ));
    let body = processing.await.map_err(|_| CloseConnection)?;
    respond(&state, &control, fault, body).await
}

async fn wait_for_slot(state: &EndpointState) -> Result<OwnedSemaphorePermit, CloseConnection> {
    let slot = Arc::clone(&state.slots).acquire_owned().await;
    slot.map_err(|_| CloseConnection)
}

async fn process(
    state: Arc<EndpointState>,
    slot: OwnedSemaphorePermit,
    headers: HeaderMap,
    body: Bytes,
    fault: Option<EndpointFault>,
) -> Bytes {
    let id = header_text(&headers, REQUEST_ID_HEADER);
    state
        .ledger
        .record_start(&state.name, state.clock.monotonic(), id);
    let mut time = state.plan().next_service_time();
    if let Some(EndpointFault::Slow(added)) = fault {
        time += added;
    }
    if !time.is_zero() {
        time::sleep(time).await;
    }
    let size = header_text(&headers, ANSWER_BYTES_HEADER).and_then(|size| size.parse().ok());
    let size = size.unwrap_or_else(|| state.plan().settings.answer_bytes);
    state.ledger.record_end(&state.name);
    drop(slot);
    EndpointAnswer::build(id.unwrap_or_default(), &body, size.min(MAX_ANSWER_BYTES))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn respond(
    state: &EndpointState,
    control: &StreamControl,
    fault: Option<EndpointFault>,
    body: Bytes,
) -> ResponseResult {
    match fault {
        Some(EndpointFault::CloseBeforeAnswer) => return Err(CloseConnection),
        Some(EndpointFault::SilenceAfterRun) => return go_silent(state, control).await,
        Some(EndpointFault::FailAfterRun(status)) => return body_response(status, body),
        Some(EndpointFault::CloseAfterHead) => control.replace_response(response_head(&body), true),
        Some(EndpointFault::CloseMidBody) => {
            let half = body.slice(..body.len() / 2);
            control.replace_response(concat_parts([response_head(&body), half]), true);
        }
        Some(EndpointFault::Raw(bytes)) => control.replace_response(bytes, true),
        Some(EndpointFault::TrailingBytes(bytes)) => {
            control.replace_response(
                concat_parts([response_head(&body), body.clone(), bytes]),
                false,
            );
        }
        _ => {}
    }
    let mut response = body_response(StatusCode::OK, body)?;
    if state.plan().settings.leaving {
        set_connection_close(&mut response);
    }
    Ok(response)
}

async fn go_silent(state: &EndpointState, control: &StreamControl) -> ResponseResult {
    state.silence(control);
    wait_forever().await
}

fn refuse_leaving() -> ResponseResult {
    let mut response =
        refused_response(StatusCode::SERVICE_UNAVAILABLE, "the endpoint is leaving")?;
    set_connection_close(&mut response);
    Ok(response)
}

fn set_connection_close<Body>(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

fn response_head(body: &Bytes) -> Bytes {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into()
}

fn concat_parts<const PARTS: usize>(parts: [Bytes; PARTS]) -> Bytes {
    parts.concat().into()
}
