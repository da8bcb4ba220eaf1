//! [`Connection`]: an open connection of a table.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Buf,
    Bytes, //
};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::{
    sync::Notify,
    time, //
};

use crate::{
    BodyError,
    BodyStart,
    ConnectionTable, //
};

/// An open connection of a table, with the memory of its request. Dropping it records that the connection has closed.
#[derive(Debug)]
pub struct Connection {
    table: ConnectionTable,
    id: u64,
    evicted: Arc<Notify>,
}

impl Connection {
    pub(crate) fn new(table: ConnectionTable, id: u64, evicted: Arc<Notify>) -> Self {
        Self { table, id, evicted }
    }

    /// Waits until the connection is to be closed for others. One with a complete request in progress is not.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&self) {
        self.table.state().begin_request(self.id);
    }

    /// Records that the request has no body or is not read further: the connection is not closed for others until it is
    /// answered.
    ///
    /// # Errors
    ///
    /// [`BodyError::Broken`] if the connection is already to be closed.
    pub fn complete_request(&self) -> Result<(), BodyError> {
        self.table.state().complete_body(self.id).map(drop)
    }

    /// Reads the body of a request, of at most `limit` bytes, within `timeout`. Its memory is counted as it arrives, and until
    /// [`Connection::end_request`]. What arrives of a body for which there is no memory is dropped, so that a client that
    /// sends its body before it reads sees the answer.
    ///
    /// # Errors
    ///
    /// Any [`BodyError`].
    pub async fn read_body<Content>(
        &self,
        body: Content,
        limit: usize,
        timeout: Duration,
    ) -> Result<Bytes, BodyError>
    where
        Content: Body,
    {
        let read = time::timeout(timeout, self.collect(body, limit)).await;
        let read = read.map_err(|_| BodyError::Late).flatten();
        if read.is_err() {
            self.table.state().discard_body(self.id);
        }
        read
    }

    /// Reads a body of at most `limit` bytes, or the beginning of a larger one, as [`Connection::read_body`] does. The request
    /// of a larger one is not complete: [`Connection::complete_request`] records when it is.
    ///
    /// # Errors
    ///
    /// Any [`BodyError`] but [`BodyError::TooLarge`].
    pub async fn read_start<Content>(
        &self,
        body: &mut Content,
        limit: usize,
        timeout: Duration,
    ) -> Result<BodyStart, BodyError>
    where
        Content: Body + Unpin,
    {
        let read = time::timeout(timeout, self.collect_start(body, limit)).await;
        let read = read.map_err(|_| BodyError::Late).flatten();
        if read.is_err() {
            self.table.state().discard_body(self.id);
        }
        read
    }

    /// Reads and drops the body of a request, so that a client that sends its body before it reads sees the answer.
    ///
    /// # Errors
    ///
    /// Any [`BodyError`] but [`BodyError::NoMemory`].
    pub async fn skip_body<Content>(
        &self,
        body: Content,
        limit: usize,
        timeout: Duration,
    ) -> Result<(), BodyError>
    where
        Content: Body,
    {
        let skipping = for_each_part(body, limit, |_| Ok(()));
        let skipped = time::timeout(timeout, skipping).await;
        skipped.map_err(|_| BodyError::Late).flatten()
    }

    /// Counts further memory of a request whose body has been read.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`] if there is none.
    pub fn reserve(&self, bytes: usize) -> Result<(), BodyError> {
        self.table.state().reserve(self.id, bytes)
    }

    /// Counts the memory of a request whose size is known anew, in place of what was counted before.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`] if there is none.
    pub fn hold(&self, bytes: usize) -> Result<(), BodyError> {
        self.table.state().hold(self.id, bytes)
    }

    /// Records that a request was answered, and releases its memory.
    pub fn end_request(&self) {
        self.table.record_answered(self.id);
    }

    async fn collect_start<Content>(
        &self,
        body: &mut Content,
        limit: usize,
    ) -> Result<BodyStart, BodyError>
    where
        Content: Body + Unpin,
    {
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            let Ok(mut data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            size += data.remaining();
            while data.has_remaining() {
                let part = data.chunk();
                let len = part.len();
                let appended = self.table.state().append(self.id, part, limit);
                if appended == Err(BodyError::NoMemory) {
                    self.table.state().discard_body(self.id);
                    // The client sees the answer even if the rest is not as expected.
                    for_each_part(&mut *body, limit, |_| Ok(())).await.ok();
                }
                appended?;
                data.advance(len);
            }
            if size > limit {
                let start = self.table.state().take_buffer(self.id)?;
                return Ok(BodyStart::Partial(Bytes::from(start)));
            }
        }
        let body = self.table.state().complete_body(self.id)?;
        Ok(BodyStart::Complete(Bytes::from(body)))
    }

    /// Copies the parts of a body as they arrive: each is a slice that keeps the whole buffer it was read into.
    async fn collect<Content>(&self, body: Content, limit: usize) -> Result<Bytes, BodyError>
    where
        Content: Body,
    {
        let mut appended = Ok(());
        for_each_part(body, limit, |part| {
            if appended.is_ok() {
                appended = self.table.state().append(self.id, part, limit);
            }
            match appended {
                Err(BodyError::NoMemory) => {
                    self.table.state().discard_body(self.id);
                    Ok(())
                }
                appended => appended,
            }
        })
        .await?;
        appended?;
        self.table.state().complete_body(self.id).map(Bytes::from)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.record_closed(self.id);
    }
}

/// Passes each part of a body of at most `limit` bytes to `take`.
async fn for_each_part<Content, Take>(
    body: Content,
    limit: usize,
    mut take: Take,
) -> Result<(), BodyError>
where
    Content: Body,
    Take: FnMut(&[u8]) -> Result<(), BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut size = 0_usize;
    if usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX) > limit {
        return Err(BodyError::TooLarge);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        size = size.saturating_add(data.remaining());
        if size > limit {
            return Err(BodyError::TooLarge);
        }
        while data.has_remaining() {
            let part = data.chunk();
            let len = part.len();
            take(part)?;
            data.advance(len);
        }
    }
    Ok(())
}
