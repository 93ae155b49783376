//! A caller's request: reads it within the configured limits, routes it and hands it to its
//! handler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};
use http_body_util::BodyExt as _;
use rand::RngExt as _;
use sardinepick_lib::account::directory::{Account, Identity, identify};
use sardinepick_lib::fleet::admission::{Reason, Terms, Wait};
use sardinepick_lib::fleet::engine::Engine;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::holding::ledger::MIN_PROGRESS;
use sardinepick_lib::fleet::holding::{Full, Holder, Owner, Purpose, Size};
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::part;
use sardinepick_lib::fleet::part_quarantine::{Mark, Prompt, Subject};
use sardinepick_lib::fleet::rank::Rank;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::route::{Configuration, Route};
use sardinepick_lib::fleet::runner::Closed;
use sardinepick_lib::fleet::shutdown::Claim;
use sardinepick_lib::fleet::stream_binding::StreamKey;
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{AccountId, ServiceId};
use sardinepick_platform::caller::{self, CallerHeaders};
use sardinepick_platform::runner::forwarded_headers;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::account::CheckResult;
use crate::caller_connection::{RequestBody, Source};
use crate::holding::Hold;
use crate::serve::in_progress::Progress;
use crate::serve::response::{Body, Refusal};
use crate::serve::resumption::Resumption;
use crate::serve::shared::Shared;
use crate::serve::{generation, plain, store_watch};
use crate::shutdown::Shutdown;

/// When a caller should retry at a node that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request being handled.
pub struct Request {
    /// The caller's id for this attempt.
    pub id: SmolStr,
    /// The route it matched.
    pub route: Route,
    /// The service chosen by the route.
    pub service: ServiceId,
    /// The engine parameters of the service, if its runners are model engines.
    pub engine: Option<Engine>,
    /// The stream that it begins or takes up.
    pub stream: StreamKey,
    /// The version that the stream is bound to, if the request takes one up.
    pub version: Option<Version>,
    /// The client account that it belongs to, if the configuration has accounts.
    pub account: Option<AccountId>,
    /// The metadata of the request, parsed from the caller's headers.
    pub caller_headers: CallerHeaders,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers forwarded to a runner.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
    /// What its body takes of the node's memory, until the request has ended.
    pub hold: Hold,
    /// Where it came from.
    pub source: Source,
    /// Identifies repeated attempts of the same request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub prompt: Prompt,
    /// When its head had been read.
    pub arrived: Instant,
    /// Its deadline: the caller's, or the route's timeout if that is shorter.
    pub deadline: Instant,
    /// Whether the node stops before that.
    pub shutdown: Arc<Shutdown>,
    /// Its size relative to the mean of its route.
    pub size: f64,
    /// The estimated time that its caller has waited since the first attempt.
    pub waited: Duration,
    /// The configuration that it is handled with.
    pub configuration: Arc<Configuration>,
    /// Records how it advances.
    pub progress: Progress,
}

impl Request {
    /// Returns the time left until its deadline, or until the end of service of a stopping node.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.shutdown.limit(self.deadline).saturating_duration_since(now)
    }

    /// Whether the node, if it stops, can still serve a request whole that has not run.
    pub fn fits(&self, shared: &Shared) -> bool {
        let is_stream = self.route.kind.is_stream() || self.engine.is_some();
        shared.shutdown.accepts(|now| {
            let allowed = self.deadline.saturating_duration_since(now);
            claim(shared, &self.route, allowed, is_stream)
        })
    }

    /// Returns what its holdings for a purpose belong to.
    pub fn holder(&self, purpose: Purpose) -> Holder {
        holder(self.account.as_ref(), self.source, &self.route, purpose)
    }

    /// Returns the parts of its prompt that other requests may share, for logs.
    pub fn part_list(&self) -> part::List<'_> {
        part::List(&self.caller_headers.shared_parts)
    }

    /// Returns its terms for admission.
    pub fn terms(&self, now: Instant) -> Terms {
        let here = now.saturating_duration_since(self.arrived);
        Terms::new(&self.route, self.time_left(now), Wait { before: self.waited, here }, self.size)
    }

    /// Returns the refusal of the request, which has not run. If all runners are closed for a time,
    /// the refusal says when the first one opens.
    pub fn refusal(&self, shared: &Shared, reason: Reason) -> Refusal {
        let now = shared.clock.now();
        let terms = self.terms(now);
        let closed = match reason {
            Reason::NoRunner | Reason::Shed => shared.register().closed(&self.service, now),
            _ => None,
        };
        let mut rng = shared.rng();
        let Some(closed) = closed else {
            return Refusal::NotRun(reason, terms.retry_delay(0.0, &mut *rng));
        };
        let reason = match closed {
            Closed::RateLimit(_) => Reason::RateLimited,
            Closed::BackOff(_) => Reason::BackingOff,
        };
        Refusal::NotRun(reason, terms.retry_delay_after(closed.wait(), &mut *rng))
    }

    /// Logs and counts how the request ended.
    pub fn log_end(&self, shared: &Shared, end: &End<'_>) {
        let now = shared.clock.now();
        let took = now.saturating_duration_since(self.arrived);
        if end.runs > 0 {
            shared.note_duration(&self.route.name, took);
            if matches!(end.outcome, "cut" | "refused") {
                shared.shutdown.note_unserved();
            }
        }
        let labels = [self.route.name.as_str(), self.route.kind.into(), end.outcome, end.reason];
        shared.metrics.requests.with_label_values(&labels).inc();
        log::info!(
            request:% = self.id, route:% = self.route.name, service:% = self.service,
            version:% = self.configuration.version, runner = end.runner,
            runner_version = end.runner_version, tries = end.tries,
            resumes = self.caller_headers.resumes.as_deref().unwrap_or_default(),
            register:% = end.register, status = end.status, reason = end.reason,
            stop_cause = end.stop_cause,
            may_have_run = end.runs,
            took_ms = took.as_millis() as u64, left_ms = self.time_left(now).as_millis() as u64,
            events = end.events; "request {}", end.outcome
        );
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct End<'a> {
    /// The outcome, as a metric label.
    pub outcome: &'static str,
    /// The reason, as a metric label.
    pub reason: &'static str,
    /// What kept the request from another attempt; empty if nothing did.
    pub stop_cause: &'static str,
    /// The status sent to the caller; 0 if the caller had disconnected.
    pub status: u16,
    /// The runner that was tried last.
    pub runner: &'a str,
    /// The version of that runner's software; empty if it is not known.
    pub runner_version: &'a str,
    /// The version of the register by which that runner was chosen.
    pub register: RegisterVersion,
    /// The number of calls made.
    pub tries: u32,
    /// The number of calls in which a runner ran the request, or may have.
    pub runs: u32,
    /// The number of events forwarded.
    pub events: u64,
}

/// Handles a caller's request.
pub async fn handle(shared: &Arc<Shared>, request: http::Request<RequestBody>) -> Response<Body> {
    tokio::select! {
        biased;
        response = respond(shared, request) => response,
        () = shared.shutdown.response_due() => {
            log::warn!("no response at the end of service");
            Refusal::Late.response()
        }
    }
}

async fn respond(shared: &Arc<Shared>, request: http::Request<RequestBody>) -> Response<Body> {
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let caller_headers = caller::read_headers(&head.headers);
    let id = caller_headers.id.clone().unwrap_or_default();
    let in_progress = shared.in_progress.begin(arrived, id);
    let refuse = |refusal: Refusal| {
        let id = caller_headers.id.as_deref().unwrap_or_default();
        let version = shared.configuration.load().as_ref().map(|c| c.version).unwrap_or_default();
        let labels = ["", "", "refused", refusal.reason()];
        shared.metrics.requests.with_label_values(&labels).inc();
        log::info!(
            request = id, path = head.uri.path(), version:% = version,
            reason = refusal.reason(), status = refusal.status().as_u16(); "request refused"
        );
        refusal.response()
    };
    let admitted = tokio::select! {
        biased;
        admitted = admit(shared, &head, arrived) => admitted,
        () = shared.shutdown.service_ended() => {
            Err(Refusal::NotRun(Reason::Stopping, UNCONFIGURED_RETRY_AFTER))
        }
    };
    let Admitted { configuration, route, account } = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(refusal),
    };
    let Some(id) = caller_headers.id.clone() else {
        return refuse(Refusal::Malformed);
    };
    let allowed = caller_headers.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let waited = shared.clock.now().saturating_duration_since(arrived);
    let left = allowed.saturating_sub(waited);
    in_progress.progress().note_admitted(&route.name, arrived + allowed);
    let is_stream = route.kind.is_stream();
    if !shared.shutdown.accepts(|_| claim(shared, &route, left, is_stream)) {
        return refuse(stopping(shared, &route, left));
    }
    let source = body.source();
    let max_bytes = configuration.limits.body;
    let hold = shared.holding.begin(holder(account.as_ref(), source, &route, Purpose::Body));
    let reading = async {
        shared.holding.admit()?;
        let is_stream = route.kind.is_stream();
        let buffers = if is_stream { hold.stream_buffers() } else { Size::ZERO };
        read_body(body, max_bytes, left, &hold, REQUEST_SIZE.plus(buffers)).await
    };
    let body = tokio::select! {
        biased;
        body = reading => body,
        () = shared.shutdown.service_ended() => Err(stopping(shared, &route, left).into()),
    };
    let body = match body {
        Ok(body) => body,
        Err(Unread::Refused(refusal)) => return refuse(refusal),
        Err(Unread::Full(after)) => {
            let terms = Terms::new(&route, left, Wait::default(), 1.0);
            let after = terms.retry_delay_after(after, &mut *shared.rng());
            return refuse(Refusal::NotRun(Reason::NodeFull, after));
        }
    };
    let runs_stream = route.kind.is_stream();
    let resumption = Resumption {
        id: &id,
        route: &route,
        account: account.as_ref(),
        headers: &caller_headers,
        left: caller_headers.deadline.unwrap_or(route.timeout),
    };
    let stream = resumption.stream();
    let binding = if runs_stream {
        tokio::select! {
            biased;
            binding = resumption.resolve(&shared.stream_bindings, &shared.metrics) => binding,
            () = shared.shutdown.service_ended() => Err(Reason::Stopping),
        }
    } else {
        Ok(None)
    };
    let binding = match binding {
        Ok(binding) => binding,
        Err(reason) => return refuse(resumption.refusal(reason, &mut *shared.rng())),
    };
    let draw: f64 = shared.rng().random();
    let service = match &binding {
        Some(binding) => binding.service.clone(),
        None => route.service(draw).clone(),
    };
    let known = configuration.service(&service);
    let size =
        caller_headers.work.as_ref().map_or(1.0, |work| shared.note_size(&route.name, work.prompt));
    let waited =
        caller_headers.deadline.map_or(Duration::ZERO, |d| shared.note_deadline(&route.name, d));
    let fingerprint = fingerprint(&head, account.as_ref(), &body);
    let request = Request {
        prompt: prompt(&caller_headers, &service, &fingerprint, account.as_ref()),
        id,
        size,
        waited,
        engine: known.and_then(|s| s.engine),
        service,
        stream,
        version: binding.map(|binding| binding.version),
        caller_headers,
        fingerprint,
        account,
        headers: forwarded_headers(&head.headers),
        method: head.method,
        uri: head.uri,
        body,
        hold,
        source,
        arrived,
        deadline: arrived + allowed,
        shutdown: shared.shutdown.clone(),
        route,
        configuration,
        progress: in_progress.progress().clone(),
    };
    shared.note_request(&request.service);
    request.progress.note_read();
    if request.engine.is_some() || request.route.kind.is_stream() {
        Box::pin(generation::handle(shared, request, in_progress)).await
    } else {
        Box::pin(plain::handle(shared, &request, in_progress)).await
    }
}

/// What a stopping node knows of a request with this time left. Without earlier ones, an answer that is
/// not a stream is expected within the objective of its route.
fn claim(shared: &Shared, route: &Route, allowed: Duration, is_stream: bool) -> Claim {
    let objective = (!is_stream).then_some(route.objective);
    Claim { allowed, longest: shared.longest_duration(&route.name).or(objective), is_stream }
}

/// The refusal of a request that this node would not serve whole before it stops.
fn stopping(shared: &Shared, route: &Route, left: Duration) -> Refusal {
    let terms = Terms::new(route, left, Wait::default(), 1.0);
    Refusal::NotRun(Reason::Stopping, terms.retry_delay(0.0, &mut *shared.rng()))
}

/// What an admitted request is handled with.
struct Admitted {
    configuration: Arc<Configuration>,
    route: Route,
    account: Option<AccountId>,
}

/// Finds the route and the client account of a request. This is decided once: a key that is revoked
/// later does not end requests in progress.
async fn admit(shared: &Arc<Shared>, head: &Parts, arrived: Instant) -> Result<Admitted, Refusal> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let mut checked = false;
    loop {
        let Some(configuration) = shared.configuration.load_full() else {
            return Err(Refusal::NotRun(Reason::NoConfiguration, UNCONFIGURED_RETRY_AFTER));
        };
        let Some(route) = configuration.route(host, head.uri.path()).cloned() else {
            return Err(Refusal::NoRoute);
        };
        let key = caller::credential(&head.headers);
        match identify(configuration.accounts.as_ref(), route.anonymous, key) {
            Identity::Anonymous => return Ok(Admitted { configuration, route, account: None }),
            Identity::Account(Account { name, rank }) => {
                let route = Route { rank: Rank { account: rank, ..route.rank }, ..route };
                return Ok(Admitted { configuration, route, account: Some(name) });
            }
            Identity::NoKey => return Err(Refusal::NoKey),
            Identity::RetiredKey => return Err(Refusal::UnknownKey),
            Identity::UnknownKey if checked => return Err(Refusal::UnknownKey),
            Identity::UnknownKey => check_key(shared, &configuration, arrived).await?,
        }
        checked = true;
    }
}

/// Checks whether a newer configuration than `known` may have the key; if there is a newer one,
/// installs it.
async fn check_key(
    shared: &Arc<Shared>,
    known: &Configuration,
    arrived: Instant,
) -> Result<(), Refusal> {
    let confirmed = shared.checks.confirm(&shared.store, &*shared.clock, known, arrived).await;
    let (outcome, result) = match confirmed {
        CheckResult::Newest => ("newest", Err(Refusal::UnknownKey)),
        CheckResult::Newer(object) => {
            store_watch::install(shared, object, None, "check of a key");
            ("newer", Ok(()))
        }
        // The other nodes announce a newer configuration as soon as one of them has it.
        CheckResult::Unconfirmed if !shared.roster().ready_contacts().is_empty() => {
            ("others", Err(Refusal::UnknownKey))
        }
        CheckResult::Earlier => {
            ("earlier", Err(Refusal::NotRun(Reason::KeyUnconfirmed, UNCONFIGURED_RETRY_AFTER)))
        }
        CheckResult::Unconfirmed => {
            ("none", Err(Refusal::NotRun(Reason::KeyUnconfirmed, UNCONFIGURED_RETRY_AFTER)))
        }
    };
    shared.metrics.unknown_keys.with_label_values(&[outcome]).inc();
    result
}

/// Returns the fingerprint of a request: what it asks of a runner, and for which account. Ids and
/// deadlines are left out, since they differ between attempts.
fn fingerprint(head: &Parts, account: Option<&AccountId>, body: &[u8]) -> Fingerprint {
    let header = |name| head.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let host = header(header::HOST);
    let account = account.map_or(header(header::AUTHORIZATION), |id| id.as_str().as_bytes());
    Fingerprint::of(&[head.method.as_str().as_bytes(), host, path.as_bytes(), account, body])
}

/// Returns what identifies the shared parts of a request's prompt.
fn prompt(
    headers: &CallerHeaders,
    service: &ServiceId,
    request: &Fingerprint,
    account: Option<&AccountId>,
) -> Prompt {
    let model = headers.model.as_deref().unwrap_or_default();
    Prompt {
        subjects: headers.shared_parts.iter().map(|p| Subject::of(service, model, p)).collect(),
        request: Mark::of_request(request),
        account: Mark::of_account(account),
    }
}

/// Why a body was not read. The request has not run.
enum Unread {
    /// The request is refused.
    Refused(Refusal),
    /// The node has no space for it; the caller may retry after this time.
    Full(Duration),
}

impl From<Full> for Unread {
    fn from(full: Full) -> Self {
        Unread::Full(full.after)
    }
}

impl From<Refusal> for Unread {
    fn from(refusal: Refusal) -> Self {
        Unread::Refused(refusal)
    }
}

/// What a request takes of a node's memory apart from its body: its task, and the copies of its head.
const REQUEST_SIZE: Size = Size(16 << 10);
/// The space reserved for a body of unknown length before any of it has been read.
const FIRST_BODY_STEP: usize = 8 << 10;
/// The largest step by which space grows for a body of unknown length.
const MAX_BODY_STEP: usize = 256 << 10;
/// The retry delay of a request whose body of unknown length found no space while it was read: by
/// then it has waited for the longest pause.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a body. It waits in the socket until there is space for it and for what its request takes
/// apart from it.
async fn read_body(
    body: RequestBody,
    max_bytes: usize,
    limit: Duration,
    hold: &Hold,
    more: Size,
) -> Result<Bytes, Unread> {
    use hyper::body::Body as _;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::TooLarge.into());
    }
    let length = body.size_hint().exact().map(|length| length as usize);
    let size = Size::from(length.unwrap_or(FIRST_BODY_STEP)).plus(more);
    if !hold.fits(size) {
        return Err(Refusal::TooLarge.into());
    }
    if length.is_none() {
        hold.expect_growth();
    }
    let began = tokio::time::Instant::now();
    hold.begin_body(size, limit).await?;
    let left = limit.saturating_sub(began.elapsed());
    let read = read_in_steps(body, max_bytes, length, hold);
    timeout(left, read).await.unwrap_or(Err(Refusal::Expired.into()))
}

/// Reads a body of this length, or of an unknown one, for which space grows as it is read.
async fn read_in_steps(
    mut body: RequestBody,
    max_bytes: usize,
    length: Option<usize>,
    hold: &Hold,
) -> Result<Bytes, Unread> {
    let mut reserved = length.unwrap_or(FIRST_BODY_STEP);
    // Unlike BytesMut, a vector allocates no more than is reserved for it.
    let mut whole = Vec::with_capacity(reserved);
    let mut unnoted = Size::ZERO;
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.shed() => return Err(Unread::Full(UNREAD_RETRY_AFTER)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| Refusal::Malformed)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > max_bytes {
            return Err(Refusal::TooLarge.into());
        }
        while whole.len() + data.len() > reserved {
            let step = (reserved / 2).clamp(FIRST_BODY_STEP, MAX_BODY_STEP);
            let grown = hold.grow(Size::from(step)).await;
            grown.map_err(|_| Unread::Full(UNREAD_RETRY_AFTER))?;
            reserved += step;
            whole.reserve_exact(reserved - whole.len());
        }
        unnoted = unnoted.plus(Size::from(data.len()));
        // Chunks may be of one byte, and the ledger is shared by all requests.
        if unnoted >= MIN_PROGRESS {
            hold.note_received(std::mem::take(&mut unnoted));
        }
        whole.extend_from_slice(&data);
    }
    hold.note_body_read();
    Ok(whole.into())
}

/// Returns what a holding of a request belongs to.
fn holder(account: Option<&AccountId>, source: Source, route: &Route, purpose: Purpose) -> Holder {
    let owner = account.map_or(Owner::Caller(source.address), |id| Owner::Account(id.clone()));
    let class = Class::of(route.rank).index();
    Holder { owner, connection: source.connection, purpose, class }
}
