//! The port of the platform's object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{
    ObjectError,
    ObjectKey, //
};

/// The port of the platform's object store. A key is written once: writing it again with the same
/// bytes changes nothing, so that every operation is idempotent.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object whole.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), ObjectError>;

    /// Reads an object whole; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, ObjectError>;

    /// Deletes an object; one that does not exist is no error.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn delete(&self, key: &ObjectKey) -> Result<(), ObjectError>;
}
