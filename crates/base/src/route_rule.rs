//! The rule that assigns requests to a class.

use serde::{
    Deserialize,
    Serialize, //
};

/// The rule that assigns requests to a class by host and path prefix. If several rules match a
/// request, the one with the longest path prefix applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The host name in the `Host` header, without the port; `None` matches any host.
    #[serde(default)]
    pub host: Option<String>,
    /// The prefix that the request's path must have; begins with `/`.
    pub path_prefix: String,
}
