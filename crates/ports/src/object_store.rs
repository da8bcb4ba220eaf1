//! The port to the platform's object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{
    ObjectError,
    ObjectKey, //
};

/// The port to the platform's object store. Callers write each key with one content only, so that
/// writing it again has no effect and every operation is idempotent.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes a whole object.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), ObjectError>;

    /// Reads a whole object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, ObjectError>;

    /// Deletes an object. An object that does not exist is not an error.
    ///
    /// # Errors
    ///
    /// Any [`ObjectError`].
    async fn delete(&self, key: &ObjectKey) -> Result<(), ObjectError>;
}
