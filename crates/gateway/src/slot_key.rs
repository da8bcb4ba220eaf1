//! The keys of a pool's endpoints and slots.

/// The key of an endpoint in its pool's arena.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct EndpointKey(pub(crate) usize);

/// The key of a slot: its endpoint, and its number there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SlotKey {
    pub(crate) endpoint: EndpointKey,
    pub(crate) slot: u16,
}
