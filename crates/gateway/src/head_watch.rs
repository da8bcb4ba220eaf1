//! Follows the heads of a caller's requests as bytes.

use std::mem;

use crate::head_fault::HeadFault;

const MOST_HEADERS: usize = 100;

/// Follows the heads of a caller's requests as bytes, for the one fault that hyper mends in
/// silence: a request with both `Content-Length` and `Transfer-Encoding`, or with a length given
/// twice. Whoever stands between the caller and us may have gone by the other length, and would
/// take the rest of such a body for the head of a request of its own.
#[derive(Debug)]
pub(crate) struct HeadWatch {
    state: WatchState,
    two_lengths: bool,
    first: bool,
    fault: Option<HeadFault>,
    most_bytes: usize,
}

#[derive(Debug)]
enum WatchState {
    Head(Vec<u8>),
    Body(u64),
    Unfollowed,
}

enum HeadFind {
    Partial,
    Sized(usize, u64),
    Faulty,
    Unfollowed { two_lengths: bool },
}

impl HeadWatch {
    /// Creates a watch over heads of at most so many bytes.
    pub(crate) fn new(most_bytes: usize) -> Self {
        Self {
            state: WatchState::Head(Vec::new()),
            two_lengths: false,
            first: true,
            fault: None,
            most_bytes,
        }
    }

    /// Takes in what the caller sent.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match &mut self.state {
                WatchState::Unfollowed => return,
                WatchState::Body(left) => skip(left, bytes),
                WatchState::Head(_) => self.feed_head(bytes),
            };
            if matches!(self.state, WatchState::Body(0)) {
                self.state = WatchState::Head(Vec::new());
            }
        }
    }

    /// Tells whether a request with two lengths came.
    pub(crate) fn has_two_lengths(&self) -> bool {
        self.two_lengths
    }

    /// Returns what is wrong with the connection's first head. Later ones are left to hyper, which
    /// knows whether earlier answers have gone out.
    pub(crate) fn first_fault(&self) -> Option<HeadFault> {
        self.fault
    }

    /// Tells whether a head has begun and not ended.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(&self.state, WatchState::Head(head) if !head.is_empty())
    }

    fn feed_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let WatchState::Head(earlier) = &mut self.state else {
            return bytes;
        };
        let had = earlier.len();
        let found = match had {
            0 => find_head(bytes),
            _ => {
                earlier.extend_from_slice(bytes);
                find_head(earlier)
            }
        };
        match found {
            HeadFind::Partial => {
                self.keep_partial(bytes, had);
                &[]
            }
            HeadFind::Faulty => {
                self.fail(HeadFault::Malformed);
                &[]
            }
            HeadFind::Unfollowed { two_lengths } => {
                self.two_lengths |= two_lengths;
                if two_lengths {
                    self.fail(HeadFault::Malformed);
                    return &[];
                }
                self.first = false;
                self.state = WatchState::Unfollowed;
                &[]
            }
            HeadFind::Sized(head, body) => {
                self.first = false;
                self.state = WatchState::Body(body);
                &bytes[head - had..]
            }
        }
    }

    fn keep_partial(&mut self, bytes: &[u8], had: usize) {
        let WatchState::Head(earlier) = &mut self.state else {
            return;
        };
        if had == 0 {
            *earlier = bytes.to_vec();
        }
        if earlier.len() >= self.most_bytes {
            // hyper reads no further than this either, and refuses the head.
            drop(mem::take(earlier));
            self.fail(HeadFault::TooLarge);
        }
    }

    fn fail(&mut self, fault: HeadFault) {
        self.fault = self.first.then_some(fault);
        self.state = WatchState::Unfollowed;
    }
}

fn skip<'a>(left: &mut u64, bytes: &'a [u8]) -> &'a [u8] {
    let count = usize::try_from(*left)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    // CAST: a `usize` of these machines fits a `u64`.
    *left -= count as u64;
    &bytes[count..]
}

fn find_head(bytes: &[u8]) -> HeadFind {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => HeadFind::Partial,
        Err(_) => HeadFind::Faulty,
        Ok(httparse::Status::Complete(size)) => judge_head(request.headers, size),
    }
}

fn judge_head(headers: &[httparse::Header<'_>], size: usize) -> HeadFind {
    let named = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let lengths = named("content-length").count();
    let chunked = named("transfer-encoding").next().is_some();
    if lengths > 1 || (lengths == 1 && chunked) {
        return HeadFind::Unfollowed { two_lengths: true };
    }
    if chunked && !ends_chunked(headers) {
        return HeadFind::Faulty;
    }
    if chunked {
        return HeadFind::Unfollowed { two_lengths: false };
    }
    let length = named("content-length").next();
    let length = length.map_or(Some(0), |header| {
        let digits = header.value.iter().all(u8::is_ascii_digit);
        let text = str::from_utf8(header.value).ok().filter(|_| digits)?;
        text.parse().ok()
    });
    match length {
        Some(length) => HeadFind::Sized(size, length),
        None => HeadFind::Faulty,
    }
}

fn ends_chunked(headers: &[httparse::Header<'_>]) -> bool {
    let coded = headers
        .iter()
        .rfind(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    let last = coded.and_then(|header| header.value.rsplit(|byte| *byte == b',').next());
    last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
