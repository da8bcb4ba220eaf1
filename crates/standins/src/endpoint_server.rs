//! The server under the stand-in endpoint.

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
    endpoint_stand_in::{
        EndpointCell,
        stay_silent, //
    },
    tapped_stream::{
        StreamTap,
        TappedStream, //
    },
    wire_answer::{
        CutConnection,
        WireResult,
        refuse,
        reply, //
    }, //
};

const ID_HEADER: &str = "x-request-id";
const SIZE_HEADER: &str = "x-answer-bytes";
const MAX_ANSWER_BYTES: usize = 64 << 20;

pub(crate) async fn accept_all(
    listener: TcpListener,
    cell: Arc<EndpointCell>,
    mut closed: watch::Receiver<()>,
) {
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(serve_until_closed(stream, Arc::clone(&cell), closed.clone()));
            }
        }
    }
}

async fn serve_until_closed(
    stream: TcpStream,
    cell: Arc<EndpointCell>,
    mut closed: watch::Receiver<()>,
) {
    let tap = cell.taps.add();
    cell.ledger.open(&cell.name, cell.connections);
    tokio::select! {
        _ = closed.changed() => {}
        () = serve_connection(stream, Arc::clone(&cell), tap.clone()) => {}
    }
    cell.taps.remove(&tap);
    if !tap.is_silent() {
        cell.ledger.close(&cell.name);
    }
}

async fn serve_connection(stream: TcpStream, cell: Arc<EndpointCell>, tap: StreamTap) {
    // A connection that doesn't take the option works all the same, only slower.
    let _ = stream.set_nodelay(true);
    let stream = TappedStream::new(stream, tap.clone());
    let service = service_fn(move |request| answer(Arc::clone(&cell), tap.clone(), request));
    // How a connection ended is its caller's matter.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(cell: Arc<EndpointCell>, tap: StreamTap, request: Request<Incoming>) -> WireResult {
    let slot = Arc::clone(&cell.slots).try_acquire_owned().ok();
    cell.ledger
        .arrive(&cell.name, cell.clock.monotonic(), slot.is_none());
    let fault = cell.plan().draw_fault();
    match &fault {
        Some(EndpointFault::CloseUnrun) => return Err(CutConnection),
        Some(EndpointFault::GoSilent) => return go_silent(&cell, &tap).await,
        Some(EndpointFault::FailFast(status)) => return reply(*status, Bytes::new()),
        Some(EndpointFault::Refuse) => return refuse_for_good(),
        _ => {}
    }
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| CutConnection)?.to_bytes();
    let slot = match slot {
        Some(slot) => slot,
        None => wait_for_slot(&cell).await?,
    };
    // The work goes on in a task of its own, whether its caller waits or not.
    let work = tokio::spawn(work(
        Arc::clone(&cell),
        slot,
        head.headers,
        body,
        fault.clone(),
    ));
    let body = work.await.map_err(|_| CutConnection)?;
    send(&cell, &tap, fault, body).await
}

async fn wait_for_slot(cell: &EndpointCell) -> Result<OwnedSemaphorePermit, CutConnection> {
    let slot = Arc::clone(&cell.slots).acquire_owned().await;
    slot.map_err(|_| CutConnection)
}

async fn work(
    cell: Arc<EndpointCell>,
    slot: OwnedSemaphorePermit,
    headers: HeaderMap,
    body: Bytes,
    fault: Option<EndpointFault>,
) -> Bytes {
    let id = text(&headers, ID_HEADER);
    cell.ledger.start(&cell.name, cell.clock.monotonic(), id);
    let mut time = cell.plan().draw_time();
    if let Some(EndpointFault::Slow(added)) = fault {
        time += added;
    }
    if !time.is_zero() {
        time::sleep(time).await;
    }
    let size = text(&headers, SIZE_HEADER).and_then(|size| size.parse().ok());
    let size = size.unwrap_or_else(|| cell.plan().knobs.answer_bytes);
    cell.ledger.end(&cell.name);
    drop(slot);
    EndpointAnswer::build(id.unwrap_or_default(), &body, size.min(MAX_ANSWER_BYTES))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn send(
    cell: &EndpointCell,
    tap: &StreamTap,
    fault: Option<EndpointFault>,
    body: Bytes,
) -> WireResult {
    match fault {
        Some(EndpointFault::CloseBeforeAnswer) => return Err(CutConnection),
        Some(EndpointFault::GoSilentAfterRun) => return go_silent(cell, tap).await,
        Some(EndpointFault::FailAfterRun(status)) => return reply(status, body),
        Some(EndpointFault::CloseAfterHead) => tap.replace(head_of(&body), true),
        Some(EndpointFault::CloseMidBody) => {
            let half = body.slice(..body.len() / 2);
            tap.replace(join([head_of(&body), half]), true);
        }
        Some(EndpointFault::Raw(bytes)) => tap.replace(bytes, true),
        Some(EndpointFault::TrailingBytes(bytes)) => {
            tap.replace(join([head_of(&body), body.clone(), bytes]), false);
        }
        _ => {}
    }
    let mut response = reply(StatusCode::OK, body)?;
    if cell.plan().knobs.leaving {
        say_close(&mut response);
    }
    Ok(response)
}

async fn go_silent(cell: &EndpointCell, tap: &StreamTap) -> WireResult {
    cell.silence(tap);
    stay_silent().await
}

fn refuse_for_good() -> WireResult {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, "the endpoint is leaving")?;
    say_close(&mut response);
    Ok(response)
}

fn say_close<Body>(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

fn head_of(body: &Bytes) -> Bytes {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into()
}

fn join<const PARTS: usize>(parts: [Bytes; PARTS]) -> Bytes {
    parts.concat().into()
}
