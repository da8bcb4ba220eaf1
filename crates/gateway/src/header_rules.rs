//! Checks the head of a request, and removes and adds headers at this hop (RFC 9110, 7.6; RFC
//! 9112).

use std::net::IpAddr;

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Uri,
    Version,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        VIA, //
    },
    uri::PathAndQuery, //
};

use crate::{
    header_names::{
        FORWARDED,
        FORWARDED_FOR,
        KEEP_ALIVE,
        PROXY_CONNECTION, //
    },
    refusal::Refusal,
};

const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 jasminebend");
/// How many of the headers that `Connection` names are removed.
const MAX_CONNECTION_OPTIONS: usize = 16;

/// Rejects a request whose head must not be forwarded.
///
/// The checks include faults that hyper leaves to its user: two `Host` headers or none, a
/// `Transfer-Encoding` list with more than `chunked`, and a path with dot segments (which could
/// lead from one route to another).
pub(crate) fn check_head<Body>(request: &Request<Body>) -> Result<(), Refusal> {
    if request.method() == Method::CONNECT || request.headers().contains_key(UPGRADE) {
        return Err(Refusal::UpgradeRefused);
    }
    check_host(request)?;
    check_framing(request.headers())?;
    check_path(request.uri().path())
}

fn check_host<Body>(request: &Request<Body>) -> Result<(), Refusal> {
    let mut hosts = request.headers().get_all(HOST).iter();
    let first = hosts.next();
    if hosts.next().is_some() {
        return Err(Refusal::Malformed("it has two Host headers"));
    }
    match first {
        None if request.version() == Version::HTTP_10 => Ok(()),
        None => Err(Refusal::Malformed("it has no Host header")),
        Some(host) if is_valid_host(host.as_bytes()) => Ok(()),
        Some(_) => Err(Refusal::Malformed("its Host header is no host")),
    }
}

fn is_valid_host(host: &[u8]) -> bool {
    let is_legal = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:[]%".contains(byte);
    host.iter().all(is_legal)
}

fn check_framing(headers: &HeaderMap) -> Result<(), Refusal> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return check_length(headers);
    };
    let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !chunked || codings.next().is_some() {
        return Err(Refusal::Malformed("its Transfer-Encoding is not chunked"));
    }
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(Refusal::Malformed("it has two lengths"));
    }
    Ok(())
}

fn check_length(headers: &HeaderMap) -> Result<(), Refusal> {
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(Refusal::Malformed("it has two lengths"));
    }
    Ok(())
}

/// Rejects paths with dot segments, literal or percent-encoded: an endpoint that resolves them
/// would serve another route than the one by which the request was classified.
fn check_path(path: &str) -> Result<(), Refusal> {
    if !path.contains(['.', '%']) {
        return Ok(());
    }
    let decoded_path = path.to_ascii_lowercase();
    let decoded_path = decoded_path.replace("%2e", ".");
    let decoded_path = decoded_path
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/");
    let has_dot_segments = decoded_path
        .split('/')
        .any(|segment| segment == "." || segment == "..");
    match has_dot_segments {
        true => Err(Refusal::Malformed("its path has dot segments")),
        false => Ok(()),
    }
}

/// Returns the host of a request, without its port.
pub(crate) fn request_host<Body>(request: &Request<Body>) -> &str {
    if let Some(host) = request.uri().host() {
        return host;
    }
    let host = request.headers().get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    match host.rfind(':') {
        Some(colon) if !host.ends_with(']') => &host[..colon],
        _ => host,
    }
}

/// Converts the head of the request of a caller into the one that is sent to the endpoint.
pub(crate) fn prepare_request_head(uri: &mut Uri, headers: &mut HeaderMap, caller: IpAddr) {
    if let Some(authority) = uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, host);
    }
    if uri.authority().is_some() {
        *uri = origin_form(uri);
    }
    remove_hop_headers(headers);
    headers.remove(EXPECT);
    headers.remove(TE);
    headers.remove(&FORWARDED);
    headers.append(VIA, VIA_VALUE);
    append_forwarded_for(headers, caller);
}

/// Converts the head of the response of an endpoint into the one that is sent to the caller.
pub(crate) fn prepare_response_head(headers: &mut HeaderMap) {
    remove_hop_headers(headers);
    headers.append(VIA, VIA_VALUE);
}

/// Returns the path and query of a URI in absolute form.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri
        .path_and_query()
        .cloned()
        .unwrap_or(PathAndQuery::from_static("/"));
    Uri::from(path)
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(&KEEP_ALIVE);
    headers.remove(&PROXY_CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(TRAILER);
    headers.remove(UPGRADE);
}

/// Returns the headers that `Connection` names, except those that frame or address the message:
/// otherwise a caller could make the gateway drop the length of a body that it forwards.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| *name != CONTENT_LENGTH && *name != HOST)
        .take(MAX_CONNECTION_OPTIONS)
        .collect()
}

/// Appends the address of the caller to `X-Forwarded-For`.
fn append_forwarded_for(headers: &mut HeaderMap, caller: IpAddr) {
    let caller_address = caller.to_string();
    let forwarded_for = match headers.get(&FORWARDED_FOR).and_then(|v| v.to_str().ok()) {
        Some(earlier) => format!("{earlier}, {caller_address}"),
        None => caller_address,
    };
    if let Ok(value) = HeaderValue::from_str(&forwarded_for) {
        headers.insert(&FORWARDED_FOR, value);
    }
}

/// Returns whether a list of tokens, such as `Connection`, contains this one.
pub(crate) fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|own| own.trim().eq_ignore_ascii_case(token))
}
