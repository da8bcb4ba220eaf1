//! The name under which a worker stored a checkpoint of a task.

use jasminebend_base::text_name;

text_name!(
    /// The name under which a worker stored a checkpoint of a task.
    CheckpointId
);
