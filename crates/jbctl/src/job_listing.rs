//! Which jobs are listed.

/// Which jobs are listed: a page of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobListing {
    /// How many at most; `None` leaves it to the daemon.
    pub limit: Option<u32>,
    /// The job that the page before ended with.
    pub after: Option<String>,
}

impl JobListing {
    /// Returns the path that asks for them, with its query.
    pub(crate) fn path(&self) -> String {
        let limit = self.limit.map(|limit| format!("limit={limit}"));
        let after = self.after.as_ref().map(|job| format!("after={job}"));
        let query: Vec<String> = limit.into_iter().chain(after).collect();
        match query.is_empty() {
            true => "/v1/jobs".to_owned(),
            false => format!("/v1/jobs?{}", query.join("&")),
        }
    }
}
