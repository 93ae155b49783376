//! Plain services: any HTTP request, passed on to a runner of the service.
//!
//! A request with an idempotency key runs at most once, over the death of nodes and the repeats of
//! callers. One without a key is sent at most once by this node, unless its method is idempotent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sardinepick_lib::admit::AdmissionRequest;
use sardinepick_lib::claim::{self, Outcome};
use sardinepick_lib::config::object::{Account, Form, Service};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::{Attempt, Name, Version};
use sardinepick_lib::outcome::{self as request, Fault as Failed, NextStep, RetryMode, Run};
use sardinepick_lib::runner::{Prefix, Work};
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::timeout;

use super::completions::{deadline, request_id};
use super::fault::Fault;
use super::{account, body};
use crate::claims::{self, Denial, Grant, Key};
use crate::node::Node;
use crate::path::{Cause, DEFAULT_AFTER, Denied, MOST_ATTEMPTS, terms};
use crate::pool::{Permit, Shared, Ticket};
use crate::upstream::{Failure, Peer, completions};

/// The header with the key of a request that must not run twice.
pub const KEY: &str = "idempotency-key";
/// The header with the caller's attempt, from 1.
pub const ATTEMPT: &str = "x-sardinepick-attempt";
/// The header with the epoch of the listing under which the request was first sent.
pub const EPOCH: &str = "x-sardinepick-epoch";

/// The longest key, in bytes.
const MAX_KEY: usize = 128;

/// What a plain request is taken to cost a place.
const COST: Duration = Duration::from_millis(50);

/// Headers that belong to one connection and are not passed on.
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

/// The client for plain services.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// A client with the given time for connecting.
pub fn client(connect_timeout: Duration) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        // The client's own repeats are out of our sight, and so out of the states of requests.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Answers a request to a plain service.
pub async fn answer(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    match try_answer(node.clone(), request).await {
        Ok(response) => response,
        Err(fault) => fault.answer(),
    }
}

/// The start of the paths of plain services.
pub const PREFIX: &str = "/services/";

async fn try_answer(node: Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let snapshot = node.config.load_full();
    let (head, content) = request.into_parts();
    let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let service = path.split('/').next().unwrap_or_default();
    let account = account::of(&snapshot, &head.headers)?;
    let missing = || Fault::missing("service", format!("there is no plain service {service:?}"));
    let name: Name = service.parse().map_err(|_| missing())?;
    let service = snapshot.service(&name).filter(|s| s.form == Form::Plain).cloned();
    let service = service.ok_or_else(missing)?;
    let settings = &node.settings;
    let bytes = body::read(content, settings.max_body, settings.body_timeout).await?;
    let key = key(&account, &service, &head, &bytes)?;
    let call = Call {
        id: request_id(&node, &head.headers)?,
        allowed: deadline(&head.headers)?,
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
            // The call goes on in a task of its own, so that its outcome is recorded even if the
            // caller hangs up in the middle.
            let task = tokio::spawn(call.run_claimed(key));
            task.await.unwrap_or_else(|error| {
                log::error!(error:% = error; "a call ended by itself");
                Err(unknown("the call ended by itself"))
            })
        }
    }
}

fn unknown(why: &str) -> Fault {
    Fault {
        status: StatusCode::CONFLICT,
        code: SmolStr::new_static("unknown"),
        kind: "conflict_error",
        run: Run::Unknown,
        ..Fault::bad("", why)
    }
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Fault> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.map(Some).ok_or_else(|| Fault::bad(name, format!("{name} is a whole number")))
}

/// What the caller says of a request that must not run twice. Without an epoch a key cannot be
/// protected over the death of its owner, so it must come with one.
fn key(
    account: &Account,
    service: &Service,
    head: &Parts,
    bytes: &[u8],
) -> Result<Option<Key>, Fault> {
    let Some(value) = head.headers.get(KEY) else { return Ok(None) };
    let text = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= MAX_KEY);
    let text =
        text.ok_or_else(|| Fault::bad(KEY, format!("a key is text of 1 to {MAX_KEY} bytes")))?;
    let birth = number(&head.headers, EPOCH)?.filter(|epoch| *epoch > 0).ok_or_else(|| {
        Fault::bad(
            EPOCH,
            "a request with a key needs the epoch of the listing it was first sent by",
        )
    })?;
    let attempt = number(&head.headers, ATTEMPT)?.unwrap_or(1);
    if attempt == 0 {
        return Err(Fault::bad(ATTEMPT, "attempts are counted from 1"));
    }
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let request = stable_hash(stable_hash(0, path.as_bytes()), bytes);
    Ok(Some(Key {
        key: format_smolstr!("{}/{}/{text}", account.name, service.name),
        attempt: Attempt(attempt),
        birth: Version(birth),
        request,
    }))
}

/// One call of a plain service.
struct Call {
    node: Arc<Node>,
    snapshot: Arc<Snapshot>,
    account: Account,
    service: Service,
    head: Parts,
    bytes: Bytes,
    id: SmolStr,
    allowed: Option<Duration>,
}

/// A runner's answer, held in memory so that it can be recorded.
struct Answered {
    head: Response<()>,
    bytes: Bytes,
}

impl Answered {
    fn response(self) -> Response<Body> {
        let (parts, ()) = self.head.into_parts();
        Response::from_parts(parts, Body::from(self.bytes))
    }

    fn outcome(&self) -> Outcome {
        if self.bytes.len() > claim::MAX_ANSWER_BYTES {
            return Outcome::NotKept;
        }
        let kind = self.head.headers().get(header::CONTENT_TYPE);
        Outcome::Answered(claim::Answer {
            status: self.head.status().as_u16(),
            content_type: SmolStr::new(kind.and_then(|v| v.to_str().ok()).unwrap_or_default()),
            body: self.bytes.to_vec(),
        })
    }
}

impl Call {
    async fn run_claimed(self, key: Key) -> Result<Response<Body>, Fault> {
        let (_, allowed) = terms(&self.snapshot, &self.service, &self.account, self.allowed);
        let attempt = key.attempt;
        match claims::claim(&self.node, &key, allowed).await {
            Ok(grant) => self.run(Some(grant)).await.map_err(|mut fault| {
                // This attempt was not run, but an earlier one of the same key may have been.
                if attempt > Attempt(1) && fault.run == Run::NotRun {
                    fault.run = Run::Unknown;
                }
                fault
            }),
            Err(denial) => denied(denial, attempt),
        }
    }

    /// Runs the call and tells its owner what came of it.
    async fn run(self, mut grant: Option<Grant>) -> Result<Response<Body>, Fault> {
        let service = self.service.name.clone();
        let node = self.node.clone();
        let result = self.attempts(&mut grant).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(denied) => denied.cause.label(),
        };
        node.metrics.requests.with_label_values(&[service.as_str(), label]).inc();
        match (&result, grant) {
            (Ok(answered), Some(grant)) => grant.end(&answered.outcome()),
            (Err(denied), Some(grant)) if denied.run == Run::NotRun => grant.release(),
            (Err(_), Some(grant)) => grant.end(&Outcome::Unknown),
            (_, None) => {}
        }
        result.map(Answered::response).map_err(|denied| Fault::from(&denied))
    }

    async fn attempts(&self, grant: &mut Option<Grant>) -> Result<Answered, Denied> {
        let node = &self.node;
        if !node.takes_requests() {
            return Err(Denied::not_run(Cause::NotServing));
        }
        let pool =
            node.pool(&self.service.name).ok_or_else(|| Denied::not_run(Cause::NoService))?;
        let mut permit = self.enter(&pool).await?;
        let idempotent = matches!(
            self.head.method,
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
        );
        let repeat = if idempotent { RetryMode::Idempotent } else { RetryMode::Never };
        let mut state = request::Request::new(repeat);
        state.admit();
        let (_, allowed) = terms(&self.snapshot, &self.service, &self.account, self.allowed);
        let until = node.clock.now() + allowed;
        let work = Work { prefix: Prefix::of(&self.id), ..Work::default() };
        let mut tried: SmallVec<[Name; 4]> = SmallVec::new();
        loop {
            let Some(ticket) = pool.bind(&work, &tried) else {
                let run = state.refuse();
                return Err(Denied { run, cause: Cause::NoRunner, after: DEFAULT_AFTER });
            };
            state.bind();
            tried.push(ticket.runner.clone());
            let attempt = state.send();
            if let Some(grant) = grant {
                grant.mark_sent();
            }
            let left = until.saturating_duration_since(node.clock.now());
            let failed = match timeout(left, self.send(&ticket)).await {
                Ok(Ok(answered)) => {
                    ticket.done();
                    permit.note_finished();
                    state.close(attempt);
                    return Ok(answered);
                }
                Ok(Err(failed)) => failed,
                Err(_) => {
                    let run = state.refuse();
                    return Err(Denied { run, cause: Cause::Deadline, after: DEFAULT_AFTER });
                }
            };
            ticket.fault(failed.leaving);
            let few = attempt < Attempt(MOST_ATTEMPTS);
            let granted = few && (failed.leaving || pool.take_retry());
            match state.on_fault(&failed.fault, granted) {
                NextStep::Retry | NextStep::Resume { .. } => {
                    node.metrics.retries.with_label_values(&["retry"]).inc();
                }
                NextStep::Refuse(run) => {
                    let cause = Cause::Upstream(failed.fault);
                    return Err(Denied { run, cause, after: DEFAULT_AFTER });
                }
            }
        }
    }

    async fn enter(&self, pool: &Shared) -> Result<Permit, Denied> {
        let node = &self.node;
        let (priority, allowed) = terms(&self.snapshot, &self.service, &self.account, self.allowed);
        let offer = AdmissionRequest {
            id: node.next_request(),
            account: self.account.name.clone(),
            priority,
            deadline: node.clock.now() + allowed,
            cost: COST,
        };
        pool.enter(&self.account, offer).await.map_err(|refusal| Denied {
            run: Run::NotRun,
            cause: Cause::Admission(refusal),
            after: refusal.retry_after,
        })
    }

    async fn send(&self, ticket: &Ticket) -> Result<Answered, Failure> {
        let peer = Peer { name: ticket.runner.clone(), address: ticket.address };
        let broken = |detail: String| Failure {
            fault: Failed::Interrupted { peer: peer.name.clone(), detail: SmolStr::new(detail) },
            leaving: false,
        };
        let response = self.node.http.request(self.request(&peer)).await.map_err(|error| {
            if error.is_connect() {
                let detail = SmolStr::new(error.to_string());
                let fault = Failed::Connect { peer: peer.name.clone(), detail };
                Failure { fault, leaving: false }
            } else {
                broken(error.to_string())
            }
        })?;
        let (mut parts, content) = response.into_parts();
        if parts.headers.contains_key(completions::NOT_RUN) {
            return Err(completions::failure(&peer, parts.status, &parts.headers));
        }
        let limited = Limited::new(content, self.node.settings.max_body);
        let bytes = limited.collect().await.map_err(|error| broken(error.to_string()))?;
        strip(&mut parts.headers);
        Ok(Answered { head: Response::from_parts(parts, ()), bytes: bytes.to_bytes() })
    }

    fn request(&self, peer: &Peer) -> Request<Full<Bytes>> {
        let whole = self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let own = format!("/services/{}", self.service.name);
        let rest = whole.strip_prefix(&own).filter(|r| !r.is_empty()).unwrap_or("/");
        let slash = if rest.starts_with('/') { "" } else { "/" };
        let mut request = Request::new(Full::new(self.bytes.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = format!("http://{}{slash}{rest}", peer.address)
            .parse()
            .expect("the path was part of a URI");
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        strip(headers);
        headers.remove(header::HOST);
        headers.remove(header::AUTHORIZATION);
        headers.remove(header::CONTENT_LENGTH);
        request
    }
}

/// Removes the headers that belong to one connection, and those that it names so.
fn strip(headers: &mut HeaderMap) {
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

/// What is told to a caller whose claim is denied.
fn denied(denial: Denial, attempt: Attempt) -> Result<Response<Body>, Fault> {
    let doubtful = |why: String| {
        let first = attempt == Attempt(1);
        let run = if first { Run::NotRun } else { Run::Unknown };
        Fault { run, after: Some(DEFAULT_AFTER), ..unknown(&why) }
    };
    match denial {
        Denial::Ended(Outcome::Answered(kept)) => Ok(repeated(&kept)),
        Denial::Ended(Outcome::NotKept) => Err(Fault {
            code: SmolStr::new_static("answer_not_kept"),
            ..unknown("the request has been run; its answer was too large to keep")
        }),
        Denial::Ended(Outcome::Unknown) => {
            Err(unknown("an earlier attempt may have been run; its answer did not come"))
        }
        Denial::OtherRequest => Err(Fault {
            code: SmolStr::new_static("key_reused"),
            status: StatusCode::UNPROCESSABLE_ENTITY,
            ..Fault::bad(KEY, "the key was used for another request")
        }),
        Denial::InProgress => Err(unknown("an earlier attempt is still under way")),
        Denial::Doubt(doubt) => Err(doubtful(format!(
            "the records of this key are out of reach ({doubt}); look up the addresses again"
        ))),
        Denial::Unreachable => Err(doubtful(
            "the owner of this key cannot be reached; look up the addresses again".to_owned(),
        )),
    }
}

/// A recorded answer, marked as such.
fn repeated(kept: &claim::Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(kept.body.clone()));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(kind) = kept.content_type.parse() {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    headers.insert("x-sardinepick-repeated", header::HeaderValue::from_static("true"));
    response
}
