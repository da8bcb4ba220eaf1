//! Which requests belong to a class.

use serde::{
    Deserialize,
    Serialize, //
};

/// Which requests belong to a class: the longest matching path prefix of a matching host wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The `Host` header's name without its port; any host when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The start of the request's path; begins with `/`.
    pub path_prefix: String,
}
