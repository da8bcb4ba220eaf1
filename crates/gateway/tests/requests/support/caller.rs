//! A caller that sends raw bytes and parses the response itself.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout,
};

/// How long a connection may take to close.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response as the caller received it.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The status code, or zero if the response has none.
    pub(crate) status: u16,
    /// The status line and the headers, in lower case.
    pub(crate) head: String,
    /// The decoded body.
    pub(crate) body: String,
    /// Whether the framing shows that the body is complete.
    pub(crate) is_complete: bool,
}

impl Reply {
    fn parse(bytes: &[u8], closed_cleanly: bool) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        let mut reply = Self {
            status: status.unwrap_or(0),
            head: head.to_ascii_lowercase(),
            body: body.to_owned(),
            is_complete: closed_cleanly && status.is_some(),
        };
        if reply.header("transfer-encoding").is_some() {
            reply.is_complete = body.ends_with("0\r\n\r\n");
            reply.body = decode_chunked(body);
        } else if let Some(length) = reply.header("content-length") {
            reply.is_complete = length.parse() == Ok(body.len());
        }
        reply
    }

    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(header, _)| *header == name)
            .map(|(_, value)| value)
    }

    /// Returns the `Jasminebend-Executed` header: whether the request was run.
    pub(crate) fn executed(&self) -> Option<&str> {
        self.header("jasminebend-executed")
    }

    /// Returns the `Jasminebend-Reason` header.
    pub(crate) fn reason(&self) -> Option<&str> {
        self.header("jasminebend-reason")
    }
}

/// Decodes a chunked body, up to the first error.
fn decode_chunked(mut rest: &str) -> String {
    let mut decoded = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        let Some(part) = tail.get(..size).filter(|_| size > 0) else {
            break;
        };
        decoded.push_str(part);
        rest = tail[size..].trim_start_matches("\r\n");
    }
    decoded
}

/// Opens a connection and sends bytes on it.
pub(crate) async fn open_and_send(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

/// Sends bytes on a new connection and reads until it closes.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &str) -> Reply {
    let mut stream = open_and_send(address, bytes).await;
    let mut got = Vec::new();
    let read = timeout(READ_TIMEOUT, stream.read_to_end(&mut got)).await;
    let closed_cleanly = read.expect("the connection did not close in time").is_ok();
    Reply::parse(&got, closed_cleanly)
}

/// Sends one request on a new connection. `line` is the method and the target; `headers` are
/// complete header lines.
pub(crate) async fn send_request(
    address: SocketAddr,
    line: &str,
    headers: &str,
    body: &str,
) -> Reply {
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: shop\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    );
    send_raw(address, &request).await
}
