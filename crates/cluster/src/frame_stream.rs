//! The framing of a connection: both sides exchange greetings, then each frame is preceded by its
//! length.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    sync::Arc, //
};

use jasminebend_ingress::Connection;
use jasminebend_wire::MAX_FRAME_BYTES;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};
use tokio_util::codec::{
    Framed,
    FramedParts,
    FramedRead,
    LengthDelimitedCodec, //
};

use crate::counted_codec::CountedCodec;

/// A connection that carries frames.
pub(crate) type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// The greeting of the sending side: the TCP mapping of nanomsg's protocols, which earlier releases
/// use, with the protocol number of a sender.
const SENDER_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
/// The greeting of the receiving side, with the protocol number of a receiver.
const RECEIVER_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// The initial size of a connection's buffer in bytes, enough for a heartbeat among 250 members.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// The size of a frame's length field in bytes; the length is big-endian.
const FRAME_LENGTH_BYTES: usize = 8;

/// Exchanges greetings with a peer to which frames are sent.
pub(crate) async fn greet_receiver(stream: TcpStream) -> io::Result<FrameStream> {
    exchange_greetings(stream, SENDER_GREETING, RECEIVER_GREETING).await
}

/// Exchanges greetings with a peer that sends frames, on a connection whose memory is counted.
pub(crate) async fn greet_sender(
    stream: TcpStream,
    connection: Arc<Connection>,
) -> io::Result<FramedRead<TcpStream, CountedCodec>> {
    let stream = exchange_greetings(stream, RECEIVER_GREETING, SENDER_GREETING).await?;
    let FramedParts { io, codec, .. } = stream.into_parts();
    let codec = CountedCodec::new(codec, connection);
    Ok(FramedRead::with_capacity(io, codec, INITIAL_BUFFER_BYTES))
}

/// Sends this side's greeting, and rejects the connection unless the peer sends the expected one.
async fn exchange_greetings(
    mut stream: TcpStream,
    own: [u8; 8],
    expected: [u8; 8],
) -> io::Result<FrameStream> {
    stream.set_nodelay(true)?;
    stream.write_all(&own).await?;
    let mut received = [0; 8];
    stream.read_exact(&mut received).await?;
    if received != expected {
        return Err(ErrorKind::InvalidData.into());
    }
    let codec = LengthDelimitedCodec::builder()
        .length_field_length(FRAME_LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Ok(Framed::with_capacity(stream, codec, INITIAL_BUFFER_BYTES))
}
