//! [`RequestHeadScanner`]: scans the bytes of a caller for ambiguous request heads.

use std::mem;

use crate::head_error::HeadError;

/// The most headers in a head. hyper has the same limit.
const MAX_HEADERS: usize = 100;

/// Scans the bytes of a caller for a request whose length is ambiguous: one with both
/// `Content-Length` and `Transfer-Encoding`, or with more than one `Content-Length`. hyper accepts
/// such requests and picks one of the lengths. A proxy between the caller and this gateway may have
/// picked the other one, and would take the rest of the body for the head of another request
/// (request smuggling).
///
/// It also detects a malformed or oversized first head, to which the gateway responds itself.
#[derive(Debug)]
pub(crate) struct RequestHeadScanner {
    state: ScannerState,
    ambiguous_length: bool,
    is_first_head: bool,
    first_error: Option<HeadError>,
    max_head_bytes: usize,
}

/// What the next bytes belong to.
#[derive(Debug)]
enum ScannerState {
    /// A head, with the bytes of it that arrived so far.
    Head(Vec<u8>),
    /// A body, with the number of bytes that are still to come.
    Body(u64),
    /// Unknown: after a chunked body or an error nothing more is scanned.
    Untracked,
}

/// The result of parsing the bytes of a head.
enum HeadScan {
    /// The head is incomplete.
    Partial,
    /// The head has this size, and its body this length; both in bytes.
    FixedLength(usize, u64),
    /// The head violates the protocol.
    Malformed,
    /// The body is chunked or has an ambiguous length.
    Untracked { ambiguous_length: bool },
}

impl RequestHeadScanner {
    /// Creates a scanner for heads of at most `max_head_bytes` bytes.
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            state: ScannerState::Head(Vec::new()),
            ambiguous_length: false,
            is_first_head: true,
            first_error: None,
            max_head_bytes,
        }
    }

    /// Scans bytes that the caller sent.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match &mut self.state {
                ScannerState::Untracked => return,
                ScannerState::Body(remaining_bytes) => skip_body(remaining_bytes, bytes),
                ScannerState::Head(_) => self.scan_head(bytes),
            };
            if matches!(self.state, ScannerState::Body(0)) {
                self.state = ScannerState::Head(Vec::new());
            }
        }
    }

    /// Returns whether a request with an ambiguous length has arrived.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.ambiguous_length
    }

    /// Returns the error in the first head of the connection. Errors in later heads are left to
    /// hyper, which knows whether the earlier responses were sent.
    pub(crate) fn first_head_error(&self) -> Option<HeadError> {
        self.first_error
    }

    /// Returns whether a head has begun to arrive and is incomplete.
    pub(crate) fn is_within_head(&self) -> bool {
        matches!(&self.state, ScannerState::Head(head) if !head.is_empty())
    }

    fn scan_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let ScannerState::Head(buffered) = &mut self.state else {
            return bytes;
        };
        let buffered_length = buffered.len();
        let result = match buffered_length {
            0 => parse_head(bytes),
            _ => {
                buffered.extend_from_slice(bytes);
                parse_head(buffered)
            }
        };
        match result {
            HeadScan::Partial => {
                self.buffer_partial_head(bytes, buffered_length);
                &[]
            }
            HeadScan::Malformed => {
                self.stop_tracking(HeadError::Malformed);
                &[]
            }
            HeadScan::Untracked { ambiguous_length } => {
                self.ambiguous_length |= ambiguous_length;
                if ambiguous_length {
                    self.stop_tracking(HeadError::Malformed);
                    return &[];
                }
                self.is_first_head = false;
                self.state = ScannerState::Untracked;
                &[]
            }
            HeadScan::FixedLength(head, body) => {
                self.is_first_head = false;
                self.state = ScannerState::Body(body);
                &bytes[head - buffered_length..]
            }
        }
    }

    fn buffer_partial_head(&mut self, bytes: &[u8], buffered_length: usize) {
        let ScannerState::Head(buffered) = &mut self.state else {
            return;
        };
        if buffered_length == 0 {
            *buffered = bytes.to_vec();
        }
        if buffered.len() >= self.max_head_bytes {
            // hyper reads no further than this either, and rejects the head.
            drop(mem::take(buffered));
            self.stop_tracking(HeadError::TooLarge);
        }
    }

    /// Stops scanning, and keeps the error if this is the first head.
    fn stop_tracking(&mut self, error: HeadError) {
        self.first_error = self.is_first_head.then_some(error);
        self.state = ScannerState::Untracked;
    }
}

fn skip_body<'a>(remaining_bytes: &mut u64, bytes: &'a [u8]) -> &'a [u8] {
    let count = usize::try_from(*remaining_bytes)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    // CAST: a `usize` of the supported targets fits a `u64`.
    *remaining_bytes -= count as u64;
    &bytes[count..]
}

fn parse_head(bytes: &[u8]) -> HeadScan {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => HeadScan::Partial,
        Err(_) => HeadScan::Malformed,
        Ok(httparse::Status::Complete(size)) => classify_framing(request.headers, size),
    }
}

fn classify_framing(headers: &[httparse::Header<'_>], size: usize) -> HeadScan {
    let headers_named = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let lengths = headers_named("content-length").count();
    let is_chunked = headers_named("transfer-encoding").next().is_some();
    if lengths > 1 || (lengths == 1 && is_chunked) {
        return HeadScan::Untracked {
            ambiguous_length: true,
        };
    }
    if is_chunked && !is_last_coding_chunked(headers) {
        return HeadScan::Malformed;
    }
    if is_chunked {
        return HeadScan::Untracked {
            ambiguous_length: false,
        };
    }
    let length = headers_named("content-length").next();
    let length = length.map_or(Some(0), |header| {
        let digits = header.value.iter().all(u8::is_ascii_digit);
        let text = str::from_utf8(header.value).ok().filter(|_| digits)?;
        text.parse().ok()
    });
    match length {
        Some(length) => HeadScan::FixedLength(size, length),
        None => HeadScan::Malformed,
    }
}

/// Returns whether `chunked` is the last transfer coding.
fn is_last_coding_chunked(headers: &[httparse::Header<'_>]) -> bool {
    let last_header = headers
        .iter()
        .rfind(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    let last = last_header.and_then(|header| header.value.rsplit(|byte| *byte == b',').next());
    last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
