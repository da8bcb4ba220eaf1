//! The request handler of the administration API.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    }, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    StatusCode,
    header, //
};
use http_body::Body;
use jasminebend_base::ConfigurationVersion;
use jasminebend_ingress::{
    BodyError,
    Connection, //
};
use jasminebend_ports::ClockSource;
use opentelemetry::context::FutureExt;
use spdlog::warn;
use tokio::time::timeout;

use crate::{
    AccessKeys,
    ControlError,
    ControlPort,
    LimitSettings,
    MetricsExporter,
    OperatorIdentity,
    TokenAttemptLimiter,
    TokenAttemptOutcome,
    admin_change::AdminChange,
    admin_error::AdminError,
    admin_response::{
        AdminResponse,
        error_response,
        json,
        text, //
    },
    admin_route::AdminRoute,
    admin_trace::change_context, //
};

const REQUESTS_METRIC: &str = "jasminebend_administration_requests_total";
const FAILED_TOKENS_METRIC: &str = "jasminebend_administration_failed_tokens_total";
const TIMEOUT_ADVICE: &str =
    "the answer took too long; read the configuration or the job and compare before trying again";

/// Handles administration requests: authenticates them, dispatches them to the control port and limits their
/// size, time and rate of failed tokens.
pub(crate) struct AdminService {
    control: Arc<dyn ControlPort>,
    keys: Arc<AccessKeys>,
    limits: LimitSettings,
    metrics: MetricsExporter,
    clock: Arc<dyn ClockSource>,
    token_attempts: Mutex<TokenAttemptLimiter>,
}

impl AdminService {
    pub(crate) fn new(
        control: Arc<dyn ControlPort>,
        keys: Arc<AccessKeys>,
        limits: LimitSettings,
        metrics: MetricsExporter,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        Self {
            control,
            keys,
            limits,
            metrics,
            clock,
            token_attempts: Mutex::new(TokenAttemptLimiter::new()),
        }
    }

    /// Answers one request. With `health_only`, serves only health, readiness and metrics, without a token.
    pub(crate) async fn answer<Content>(
        &self,
        request: Request<Content>,
        client: &Connection,
        peer: IpAddr,
        health_only: bool,
    ) -> AdminResponse
    where
        Content: Body + Send,
    {
        let answer = self.try_answer(request, client, peer, health_only).await;
        let answer = answer.unwrap_or_else(|error| error_response(&error));
        let status = answer.status().as_str().to_owned();
        metrics::counter!(REQUESTS_METRIC, "status" => status).increment(1);
        answer
    }

    async fn try_answer<Content>(
        &self,
        request: Request<Content>,
        client: &Connection,
        peer: IpAddr,
        health_only: bool,
    ) -> Result<AdminResponse, AdminError>
    where
        Content: Body + Send,
    {
        let (head, body) = request.into_parts();
        let route = AdminRoute::parse(&head.method, head.uri.path(), head.uri.query())?;
        if health_only {
            return self.answer_health_request(route, head.uri.path());
        }
        let operator = self.authorize(&route, &head.headers, peer)?;
        let body = self.read_body(&route, body, client).await?;
        match route {
            AdminRoute::Health => Ok(text("alive\n".to_owned())),
            AdminRoute::Readiness => Ok(self.readiness_response()),
            AdminRoute::Metrics => Ok(text(self.metrics.render())),
            AdminRoute::Status => Ok(json(StatusCode::OK, &self.control.status())),
            AdminRoute::ReadConfiguration => Ok(self.configuration_response()),
            AdminRoute::ListClasses => {
                let classes = &self.control.configuration().classes;
                Ok(json(StatusCode::OK, classes))
            }
            AdminRoute::ListJobs(page) => {
                let jobs = self.control.jobs().await?;
                Ok(json(StatusCode::OK, &page.select(jobs)))
            }
            AdminRoute::ReadJob(job) => Ok(json(StatusCode::OK, &self.control.job(&job).await?)),
            AdminRoute::ReplaceConfiguration => {
                let expected = expected_version(&head.headers)?;
                let change = AdminChange::replace(&body, expected)?;
                self.apply_change(change, operator, &head.headers).await
            }
            AdminRoute::SetDomain { name, state, force } => {
                let change = AdminChange::SetDomain { name, state, force };
                self.apply_change(change, operator, &head.headers).await
            }
            AdminRoute::SubmitJob => {
                let change = AdminChange::SubmitJob(body);
                self.apply_change(change, operator, &head.headers).await
            }
            AdminRoute::CancelJob(job) => {
                let change = AdminChange::CancelJob(job);
                self.apply_change(change, operator, &head.headers).await
            }
        }
    }

    fn answer_health_request(
        &self,
        route: AdminRoute,
        path: &str,
    ) -> Result<AdminResponse, AdminError> {
        match route {
            AdminRoute::Health => Ok(text("alive\n".to_owned())),
            AdminRoute::Readiness => Ok(self.readiness_response()),
            AdminRoute::Metrics => Ok(text(self.metrics.render())),
            _ => Err(AdminError::NoSuchPath {
                path: path.to_owned(),
            }),
        }
    }

    /// Reads the body of a request, and drops it where the route takes none.
    async fn read_body<Content>(
        &self,
        route: &AdminRoute,
        body: Content,
        client: &Connection,
    ) -> Result<Bytes, AdminError>
    where
        Content: Body + Send,
    {
        let limit = self.limits.administration_body;
        let time = self.limits.administration_timeout;
        let read = match route.takes_body() {
            true => client.read_body(body, limit, time).await,
            false => match client.skip_body(body, limit, time).await {
                Ok(()) => client.complete_request().map(|()| Bytes::new()),
                Err(error) => Err(error),
            },
        };
        read.map_err(|error| match error {
            BodyError::TooLarge => AdminError::BodyTooLarge { limit },
            BodyError::Broken => AdminError::BodyCut,
            BodyError::Late => AdminError::SlowRequest,
            BodyError::NoMemory => AdminError::MemoryFull,
        })
    }

    /// Returns the operator who sent a request if their role allows the route.
    fn authorize(
        &self,
        route: &AdminRoute,
        headers: &HeaderMap,
        peer: IpAddr,
    ) -> Result<OperatorIdentity, AdminError> {
        let Some(role) = route.role() else {
            return Ok(OperatorIdentity::anonymous());
        };
        let operator = self.identify(bearer_token(headers), peer)?;
        if operator.role >= role {
            return Ok(operator);
        }
        warn!(
            "[administration] {operator} was denied access: the request requires the role {role}."
        );
        Err(AdminError::Forbidden {
            name: operator.name,
            role,
        })
    }

    /// Returns the operator whom `token` belongs to, and limits failed attempts by address.
    ///
    /// A request without a token does not count as a failed attempt.
    fn identify(&self, token: Option<&str>, peer: IpAddr) -> Result<OperatorIdentity, AdminError> {
        let find = || self.keys.identify(token);
        if token.is_none() {
            return find().ok_or(AdminError::Unidentified);
        }
        let mut token_attempts = self
            .token_attempts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let outcome = token_attempts.attempt(peer, self.clock.monotonic(), find);
        drop(token_attempts);
        match outcome {
            TokenAttemptOutcome::Found(operator) => Ok(operator),
            TokenAttemptOutcome::Unknown => {
                metrics::counter!(FAILED_TOKENS_METRIC, "answer" => "unknown").increment(1);
                Err(AdminError::Unidentified)
            }
            TokenAttemptOutcome::TooFast { log } => {
                metrics::counter!(FAILED_TOKENS_METRIC, "answer" => "too_fast").increment(1);
                if log {
                    warn!(
                        "[administration] {peer} sent too many failed tokens and is rate-limited."
                    );
                }
                Err(AdminError::TooManyAttempts)
            }
        }
    }

    /// Applies a change in a separate task, so that an operator's disconnect cannot abort it between its intent and
    /// its commit, and its outcome is always logged.
    async fn apply_change(
        &self,
        change: AdminChange,
        operator: OperatorIdentity,
        headers: &HeaderMap,
    ) -> Result<AdminResponse, AdminError> {
        let control = Arc::clone(&self.control);
        let context = change_context(headers);
        let run = async move { change.run(control.as_ref(), &operator).await };
        let run = tokio::spawn(run.with_context(context));
        let limit = self.limits.administration_timeout;
        let Ok(Ok(outcome)) = timeout(limit, run).await else {
            return Err(AdminError::Control(ControlError::Unknown {
                find_out: TIMEOUT_ADVICE.to_owned(),
            }));
        };
        Ok(json(StatusCode::OK, &outcome?))
    }

    fn readiness_response(&self) -> AdminResponse {
        if self.control.ready() {
            return text("ready\n".to_owned());
        }
        let mut response = text("not ready\n".to_owned());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    /// Returns the configuration, with its version as the entity tag.
    fn configuration_response(&self) -> AdminResponse {
        let configuration = self.control.configuration();
        let mut response = json(StatusCode::OK, configuration.as_ref());
        let tag = format!("\"{}\"", configuration.version);
        if let Ok(tag) = tag.parse() {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token)
}

/// Parses the configuration version in the `If-Match` header.
fn expected_version(headers: &HeaderMap) -> Result<ConfigurationVersion, AdminError> {
    let value = headers.get(header::IF_MATCH);
    let value = value.and_then(|value| value.to_str().ok());
    let version = value.and_then(|value| value.trim_matches('"').parse().ok());
    version
        .map(ConfigurationVersion)
        .ok_or(AdminError::MissingVersion)
}
