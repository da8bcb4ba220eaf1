//! What an administration request asks for.

use http::Method;
use jasminebend_base::{
    DomainName,
    DomainState, //
};

use crate::{
    AccessRole,
    admin_error::AdminError,
    job_page::JobPage, //
};

/// What an administration request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AdminRoute {
    Health,
    Readiness,
    Metrics,
    Status,
    ReadConfiguration,
    ReplaceConfiguration,
    SetDomain {
        name: DomainName,
        state: DomainState,
        force: bool,
    },
    ListClasses,
    SubmitJob,
    ListJobs(JobPage),
    ReadJob(String),
    CancelJob(String),
}

impl AdminRoute {
    pub(crate) fn parse(
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Result<Self, AdminError> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => only(method, Method::GET, Self::Health),
            ["readyz"] => only(method, Method::GET, Self::Readiness),
            ["metrics"] => only(method, Method::GET, Self::Metrics),
            ["v1", "status"] => only(method, Method::GET, Self::Status),
            ["v1", "configuration"] => configuration(method),
            ["v1", "domains", name, "out"] => domain(method, name, DomainState::Out, query),
            ["v1", "domains", name, "in"] => domain(method, name, DomainState::In, query),
            ["v1", "classes"] => only(method, Method::GET, Self::ListClasses),
            ["v1", "jobs"] => jobs(method, query),
            ["v1", "jobs", job] => one_job(method, job),
            _ => Err(AdminError::NoSuchPath {
                path: path.to_owned(),
            }),
        }
    }

    /// Returns the role that it takes; `None` if anybody may ask.
    pub(crate) fn role(&self) -> Option<AccessRole> {
        match self {
            Self::Health | Self::Readiness => None,
            Self::ReplaceConfiguration
            | Self::SetDomain { .. }
            | Self::SubmitJob
            | Self::CancelJob(_) => Some(AccessRole::Operate),
            _ => Some(AccessRole::Read),
        }
    }
}

fn only(method: &Method, allowed: Method, route: AdminRoute) -> Result<AdminRoute, AdminError> {
    if *method == allowed {
        return Ok(route);
    }
    Err(AdminError::WrongMethod {
        allowed: match allowed {
            Method::GET => "GET",
            _ => "POST",
        },
    })
}

fn configuration(method: &Method) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => Ok(AdminRoute::ReadConfiguration),
        Method::PUT => Ok(AdminRoute::ReplaceConfiguration),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, PUT",
        }),
    }
}

fn domain(
    method: &Method,
    name: &str,
    state: DomainState,
    query: Option<&str>,
) -> Result<AdminRoute, AdminError> {
    let force = match query {
        None | Some("" | "force=false") => false,
        Some("force=true") => true,
        Some(query) => {
            return Err(AdminError::BadQuery {
                query: query.to_owned(),
            });
        }
    };
    let route = AdminRoute::SetDomain {
        name: DomainName::from(name),
        state,
        force,
    };
    only(method, Method::POST, route)
}

fn jobs(method: &Method, query: Option<&str>) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => JobPage::parse(query).map(AdminRoute::ListJobs),
        Method::POST => Ok(AdminRoute::SubmitJob),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, POST",
        }),
    }
}

fn one_job(method: &Method, job: &str) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => Ok(AdminRoute::ReadJob(job.to_owned())),
        Method::DELETE => Ok(AdminRoute::CancelJob(job.to_owned())),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, DELETE",
        }),
    }
}
