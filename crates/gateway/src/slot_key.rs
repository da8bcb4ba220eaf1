//! [`EndpointKey`] and [`SlotKey`]: the keys of the endpoints and slots of a pool.

/// The index of an endpoint in its pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct EndpointKey(pub(crate) usize);

/// The key of a slot: its endpoint, and its number there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SlotKey {
    /// The endpoint of the slot.
    pub(crate) endpoint: EndpointKey,
    /// The number of the slot at its endpoint, from zero.
    pub(crate) slot: u16,
}
