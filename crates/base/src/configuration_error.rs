//! The reason why a configuration is rejected.

use derive_more::{
    Display,
    Error, //
};

/// The reason why a configuration is rejected.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigurationError {
    /// Two classes, two failure domains or two teams have the same name.
    #[display("the {kind} `{name}` is declared twice; give each its own name")]
    DuplicateName {
        /// What the name belongs to: `class`, `failure domain` or `team`.
        kind: &'static str,
        /// The name that is declared twice.
        name: String,
    },
    /// A class, failure domain or team has an empty name.
    #[display("a {kind} has an empty name; give it one")]
    EmptyName {
        /// What the name belongs to: `class`, `failure domain` or `team`.
        kind: &'static str,
    },
    /// The target of a class does not fit its kind.
    #[display(
        "class `{class}`: a service class takes `answer_within`, a batch class `finish_within`"
    )]
    TargetKindMismatch {
        /// The name of the class.
        class: String,
    },
    /// The target of a class is zero.
    #[display("class `{class}`: the target must be longer than zero")]
    ZeroTarget {
        /// The name of the class.
        class: String,
    },
    /// A service class lacks its service or its route.
    #[display("class `{class}`: a service class needs `service` and `route`")]
    MissingServiceOrRoute {
        /// The name of the class.
        class: String,
    },
    /// The path prefix of a route does not begin with a slash.
    #[display("class `{class}`: `path_prefix` must begin with `/`, not `{prefix}`")]
    InvalidPathPrefix {
        /// The name of the class.
        class: String,
        /// The prefix as declared.
        prefix: String,
    },
    /// Every declared failure domain is out, so that no new work could start anywhere.
    #[display("every failure domain is out; leave one in, or use force to take out the last one")]
    AllDomainsOut,
}
