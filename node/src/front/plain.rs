//! Plain services: any HTTP request, forwarded to a runner of the service.
//!
//! A request with an idempotency key runs at most once, even if nodes crash or the client retries.
//! One without a key is sent at most once by this node, unless its method is idempotent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use sardinepick_lib::admit::AdmissionRequest;
use sardinepick_lib::claim::{self, Outcome};
use sardinepick_lib::config::object::{Account, Form, Service};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::{Attempt, Name, Version};
use sardinepick_lib::outcome::{self as request, Fault as AttemptFault, NextStep, RetryMode, Run};
use sardinepick_lib::runner::{Prefix, Work};
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::timeout;

use super::account;
use super::body::RequestBody;
use super::completions::{request_id, requested_deadline};
use super::error::ApiError;
use crate::claims::{self, ClaimError, Grant, RequestKey};
use crate::completion::{
    Cause, DEFAULT_RETRY_AFTER, MAX_ATTEMPTS, RequestError, priority_and_deadline,
};
use crate::node::Node;
use crate::pool::{Permit, RunnerAttempt, SharedPool};
use crate::upstream::{Failure, Peer, completions};

/// The header with the idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header with the number of the client's attempt, from 1.
pub const ATTEMPT_HEADER: &str = "x-sardinepick-attempt";
/// The header with the epoch of the address list that the request was first sent with.
pub const EPOCH_HEADER: &str = "x-sardinepick-epoch";

/// The maximum length of a key in bytes.
const MAX_KEY_LEN: usize = 128;

/// The assumed time that a plain request occupies a slot.
const REQUEST_COST: Duration = Duration::from_millis(50);

/// The hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Handles a request to a plain service.
pub async fn handle(node: &Arc<Node>, request: Request<RequestBody>) -> Response<Body> {
    match try_handle(node.clone(), request).await {
        Ok(response) => response,
        Err(error) => error.response(),
    }
}

/// The path prefix of plain services.
pub const PREFIX: &str = "/services/";

async fn try_handle(
    node: Arc<Node>,
    request: Request<RequestBody>,
) -> Result<Response<Body>, ApiError> {
    let snapshot = node.config.load_full();
    let (head, content) = request.into_parts();
    let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let service = path.split('/').next().unwrap_or_default();
    let account = account::authenticate(&snapshot, &head.headers)?;
    let missing =
        || ApiError::not_found("service", format!("there is no plain service {service:?}"));
    let name: Name = service.parse().map_err(|_| missing())?;
    let service = snapshot.service(&name).filter(|s| s.form == Form::Plain).cloned();
    let service = service.ok_or_else(missing)?;
    let settings = &node.settings;
    let bytes = node.bodies.read(content, settings.max_body, settings.body_timeout).await?;
    let key = idempotency_key(&account, &service, &head, &bytes)?;
    let call = Call {
        id: request_id(&node, &head.headers)?,
        deadline: requested_deadline(&head.headers)?,
        node,
        snapshot,
        account,
        service,
        head,
        bytes,
    };
    match key {
        None => call.run(None).await,
        Some(key) => {
            // The call runs in its own task, so that its outcome is recorded even if the client
            // disconnects.
            let task = tokio::spawn(call.run_claimed(key));
            task.await.unwrap_or_else(|error| {
                log::error!(error:% = error; "task of a call failed");
                Err(unknown_outcome("the call ended by itself"))
            })
        }
    }
}

fn unknown_outcome(why: &str) -> ApiError {
    ApiError {
        status: StatusCode::CONFLICT,
        code: SmolStr::new_static("unknown"),
        kind: "conflict_error",
        run: Run::Unknown,
        ..ApiError::bad_request("", why)
    }
}

fn numeric_header(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, ApiError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.map(Some).ok_or_else(|| ApiError::bad_request(name, format!("{name} is a whole number")))
}

/// Returns the idempotency key of a request. It must come with an epoch: without one, the key
/// cannot be protected if its owner crashes.
fn idempotency_key(
    account: &Account,
    service: &Service,
    head: &Parts,
    bytes: &[u8],
) -> Result<Option<RequestKey>, ApiError> {
    let Some(value) = head.headers.get(KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= MAX_KEY_LEN);
    let text = text.ok_or_else(|| {
        ApiError::bad_request(KEY_HEADER, format!("a key is text of 1 to {MAX_KEY_LEN} bytes"))
    })?;
    let birth = numeric_header(&head.headers, EPOCH_HEADER)?
        .filter(|epoch| *epoch > 0)
        .ok_or_else(|| {
            ApiError::bad_request(
                EPOCH_HEADER,
                "a request with a key needs the epoch of the listing it was first sent by",
            )
        })?;
    let attempt = numeric_header(&head.headers, ATTEMPT_HEADER)?.unwrap_or(1);
    if attempt == 0 {
        return Err(ApiError::bad_request(ATTEMPT_HEADER, "attempts are counted from 1"));
    }
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let request = stable_hash(stable_hash(0, path.as_bytes()), bytes);
    Ok(Some(RequestKey {
        key: format_smolstr!("{}/{}/{text}", account.name, service.name),
        attempt: Attempt(attempt),
        birth: Version(birth),
        request,
    }))
}

/// A request to a plain service.
struct Call {
    node: Arc<Node>,
    snapshot: Arc<Snapshot>,
    account: Account,
    service: Service,
    head: Parts,
    bytes: Bytes,
    id: SmolStr,
    deadline: Option<Duration>,
}

/// A complete response of a runner, kept in memory so that it can be recorded.
struct BufferedResponse {
    head: Response<()>,
    bytes: Bytes,
}

impl BufferedResponse {
    fn into_response(self) -> Response<Body> {
        let (parts, ()) = self.head.into_parts();
        Response::from_parts(parts, Body::from(self.bytes))
    }

    fn outcome(&self) -> Outcome {
        if self.bytes.len() > claim::MAX_ANSWER_BYTES {
            return Outcome::NotKept;
        }
        let content_type = self.head.headers().get(header::CONTENT_TYPE);
        Outcome::Answered(claim::Answer {
            status: self.head.status().as_u16(),
            content_type: SmolStr::new(
                content_type.and_then(|v| v.to_str().ok()).unwrap_or_default(),
            ),
            body: self.bytes.to_vec(),
        })
    }
}

impl Call {
    async fn run_claimed(self, key: RequestKey) -> Result<Response<Body>, ApiError> {
        let (_, allowed) =
            priority_and_deadline(&self.snapshot, &self.service, &self.account, self.deadline);
        let attempt = key.attempt;
        match claims::claim(&self.node, &key, allowed).await {
            Ok(grant) => self.run(Some(grant)).await.map_err(|mut error| {
                // This attempt did not run, but an earlier one with the same key may have.
                if attempt > Attempt(1) && error.run == Run::NotRun {
                    error.run = Run::Unknown;
                }
                error
            }),
            Err(claim_error) => claim_failed(claim_error, attempt),
        }
    }

    /// Runs the call and reports its outcome to the owner of its key.
    async fn run(self, mut grant: Option<Grant>) -> Result<Response<Body>, ApiError> {
        let service = self.service.name.clone();
        let node = self.node.clone();
        let result = self.try_runners(&mut grant).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(error) => error.cause.label(),
        };
        node.metrics.requests.with_label_values(&[service.as_str(), label]).inc();
        match (&result, grant) {
            (Ok(response), Some(grant)) => grant.end(&response.outcome()),
            (Err(error), Some(grant)) if error.run == Run::NotRun => grant.release(),
            (Err(_), Some(grant)) => grant.end(&Outcome::Unknown),
            (_, None) => {}
        }
        result.map(BufferedResponse::into_response).map_err(|error| ApiError::from(&error))
    }

    async fn try_runners(
        &self,
        grant: &mut Option<Grant>,
    ) -> Result<BufferedResponse, RequestError> {
        let node = &self.node;
        if !node.accepts_requests() {
            return Err(RequestError::not_run(Cause::NotServing));
        }
        let pool =
            node.pool(&self.service.name).ok_or_else(|| RequestError::not_run(Cause::NoService))?;
        let mut permit = self.admit(&pool).await?;
        let idempotent = matches!(
            self.head.method,
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
        );
        let retry_mode = if idempotent { RetryMode::Idempotent } else { RetryMode::Never };
        let mut state = request::Request::new(retry_mode);
        state.admit();
        let (_, allowed) =
            priority_and_deadline(&self.snapshot, &self.service, &self.account, self.deadline);
        let expires_at = node.clock.now() + allowed;
        let work = Work { prefix: Prefix::of(&self.id), ..Work::default() };
        let mut tried: SmallVec<[Name; 4]> = SmallVec::new();
        loop {
            let Some(runner_attempt) = pool.choose_runner(&work, &tried) else {
                let run = state.refuse();
                return Err(RequestError {
                    run,
                    cause: Cause::NoRunner,
                    retry_after: DEFAULT_RETRY_AFTER,
                });
            };
            state.bind();
            tried.push(runner_attempt.runner.clone());
            let attempt = state.send();
            if let Some(grant) = grant {
                grant.mark_sent();
            }
            let left = expires_at.saturating_duration_since(node.clock.now());
            let failure = match timeout(left, self.send(&runner_attempt)).await {
                Ok(Ok(response)) => {
                    runner_attempt.succeed();
                    permit.record_finished();
                    state.close(attempt);
                    return Ok(response);
                }
                Ok(Err(failure)) => failure,
                Err(_) => {
                    let run = state.refuse();
                    return Err(RequestError {
                        run,
                        cause: Cause::Deadline,
                        retry_after: DEFAULT_RETRY_AFTER,
                    });
                }
            };
            runner_attempt.fail(failure.leaving);
            let attempts_left = attempt < Attempt(MAX_ATTEMPTS);
            let may_retry = attempts_left && (failure.leaving || pool.take_retry());
            match state.on_fault(&failure.fault, may_retry) {
                NextStep::Retry | NextStep::Resume { .. } => {
                    node.metrics.retries.with_label_values(&["retry"]).inc();
                }
                NextStep::Refuse(run) => {
                    let cause = Cause::Upstream(failure.fault);
                    return Err(RequestError { run, cause, retry_after: DEFAULT_RETRY_AFTER });
                }
            }
        }
    }

    async fn admit(&self, pool: &SharedPool) -> Result<Permit, RequestError> {
        let node = &self.node;
        let (priority, allowed) =
            priority_and_deadline(&self.snapshot, &self.service, &self.account, self.deadline);
        let request = AdmissionRequest {
            id: node.next_request_id(),
            account: self.account.name.clone(),
            priority,
            deadline: node.clock.now() + allowed,
            cost: REQUEST_COST,
        };
        pool.admit(&self.account, request).await.map_err(|refusal| RequestError {
            run: Run::NotRun,
            cause: Cause::Admission(refusal),
            retry_after: refusal.retry_after,
        })
    }

    async fn send(&self, runner_attempt: &RunnerAttempt) -> Result<BufferedResponse, Failure> {
        let peer = Peer { name: runner_attempt.runner.clone(), address: runner_attempt.address };
        let interrupted = |detail: String| Failure {
            fault: AttemptFault::Interrupted {
                peer: peer.name.clone(),
                detail: SmolStr::new(detail),
            },
            leaving: false,
        };
        let response = self.node.http.send(self.request(&peer)).await.map_err(|error| {
            if error.is_connect() {
                let detail = SmolStr::new(error.to_string());
                let fault = AttemptFault::Connect { peer: peer.name.clone(), detail };
                Failure { fault, leaving: false }
            } else {
                interrupted(error.to_string())
            }
        })?;
        let (mut parts, content) = response.into_parts();
        if parts.headers.contains_key(completions::NOT_RUN) {
            return Err(completions::failure(&peer, parts.status, &parts.headers));
        }
        let limited = Limited::new(content, self.node.settings.max_body);
        let bytes = limited.collect().await.map_err(|error| interrupted(error.to_string()))?;
        remove_hop_by_hop(&mut parts.headers);
        Ok(BufferedResponse { head: Response::from_parts(parts, ()), bytes: bytes.to_bytes() })
    }

    fn request(&self, peer: &Peer) -> Request<Full<Bytes>> {
        let path = self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let prefix = format!("/services/{}", self.service.name);
        let rest = path.strip_prefix(&prefix).filter(|r| !r.is_empty()).unwrap_or("/");
        let slash = if rest.starts_with('/') { "" } else { "/" };
        let mut request = Request::new(Full::new(self.bytes.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = format!("http://{}{slash}{rest}", peer.address)
            .parse()
            .expect("the path comes from a valid URI");
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        remove_hop_by_hop(headers);
        headers.remove(header::HOST);
        headers.remove(header::AUTHORIZATION);
        headers.remove(header::CONTENT_LENGTH);
        request
    }
}

/// Removes the hop-by-hop headers and those that `Connection` names.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns the response to a request whose key could not be claimed.
fn claim_failed(error: ClaimError, attempt: Attempt) -> Result<Response<Body>, ApiError> {
    let unresolved = |why: String| {
        let first = attempt == Attempt(1);
        let run = if first { Run::NotRun } else { Run::Unknown };
        ApiError { run, retry_after: Some(DEFAULT_RETRY_AFTER), ..unknown_outcome(&why) }
    };
    match error {
        ClaimError::Ended(Outcome::Answered(answer)) => Ok(recorded_response(&answer)),
        ClaimError::Ended(Outcome::NotKept) => Err(ApiError {
            code: SmolStr::new_static("answer_not_kept"),
            ..unknown_outcome("the request has been run; its answer was too large to keep")
        }),
        ClaimError::Ended(Outcome::Unknown) => {
            Err(unknown_outcome("an earlier attempt may have been run; its answer did not come"))
        }
        ClaimError::OtherRequest => Err(ApiError {
            code: SmolStr::new_static("key_reused"),
            status: StatusCode::UNPROCESSABLE_ENTITY,
            ..ApiError::bad_request(KEY_HEADER, "the key was used for another request")
        }),
        ClaimError::InProgress => Err(unknown_outcome("an earlier attempt is still under way")),
        ClaimError::Doubt(doubt) => Err(unresolved(format!(
            "the records of this key are out of reach ({doubt}); look up the addresses again"
        ))),
        ClaimError::Unreachable => Err(unresolved(
            "the owner of this key cannot be reached; look up the addresses again".to_owned(),
        )),
    }
}

/// Returns a recorded response, marked as such.
fn recorded_response(answer: &claim::Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = answer.content_type.parse() {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert("x-sardinepick-repeated", header::HeaderValue::from_static("true"));
    response
}
