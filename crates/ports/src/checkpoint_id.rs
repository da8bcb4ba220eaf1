//! The name under which a worker kept a checkpoint of a task.

use jasminebend_base::text_name;

text_name!(
    /// The name under which a worker kept a checkpoint of a task.
    CheckpointId
);
