//! A caller's request: read within its limits, given a route, and passed to its way.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use rand::RngExt as _;
use sardinepick_lib::account::directory::{Account, Identity, identify};
use sardinepick_lib::fleet::engine::Engine;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::gate::{Reason, Terms, Wait};
use sardinepick_lib::fleet::route::{Configuration, Route};
use sardinepick_lib::fleet::runner::Closed;
use sardinepick_lib::id::{AccountId, ServiceId};
use sardinepick_platform::caller::{self, CallerHeaders};
use sardinepick_platform::runner::forwarded_headers;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::account::Checked;
use crate::serve::answer::{Body, Refusal};
use crate::serve::shared::Shared;
use crate::serve::{follow, generation, plain};

/// When to come back to a node that knows no configuration yet.
const UNTIL_CONFIGURED: Duration = Duration::from_millis(500);

/// A request on its way.
pub struct Request {
    /// The caller's id for this attempt.
    pub id: SmolStr,
    /// Its route.
    pub route: Route,
    /// The service that its route leads it to.
    pub service: ServiceId,
    /// What the service's runners are if they are model engines.
    pub engine: Option<Engine>,
    /// The client account that it belongs to, if the configuration has accounts.
    pub account: Option<AccountId>,
    /// What the caller says of it.
    pub ask: CallerHeaders,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on to a runner.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// What makes it the same as another.
    pub fingerprint: Fingerprint,
    /// When its head had been read.
    pub arrived: Instant,
    /// When its time is over: the caller's, or the route's if that is shorter.
    pub until: Instant,
    /// Its size against the mean of its route.
    pub size: f64,
    /// How long its caller has probably waited since its first attempt.
    pub waited: Duration,
    /// The configuration it is handled by.
    pub configuration: Arc<Configuration>,
}

impl Request {
    /// What is left of its time.
    pub fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// Its terms at the gate.
    pub fn terms(&self, now: Instant) -> Terms {
        let here = now.saturating_duration_since(self.arrived);
        Terms::new(&self.route, self.left(now), Wait { before: self.waited, here }, self.size)
    }

    /// The refusal of the request, which has not run. Where all runners are closed for a time, it says
    /// when one opens.
    pub fn refusal(&self, shared: &Shared, reason: Reason) -> Refusal {
        let now = shared.clock.now();
        let terms = self.terms(now);
        let closed = match reason {
            Reason::NoRunner | Reason::Shed => shared.register().closed(&self.service, now),
            _ => None,
        };
        let mut rng = shared.rng();
        let Some(closed) = closed else {
            return Refusal::NotRun(reason, terms.come_back(0.0, &mut *rng));
        };
        let reason = match closed {
            Closed::RateLimit(_) => Reason::RateLimited,
            Closed::BackOff(_) => Reason::BackingOff,
        };
        Refusal::NotRun(reason, terms.come_back_after(closed.wait(), &mut *rng))
    }

    /// Writes the line that says how it ended, and counts it.
    pub fn log_end(&self, shared: &Shared, end: &End<'_>) {
        let now = shared.clock.now();
        let took = now.saturating_duration_since(self.arrived);
        let labels = [self.route.name.as_str(), self.route.kind.into(), end.outcome, end.reason];
        shared.metrics.requests.with_label_values(&labels).inc();
        log::info!(
            request:% = self.id, route:% = self.route.name, service:% = self.service,
            version:% = self.configuration.version, runner = end.runner, tries = end.tries,
            status = end.status, reason = end.reason,
            took_ms = took.as_millis() as u64, left_ms = self.left(now).as_millis() as u64,
            events = end.events; "request {}", end.outcome
        );
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct End<'a> {
    /// In one word.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
    /// The status that the caller got; none if it had left.
    pub status: u16,
    /// The runner that was tried last.
    pub runner: &'a str,
    /// How many calls were made.
    pub tries: u32,
    /// How many events were passed on.
    pub events: u64,
}

/// Answers a caller's request.
pub async fn answer(shared: &Arc<Shared>, request: http::Request<Incoming>) -> Response<Body> {
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let ask = caller::read_headers(&head.headers);
    let refuse = |refusal: Refusal| {
        let id = ask.id.as_deref().unwrap_or_default();
        let version = shared.configuration.load().as_ref().map(|c| c.version).unwrap_or_default();
        let labels = ["", "", "refused", refusal.reason()];
        shared.metrics.requests.with_label_values(&labels).inc();
        log::info!(
            request = id, path = head.uri.path(), version:% = version,
            reason = refusal.reason(), status = refusal.status().as_u16(); "request refused"
        );
        refusal.answer()
    };
    let Admitted { configuration, route, account } = match admit(shared, &head, arrived).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(refusal),
    };
    let Some(id) = ask.id.clone() else {
        return refuse(Refusal::Malformed);
    };
    let allowed = ask.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let body = match read_body(body, configuration.limits.body, allowed).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    let draw: f64 = shared.rng().random();
    let service = route.service(draw).clone();
    let known = configuration.service(&service);
    let size = ask.work.as_ref().map_or(1.0, |work| shared.note_size(&route.name, work.prompt));
    let waited = ask.deadline.map_or(Duration::ZERO, |d| shared.note_deadline(&route.name, d));
    let request = Request {
        id,
        size,
        waited,
        engine: known.and_then(|s| s.engine),
        service,
        ask,
        fingerprint: fingerprint(&head, account.as_ref(), &body),
        account,
        headers: forwarded_headers(&head.headers),
        method: head.method,
        uri: head.uri,
        body,
        arrived,
        until: arrived + allowed,
        route,
        configuration,
    };
    shared.note_request(&request.service);
    let under_way = UnderWay::new(shared);
    if request.engine.is_some() || request.route.kind.is_stream() {
        generation::answer(shared, request, under_way).await
    } else {
        plain::answer(shared, &request, under_way).await
    }
}

/// What a request is handled by.
struct Admitted {
    configuration: Arc<Configuration>,
    route: Route,
    account: Option<AccountId>,
}

/// Finds the route of a request and the account that it belongs to. It is not looked at again: a key
/// that is taken away later does not end the requests under way with it.
async fn admit(shared: &Arc<Shared>, head: &Parts, arrived: Instant) -> Result<Admitted, Refusal> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let mut checked = false;
    loop {
        let Some(configuration) = shared.configuration.load_full() else {
            return Err(Refusal::NotRun(Reason::NoConfiguration, UNTIL_CONFIGURED));
        };
        let Some(route) = configuration.route(host, head.uri.path()).cloned() else {
            return Err(Refusal::NoRoute);
        };
        let key = caller::credential(&head.headers);
        match identify(configuration.accounts.as_ref(), route.anonymous, key) {
            Identity::Anonymous => return Ok(Admitted { configuration, route, account: None }),
            Identity::Account(Account { name, rank }) => {
                let route = Route { rank: rank.unwrap_or(route.rank), ..route };
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

/// Makes sure that a key which `known` does not have is in no newer configuration, or puts that in
/// force.
async fn check_key(
    shared: &Arc<Shared>,
    known: &Configuration,
    arrived: Instant,
) -> Result<(), Refusal> {
    let confirmed = shared.checks.confirm(&shared.store, &*shared.clock, known, arrived).await;
    let (outcome, result) = match confirmed {
        Checked::Newest => ("newest", Err(Refusal::UnknownKey)),
        Checked::Newer(object) => {
            follow::install(shared, object, None, "check of a key");
            ("newer", Ok(()))
        }
        // The others tell of a newer configuration as soon as one of them has it.
        Checked::Unconfirmed if !shared.roster().fronts().is_empty() => {
            ("others", Err(Refusal::UnknownKey))
        }
        Checked::Earlier => {
            ("earlier", Err(Refusal::NotRun(Reason::KeyUnconfirmed, UNTIL_CONFIGURED)))
        }
        Checked::Unconfirmed => {
            ("none", Err(Refusal::NotRun(Reason::KeyUnconfirmed, UNTIL_CONFIGURED)))
        }
    };
    shared.metrics.unknown_keys.with_label_values(&[outcome]).inc();
    result
}

/// The fingerprint of a request: what it asks of a runner, and for whom. Ids and deadlines differ
/// from attempt to attempt.
fn fingerprint(head: &Parts, account: Option<&AccountId>, body: &[u8]) -> Fingerprint {
    let header = |name| head.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let host = header(header::HOST);
    let account = account.map_or(header(header::AUTHORIZATION), |id| id.as_str().as_bytes());
    Fingerprint::of(&[head.method.as_str().as_bytes(), host, path.as_bytes(), account, body])
}

async fn read_body(body: Incoming, most: usize, limit: Duration) -> Result<Bytes, Refusal> {
    use hyper::body::Body as _;
    if body.size_hint().lower() > most as u64 {
        return Err(Refusal::TooLarge);
    }
    match timeout(limit, Limited::new(body, most).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::Malformed),
        Err(_) => Err(Refusal::Expired),
    }
}

/// Counts a request as under way until it is dropped.
pub struct UnderWay(Arc<Shared>);

impl UnderWay {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.under_way.inc();
        Self(shared.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.metrics.under_way.dec();
    }
}
