//! The name under which a worker stored a checkpoint of a task.

use jasminebend_base::name_newtype;

name_newtype!(
    /// The name under which a worker stored a checkpoint of a task.
    CheckpointId
);
