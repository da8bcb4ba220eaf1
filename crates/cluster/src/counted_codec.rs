//! [`CountedCodec`]: decodes the frames of a connection whose memory is counted.

use std::{
    io,
    sync::Arc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use jasminebend_ingress::Connection;
use tokio_util::codec::{
    Decoder,
    LengthDelimitedCodec, //
};

/// Decodes frames, and counts the buffer of an incomplete one. A frame is copied, as a part of the buffer would keep all of it.
pub(crate) struct CountedCodec {
    codec: LengthDelimitedCodec,
    connection: Arc<Connection>,
}

impl CountedCodec {
    pub(crate) fn new(codec: LengthDelimitedCodec, connection: Arc<Connection>) -> Self {
        Self { codec, connection }
    }
}

impl Decoder for CountedCodec {
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Bytes>> {
        let frame = self.codec.decode(buffer)?;
        if frame.is_some() {
            self.connection.end_request();
        }
        let held = self.connection.hold(buffer.capacity());
        held.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error.to_string()))?;
        Ok(frame.map(|frame| Bytes::copy_from_slice(&frame)))
    }
}
