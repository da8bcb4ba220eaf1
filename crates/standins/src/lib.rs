//! Stand-ins for the platform, the endpoints and the workers. They serve the tests and the embedded
//! default of `jasminebend demo`.

mod fixed_ownership;
mod manual_clock;

pub use self::{
    fixed_ownership::FixedOwnership,
    manual_clock::ManualClock, //
};
