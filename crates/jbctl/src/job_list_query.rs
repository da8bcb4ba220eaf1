//! Page of the job list to request.

/// The page of the job list to request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobListQuery {
    /// The maximum number of jobs; `None` for the daemon's default.
    pub limit: Option<u32>,
    /// The identifier of the last job of the previous page; `None` for the first page.
    pub after: Option<String>,
}

impl JobListQuery {
    /// Returns the URL path and query that request the page.
    pub(crate) fn path(&self) -> String {
        let limit = self.limit.map(|limit| format!("limit={limit}"));
        let after = self.after.as_ref().map(|job| format!("after={job}"));
        let query_parameters: Vec<String> = limit.into_iter().chain(after).collect();
        match query_parameters.is_empty() {
            true => "/v1/jobs".to_owned(),
            false => format!("/v1/jobs?{}", query_parameters.join("&")),
        }
    }
}
