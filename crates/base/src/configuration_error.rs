//! Why a configuration is refused.

use derive_more::{
    Display,
    Error, //
};

/// Why a configuration is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigurationError {
    /// A name is given twice.
    #[display("the {kind} `{name}` is declared twice; give each its own name")]
    DuplicateName {
        /// What is named: class, failure domain or team.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is empty.
    #[display("a {kind} has an empty name; give it one")]
    EmptyName {
        /// What is named: class, failure domain or team.
        kind: &'static str,
    },
    /// A class's target does not fit its kind.
    #[display(
        "class `{class}`: a service class takes `answer_within`, a batch class `finish_within`"
    )]
    TargetKind {
        /// The class.
        class: String,
    },
    /// A target is zero.
    #[display("class `{class}`: the target must be longer than zero")]
    ZeroTarget {
        /// The class.
        class: String,
    },
    /// A service class names no service, or no route.
    #[display("class `{class}`: a service class needs `service` and `route`")]
    MissingRoute {
        /// The class.
        class: String,
    },
    /// A route's prefix does not begin with a slash.
    #[display("class `{class}`: `path_prefix` must begin with `/`, not `{prefix}`")]
    BadPrefix {
        /// The class.
        class: String,
        /// The prefix as given.
        prefix: String,
    },
    /// No failure domain is left to take work.
    #[display("every failure domain is out; leave one in, or use force to take out the last one")]
    NoDomainIn,
}
