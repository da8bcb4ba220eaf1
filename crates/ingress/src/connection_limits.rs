//! [`ConnectionLimits`]: what the clients of one listener may hold.

/// What the clients of one listener may hold, all together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The most open connections.
    pub connections: usize,
    /// The most bytes of requests that are being read or answered. A request alone may exceed it.
    pub request_bytes: usize,
    /// The largest head of a request, in bytes, and so the largest buffer of a connection; at least 8 KiB.
    pub head_bytes: usize,
}

impl ConnectionLimits {
    /// No limits, for listeners that only trusted clients reach.
    pub const NONE: Self = Self {
        connections: usize::MAX,
        request_bytes: usize::MAX,
        head_bytes: 1 << 20,
    };
}
