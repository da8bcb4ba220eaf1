//! Pagination of the list of jobs.

use serde_json::{
    Value,
    json, //
};

use crate::admin_error::AdminError;

const DEFAULT_LIMIT: usize = 200;
const MAX_LIMIT: usize = 1000;

/// A requested page of the list of jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct JobPage {
    /// The greatest number of jobs on the page.
    limit: usize,
    /// The identifier of the last job of the previous page, as 16 hexadecimal digits; `None` for the first page.
    after: Option<String>,
}

impl JobPage {
    /// Parses a query such as `limit=N&after=ID`; both parameters are optional.
    pub(crate) fn parse(query: Option<&str>) -> Result<Self, AdminError> {
        let mut page = Self {
            limit: DEFAULT_LIMIT,
            after: None,
        };
        let pairs = query.unwrap_or_default().split('&');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            page.set_parameter(pair)
                .ok_or_else(|| AdminError::BadPage {
                    query: pair.to_owned(),
                })?;
        }
        Ok(page)
    }

    /// Sets one parameter; returns `None` if the parameter or its value is invalid.
    fn set_parameter(&mut self, pair: &str) -> Option<()> {
        match pair.split_once('=')? {
            ("limit", limit) => {
                let limit = limit.parse().ok();
                self.limit = limit.filter(|limit| (1..=MAX_LIMIT).contains(limit))?;
            }
            ("after", job) => {
                // Identifiers are compared as text, which orders them correctly only at full length.
                let job = u64::from_str_radix(job, 16).ok()?;
                self.after = Some(format!("{job:016x}"));
            }
            _ => return None,
        }
        Some(())
    }

    /// Returns the page out of all jobs, with the `after` of the next page.
    ///
    /// Pages are delimited by identifiers and not by positions, so jobs that are added or removed between two requests
    /// cause no other job to be skipped or repeated.
    pub(crate) fn select(&self, mut jobs: Vec<Value>) -> Value {
        jobs.sort_by(|one, other| job_id(one).cmp(job_id(other)));
        let after = self.after.as_deref().unwrap_or_default();
        let first = jobs.partition_point(|job| job_id(job) <= after);
        let mut rest = jobs.split_off(first);
        let more = rest.len() > self.limit;
        rest.truncate(self.limit);
        let last = rest.last().filter(|_| more);
        let after = last.map(|job| job_id(job).to_owned());
        json!({"jobs": rest, "after": after})
    }
}

fn job_id(job: &Value) -> &str {
    job["job"].as_str().unwrap_or_default()
}
