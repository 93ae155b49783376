//! The cases.

use super::*;

/// What happened to each request: how often it ran, and the status of its answer.
#[derive(Clone, Default)]
struct Ledger(Arc<Mutex<HashMap<String, Fate>>>);

#[derive(Clone, Default)]
struct Fate {
    runs: u32,
    status: Option<u16>,
}

impl Ledger {
    fn ran(&self, id: &str) {
        lock(&self.0).entry(id.to_owned()).or_default().runs += 1;
    }

    fn answered(&self, id: &str, status: u16) {
        lock(&self.0).entry(id.to_owned()).or_default().status = Some(status);
    }
}

const HOST: &str = "ficu95.example";

fn route(name: &str, prefix: &str, kind: &str, service: &str, times: (u32, u32), n: u32) -> String {
    let (timeout, objective) = times;
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":{n},\"sticky\":false,\"resumable\":false}}"
    )
}

fn configuration(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":440,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// What runners of a plain service have in common.
#[derive(Clone)]
struct Kind {
    service: &'static str,
    slots: usize,
    queue: usize,
    work: Duration,
    /// The idle timeout of a connection, in seconds.
    keep_alive: u64,
}

/// A runner of a plain service.
#[derive(Clone)]
struct Runner {
    id: String,
    kind: Kind,
    address: SocketAddr,
    /// Requests in a slot, and requests that wait for one.
    held: Arc<(Mutex<(usize, usize)>, Condvar)>,
    /// Whether the runner sends answers twice at present.
    spoils: Arc<AtomicBool>,
    /// How many answers it has given while it did, and how many of them twice.
    answers: Arc<AtomicU64>,
    doubled: Arc<AtomicU64>,
    /// When requests have reached it.
    reached: Arc<Mutex<Vec<f64>>>,
    ledger: Ledger,
    record: Record,
}

/// The largest share of its answers that a runner sends twice.
const DOUBLED: f64 = 0.03;

impl Runner {
    /// Starts runner number `at`.
    fn start(at: usize, kind: &Kind, ledger: &Ledger, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((format!("{}.{}", own_net(), 100 + at).as_str(), 0))?;
        let runner = Self {
            id: format!("i-{at}"),
            kind: kind.clone(),
            address: listener.local_addr()?,
            held: Arc::default(),
            spoils: Arc::default(),
            answers: Arc::default(),
            doubled: Arc::default(),
            reached: Arc::default(),
            ledger: ledger.clone(),
            record: record.clone(),
        };
        let served = runner.clone();
        serve(listener, move |stream| served.connection(stream));
        Ok(runner)
    }

    /// Writes the runner's entry into the store.
    fn register(&self, store: &Store) {
        self.write_entry(store, "ready", 1);
    }

    /// Says that the runner leaves. It serves on for a while.
    fn leave_service(&self, store: &Store) {
        self.write_entry(store, "draining", 2);
    }

    fn write_entry(&self, store: &Store, state: &str, writes: u32) {
        let Kind { service, slots, .. } = &self.kind;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":{writes}}}",
            self.address
        );
        store.put("servers", &self.id, &entry);
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(self.kind.keep_alive)));
        let mut reader = Reader::new(stream);
        // The copy of an answer that is still to come.
        let mut extra: Option<String> = None;
        while let Ok(Some(request)) = reader.read(false) {
            let (method, path) = request.method_and_path();
            let id = request.header("request-id").unwrap_or("").to_owned();
            lock(&self.reached).push(self.record.now());
            if let Some(extra) = extra.take() {
                let text = extra.replace("\r\n", " | ");
                self.record.line(&format!("{}: reads {id}, and sends a copy: {text}", self.id));
                if writer.write_all(extra.as_bytes()).is_err() {
                    return;
                }
            }
            let is_other = request.header("expect-instance").is_some_and(|other| other != self.id);
            let (status, ran) = if is_other {
                ("421 Misdirected Request", false)
            } else if method == "GET" && path == "/health" {
                ("200 OK", true)
            } else if !self.admit(&id, &writer) {
                ("503 Service Unavailable", false)
            } else {
                self.ledger.ran(&id);
                self.record.line(&format!("{}: {id} runs", self.id));
                thread::sleep(self.kind.work);
                self.leave();
                ("200 OK", true)
            };
            let mut answer = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n");
            let _ = write!(answer, "Instance-Id: {}\r\n", self.id);
            let _ = write!(answer, "Keep-Alive: timeout={}\r\n", self.kind.keep_alive);
            let body = if ran { "the whole answer\n" } else { "" };
            if ran {
                let _ = write!(answer, "Response-Signature: {}.{id}\r\n", self.id);
            } else {
                answer.push_str("Not-Executed: 1\r\n");
                self.record.line(&format!("{}: {id} answered {status}, not executed", self.id));
            }
            let _ = write!(answer, "Content-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if self.is_doubled(ran) {
                extra = Some(answer);
            }
        }
    }

    /// Whether the answer just given is sent twice. Those are rejections, as far as the share of
    /// all answers allows.
    fn is_doubled(&self, ran: bool) -> bool {
        if !self.spoils.load(Ordering::SeqCst) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let allowed = (answers as f64 * DOUBLED) as u64;
        let more = |doubled| (!ran && doubled < allowed).then_some(doubled + 1);
        self.doubled.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).is_ok()
    }

    /// Waits for a slot; false if the runner is full, or the caller has gone.
    fn admit(&self, id: &str, stream: &TcpStream) -> bool {
        let (held, changed) = (&self.held.0, &self.held.1);
        let mut now = lock(held);
        if now.0 >= self.kind.slots {
            if now.1 >= self.kind.queue {
                return false;
            }
            now.1 += 1;
            while now.0 >= self.kind.slots {
                let waited = changed.wait_timeout(now, Duration::from_millis(5));
                now = waited.map(|(now, _)| now).unwrap_or_else(|e| e.into_inner().0);
                if has_gone(stream) {
                    now.1 -= 1;
                    self.record.line(&format!("{}: {id} left the queue", self.id));
                    return false;
                }
            }
            now.1 -= 1;
        }
        now.0 += 1;
        true
    }

    fn leave(&self) {
        lock(&self.held.0).0 -= 1;
        self.held.1.notify_one();
    }
}

/// Whether the other side has closed a connection.
fn has_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let gone = matches!(stream.peek(&mut [0; 1]), Ok(0));
    let _ = stream.set_nonblocking(false);
    gone
}

/// Runs a case; says whether the rule was broken.
pub fn run(case: &str, record: &Record, trouble: bool) -> io::Result<bool> {
    match case {
        "doubled" => doubled(record, trouble),
        "alone" => alone(record, trouble),
        "cut" => cut(record, trouble),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}

/// A runner sends some of its answers twice; the second copy comes where the next answer is due.
fn doubled(record: &Record, trouble: bool) -> io::Result<bool> {
    const SERVICE: &str = "booking-api";
    const SECONDS: f64 = 102.0;
    const RATE: f64 = 37.1;
    /// How long answers are sent twice, and how often that begins.
    const SPELL: (f64, f64) = (5.0, 5.5);
    let store = Store::start(record, &format!("{}.200", own_net()))?;
    let routes = [route("r-slot-commit", "/slot/", "non_idempotent", SERVICE, (4000, 1000), 1)];
    store.put("config", "main", &configuration(1, &routes, &[SERVICE]));
    let ledger = Ledger::default();
    let work = Duration::from_millis(60);
    let kind = Kind { service: SERVICE, slots: 2, queue: 1, work, keep_alive: 1 };
    let runners =
        [Runner::start(0, &kind, &ledger, record)?, Runner::start(1, &kind, &ledger, record)?];
    runners.iter().for_each(|runner| runner.register(&store));
    let mut nodes = Nodes::prepare(3, &["zone-a", "zone-b"], |_| Ok(store.address))?;
    nodes.start(record)?;
    let fronts = nodes.fronts();
    thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    let mut random = Random::new(1);
    let (mut clients, mut due, mut number) = (Vec::new(), 0.0, 0);
    while due < SECONDS {
        due += random.exponential(1.0 / RATE);
        thread::sleep(Duration::from_secs_f64(due).saturating_sub(began.elapsed()));
        let spoils = trouble && due % SPELL.1 < SPELL.0;
        if runners[0].spoils.swap(spoils, Ordering::SeqCst) != spoils {
            record.line(&format!("{}: answers are sent twice: {spoils}", runners[0].id));
        }
        number += 1;
        let id = format!("{number:016x}");
        let front = fronts[(random.next() % fronts.len() as u64) as usize];
        let (ledger, record) = (ledger.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let request = format!(
                "POST /slot/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 4000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nslot"
            );
            record.line(&format!("client: {id} sent to {front}"));
            let answer = call(front, request.as_bytes(), Duration::from_millis(5000));
            let status = answer.as_ref().map_or(0, Message::status);
            ledger.answered(&id, status);
            record.line(&format!("client: {id} answered {status}"));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    nodes.keep_logs();
    drop(nodes);
    for runner in &runners {
        let (answers, doubled) = (&runner.answers, &runner.doubled);
        record.line(&format!(
            "{}: answers while it doubles some {}, doubled {}",
            runner.id,
            answers.load(Ordering::SeqCst),
            doubled.load(Ordering::SeqCst)
        ));
    }
    let fates = lock(&ledger.0).clone();
    let served = fates.values().filter(|fate| fate.status == Some(200)).count();
    let ids = |is_broken: &dyn Fn(&Fate) -> bool| -> Vec<String> {
        let broken = fates.iter().filter(|(_, fate)| is_broken(fate));
        broken.map(|(id, _)| id.clone()).collect()
    };
    let twice = ids(&|fate| fate.runs > 1);
    let promise = |fate: &Fate| matches!(fate.status, Some(408 | 421 | 429 | 503));
    let refused = ids(&|fate| fate.runs > 0 && promise(fate));
    record.line(&format!("requests {}, answered 200: {served}", fates.len()));
    record.line(&format!("TWICE, ran more than once: {twice:?}"));
    record.line(&format!("REFUSED, ran and was answered with a promise: {refused:?}"));
    if served * 2 < fates.len() {
        return Err(io::Error::other("fewer than half of the requests were served"));
    }
    Ok(!twice.is_empty())
}

/// The two services of the cases of a moved route.
const OLD: &str = "ontbijtbord";
const NEW: &str = "wuno96b";
const CONFIG_APPLY: f64 = 2000.0;
const DRAIN: f64 = 2000.0;
/// How much later than the bounds say a request is counted.
const MARGIN: f64 = 50.0;

/// A configuration with the route `/count/` to a service.
fn counted_by(version: u32, service: &str) -> String {
    let steady = route("r-board", "/board/", "idempotent", OLD, (600, 100), 2);
    let moved = route("r-count", "/count/", "idempotent", service, (600, 100), 2);
    configuration(version, &[steady, moved], &[OLD, NEW])
}

/// Starts runners of the services.
fn start_counting(services: &[&'static str], record: &Record) -> io::Result<Vec<Runner>> {
    let (ledger, work) = (Ledger::default(), Duration::from_millis(15));
    let kind = |service| Kind { service, slots: 6, queue: 24, work, keep_alive: 5 };
    let started = services.iter().enumerate();
    started.map(|(at, service)| Runner::start(at, &kind(service), &ledger, record)).collect()
}

/// Sends a request on a route, and returns the service that ran it; empty if none did.
fn count(
    route: &str,
    number: u32,
    front: SocketAddr,
    runners: &[Runner],
    record: &Record,
) -> &'static str {
    let id = format!("{number:016x}");
    let sent = record.now();
    let request = format!(
        "GET /{route}/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 600\r\nConnection: close\r\n\r\n"
    );
    let answer = call(front, request.as_bytes(), Duration::from_secs(1));
    let status = answer.as_ref().map_or(0, Message::status);
    let by = answer.as_ref().ok().and_then(|a| a.header("instance-id")).unwrap_or("");
    let service = runners.iter().find(|r| r.id == by).map_or("", |r| r.kind.service);
    record.line(&format!(
        "client: /{route}/{id} sent at {sent:.1} to {front}: {status}, run by {service}"
    ));
    service
}

/// What a case of a runner that leaves needs.
struct Leaving {
    store: Store,
    runners: Vec<Runner>,
    nodes: Nodes,
}

/// Starts runners and nodes; `way` gives the address at which each node finds the store.
fn start_leaving(
    record: &Record,
    way: impl Fn(usize, SocketAddr) -> io::Result<SocketAddr>,
) -> io::Result<Leaving> {
    let store = Store::start(record, &format!("{}.200", own_net()))?;
    store.put("config", "main", &counted_by(1, OLD));
    let runners = start_counting(&[OLD, OLD, NEW, NEW, OLD], record)?;
    runners.iter().take(4).for_each(|runner| runner.register(&store));
    let mut nodes = Nodes::prepare(6, &["zone-a", "zone-b"], |at| way(at, store.address))?;
    nodes.start(record)?;
    thread::sleep(Duration::from_secs(5));
    Ok(Leaving { store, runners, nodes })
}

/// Lets the first runner say that it leaves and moves the route, and judges what the last node does
/// with requests from then on.
fn judge_leaving(leaving: &Leaving, seconds: f64, record: &Record) -> bool {
    let Leaving { store, runners, nodes } = leaving;
    let left = nodes.nodes.last().expect("there are nodes");
    let leaver = &runners[0];
    leaver.leave_service(store);
    let acknowledged = record.now();
    store.put("config", "main", &counted_by(9, NEW));
    let moved = record.now();
    let bound = acknowledged + DRAIN + MARGIN;
    record.line(&format!("no request may reach {} after {bound:.1}", leaver.id));
    let (mut number, mut old) = (0, 0);
    while record.now() < acknowledged + seconds * 1e3 {
        number += 1;
        let sent = record.now();
        let service = count("board", number, left.front(), runners, record);
        if service != OLD {
            record.line("no service");
        }
        number += 1;
        let service = count("count", number, left.front(), runners, record);
        old += u32::from(service == OLD && sent > moved + CONFIG_APPLY + MARGIN);
        thread::sleep(Duration::from_millis(40));
    }
    record.line(&format!("{} is ready: {}", left.name, left.is_ready()));
    let reached = lock(&leaver.reached).clone();
    let late: Vec<u32> =
        reached.iter().filter(|at| **at > bound).map(|at| (at - acknowledged) as u32).collect();
    record.line(&format!("CONFIG, run by the old service over 2 s after the change: {old}"));
    record.line(&format!(
        "DRAIN, reached {} later than the bound: {}, the last {} ms after it had left",
        leaver.id,
        late.len(),
        late.last().unwrap_or(&0)
    ));
    !late.is_empty()
}

/// All machines but one lose power; after that a runner leaves.
fn alone(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut leaving = start_leaving(record, |_, store| Ok(store))?;
    if trouble {
        let (_, others) = leaving.nodes.nodes.split_last_mut().expect("there are nodes");
        for node in others {
            node.kill();
            record.line(&format!("{} has lost power", node.name));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let is_broken = judge_leaving(&leaving, 20.0, record);
    leaving.nodes.keep_logs();
    Ok(is_broken)
}

/// All machines but one are cut off from the store; after that a runner leaves.
fn cut(record: &Record, trouble: bool) -> io::Result<bool> {
    let proxies: Mutex<Vec<Proxy>> = Mutex::default();
    let leaving = start_leaving(record, |at, store| {
        let proxy = Proxy::start(store, &format!("{}.{}", own_net(), 210 + at))?;
        lock(&proxies).push(proxy.clone());
        Ok(proxy.address)
    })?;
    // Planned work: a runner is added, and a configuration changes nothing but its version.
    leaving.runners[4].register(&leaving.store);
    leaving.store.put("config", "main", &counted_by(4, OLD));
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let proxies = lock(&proxies);
        for (proxy, node) in proxies.iter().zip(&leaving.nodes.nodes).take(proxies.len() - 1) {
            proxy.cut();
            record.line(&format!("{} is cut off from the store", node.name));
        }
    }
    thread::sleep(Duration::from_millis(50));
    // The cut lasts longer than this.
    let is_broken = judge_leaving(&leaving, 5.0, record);
    leaving.nodes.keep_logs();
    Ok(is_broken)
}
