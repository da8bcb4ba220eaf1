//! Routes of the administration API.

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

/// The operation that an administration request asks for.
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
    /// Maps a request's method, path and query to a route.
    pub(crate) fn parse(
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Result<Self, AdminError> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => require_method(method, Method::GET, Self::Health),
            ["readyz"] => require_method(method, Method::GET, Self::Readiness),
            ["metrics"] => require_method(method, Method::GET, Self::Metrics),
            ["v1", "status"] => require_method(method, Method::GET, Self::Status),
            ["v1", "configuration"] => configuration_route(method),
            ["v1", "domains", name, "out"] => domain_route(method, name, DomainState::Out, query),
            ["v1", "domains", name, "in"] => domain_route(method, name, DomainState::In, query),
            ["v1", "classes"] => require_method(method, Method::GET, Self::ListClasses),
            ["v1", "jobs"] => jobs_route(method, query),
            ["v1", "jobs", job] => job_route(method, job),
            _ => Err(AdminError::NoSuchPath {
                path: path.to_owned(),
            }),
        }
    }

    /// Returns whether a request carries a body that matters.
    pub(crate) fn takes_body(&self) -> bool {
        matches!(self, Self::ReplaceConfiguration | Self::SubmitJob)
    }

    /// Returns the least role that the route requires; `None` if it needs no token.
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

fn require_method(
    method: &Method,
    allowed: Method,
    route: AdminRoute,
) -> Result<AdminRoute, AdminError> {
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

fn configuration_route(method: &Method) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => Ok(AdminRoute::ReadConfiguration),
        Method::PUT => Ok(AdminRoute::ReplaceConfiguration),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, PUT",
        }),
    }
}

fn domain_route(
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
    require_method(method, Method::POST, route)
}

fn jobs_route(method: &Method, query: Option<&str>) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => JobPage::parse(query).map(AdminRoute::ListJobs),
        Method::POST => Ok(AdminRoute::SubmitJob),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, POST",
        }),
    }
}

fn job_route(method: &Method, job: &str) -> Result<AdminRoute, AdminError> {
    match *method {
        Method::GET => Ok(AdminRoute::ReadJob(job.to_owned())),
        Method::DELETE => Ok(AdminRoute::CancelJob(job.to_owned())),
        _ => Err(AdminError::WrongMethod {
            allowed: "GET, DELETE",
        }),
    }
}
