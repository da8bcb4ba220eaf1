//! How frames stand on a connection: after a greeting of both sides, each frame behind its length.

use std::io::{
    self,
    ErrorKind, //
};

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
    LengthDelimitedCodec, //
};

/// A connection that carries frames.
pub(crate) type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// What either side says first: the TCP mapping of nanomsg's protocols, which earlier releases speak, and its part.
const SENDER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const RECEIVER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// What a connection's buffer holds at first, in bytes: a heartbeat among 250 members.
const FIRST_BUFFER: usize = 1024;
/// How many bytes a frame's length has, the highest first.
const LENGTH_BYTES: usize = 8;

/// Greets the peer that frames are sent to.
pub(crate) async fn greet_receiver(stream: TcpStream) -> io::Result<FrameStream> {
    greet(stream, SENDER, RECEIVER).await
}

/// Greets the peer that sends frames.
pub(crate) async fn greet_sender(stream: TcpStream) -> io::Result<FrameStream> {
    greet(stream, RECEIVER, SENDER).await
}

async fn greet(mut stream: TcpStream, own: [u8; 8], expected: [u8; 8]) -> io::Result<FrameStream> {
    stream.set_nodelay(true)?;
    stream.write_all(&own).await?;
    let mut heard = [0; 8];
    stream.read_exact(&mut heard).await?;
    if heard != expected {
        return Err(ErrorKind::InvalidData.into());
    }
    let codec = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Ok(Framed::with_capacity(stream, codec, FIRST_BUFFER))
}
