//! Which part of the list of jobs is asked for.

use serde_json::{
    Value,
    json, //
};

use crate::admin_error::AdminError;

const DEFAULT_LIMIT: usize = 200;
const MOST: usize = 1000;

/// Which part of the list of jobs is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct JobPage {
    limit: usize,
    after: Option<String>,
}

impl JobPage {
    /// Reads `limit=N&after=ID`, both of which may be left out.
    pub(crate) fn parse(query: Option<&str>) -> Result<Self, AdminError> {
        let mut page = Self {
            limit: DEFAULT_LIMIT,
            after: None,
        };
        let pairs = query.unwrap_or_default().split('&');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            page.set(pair).ok_or_else(|| AdminError::BadPage {
                query: pair.to_owned(),
            })?;
        }
        Ok(page)
    }

    fn set(&mut self, pair: &str) -> Option<()> {
        match pair.split_once('=')? {
            ("limit", limit) => {
                let limit = limit.parse().ok();
                self.limit = limit.filter(|limit| (1..=MOST).contains(limit))?;
            }
            ("after", job) => {
                // Identities are compared as text, which is their order only at full length.
                let job = u64::from_str_radix(job, 16).ok()?;
                self.after = Some(format!("{job:016x}"));
            }
            _ => return None,
        }
        Some(())
    }

    /// Cuts the page out of all jobs. Jobs that come and go between two pages move no other job to
    /// a page that was read before, because pages go by identity and not by number.
    pub(crate) fn cut(&self, mut jobs: Vec<Value>) -> Value {
        jobs.sort_by(|one, other| identity(one).cmp(identity(other)));
        let after = self.after.as_deref().unwrap_or_default();
        let first = jobs.partition_point(|job| identity(job) <= after);
        let mut rest = jobs.split_off(first);
        let more = rest.len() > self.limit;
        rest.truncate(self.limit);
        let last = rest.last().filter(|_| more);
        let after = last.map(|job| identity(job).to_owned());
        json!({"jobs": rest, "after": after})
    }
}

fn identity(job: &Value) -> &str {
    job["job"].as_str().unwrap_or_default()
}
