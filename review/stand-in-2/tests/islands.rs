//! Cases 4 and 5: a machine that is left after the loss of others hears none of those that are there,
//! and goes on with the configuration before while the store turns it away.
//!
//! Case 4 (`left`): of ten machines two are left, which never hear each other. Case 5 (`replaced`):
//! of six machines one is left and five new ones come at other addresses; they never meet.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Conn, Folder, Log, Node, Store, serve};

const HOST: &str = "ficu95.example";
/// A machine: its zone, and its number there.
type Place = (&'static str, u32);

/// The nine machines of profiltryck-nord and one of its spares.
const TEN: [Place; 10] = [
    ("hall-a", 1),
    ("hall-b", 1),
    ("hall-c", 1),
    ("hall-d", 1),
    ("hall-a", 2),
    ("hall-b", 2),
    ("hall-c", 2),
    ("hall-d", 2),
    ("hall-a", 3),
    ("hall-b", 3),
];
/// The machines of the ten that are left, neither of them a seed. The store turns the last one away.
const LEFT: [usize; 2] = [3, 5];
/// The machines of houtkamp-ochtend.
const SIX: [Place; 6] = [
    ("zaal-amstel", 1),
    ("zaal-amstel", 2),
    ("zaal-maas", 1),
    ("zaal-maas", 2),
    ("zaal-hofvijver", 1),
    ("zaal-dom", 1),
];
/// `stableWindowMs` and more.
const CALM: Duration = Duration::from_millis(5_000);
/// How long after a loss new machines come, and how long they are given to meet the one left.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
const MEETING: Duration = Duration::from_secs(15);
/// `configApplyMs`, and `maxSkewMs` by which an unstable core stretches it.
const BOUND: Duration = Duration::from_millis(2_000 + 5_000);
/// How long the store turns the machine away (site file: at most 9 s).
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
const PERIOD: Duration = Duration::from_millis(100);

fn configuration(version: u32, service: &str) -> String {
    let service_of = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-order","host":"{HOST}","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":1,"service":"{service}","maxAttempts":1,"sticky":false,"resumable":false}}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        service_of("desk-a"),
        service_of("desk-b"),
    )
}

/// The requests that ran, each with the service that ran it.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

/// A sound server of a service.
fn server(service: &'static str, id: String, log: &Log, runs: &Runs) -> SocketAddr {
    let (log, runs) = (log.clone(), runs.clone());
    serve(move |mut conn| {
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            let request = head.field("request-id").unwrap_or("").to_owned();
            if head.field("expect-instance").is_some_and(|expected| expected != id) {
                let fields = format!("Instance-Id: {id}\r\n");
                let _ = conn.answer("421 Misdirected Request", &fields, b"");
                continue;
            }
            if head.path().starts_with("/order/") {
                log.line(format!("run {request} by {service} ({} bytes)", body.len()));
                runs.lock().unwrap().push((request.clone(), service));
            }
            thread::sleep(Duration::from_millis(15));
            let fields = format!(
                "Request-Id: {request}\r\nInstance-Id: {id}\r\nResponse-Signature: {id}.{request}\r\n\
                 Keep-Alive: timeout=5\r\n"
            );
            if conn.answer("200 OK", &fields, service.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Sends requests to one machine until `stop`, over a connection that it keeps. Returns the ids
/// with the time at which each was sent.
fn client(
    front: SocketAddr,
    machine: String,
    log: Log,
    stop: Arc<AtomicBool>,
) -> Vec<(String, Instant)> {
    static LAST: AtomicU64 = AtomicU64::new(0x9c41_0000);
    let (mut sent, mut kept) = (Vec::new(), None::<Conn>);
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed));
        let request = format!(
            "POST /order/7 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Content-Length: 4\r\n\r\neggs"
        );
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => match Conn::connect(front, Duration::from_secs(1)) {
                Ok(conn) => conn,
                Err(_) => continue,
            },
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        sent.push((id.clone(), Instant::now()));
        log.line(format!("sent {id} to {machine}"));
        let answer = conn.send(request.as_bytes()).and_then(|()| {
            let head = conn.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            let body = conn.body(&head)?;
            Ok((head, body))
        });
        match answer {
            Ok((head, body)) => {
                let body = String::from_utf8_lossy(&body).trim().to_owned();
                log.line(format!("answered {id} {} {body}", head.status()));
                if head.field("connection") != Some("close") {
                    kept = Some(conn);
                }
            }
            Err(error) => log.line(format!("not answered {id}: {error}")),
        }
        thread::sleep(PERIOD);
    }
    sent
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
    let is_replaced = arguments.next().as_deref() == Some("replaced");
    let disruptions = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    // Either disruption can be had alone, to compare.
    let (loses, turns_away) = match disruptions.as_str() {
        "0" => (false, false),
        "lost" => (true, false),
        "away" => (false, true),
        _ => (true, true),
    };
    let log = Log::create(&folder.join("record.txt"));
    let mut fleet = Fleet::new(&log);
    let watched = if is_replaced { fleet.replaced(loses) } else { fleet.left(loses) };
    let code = watched.map_or(2, |watched| fleet.judge(watched, turns_away));
    drop(fleet);
    log.line(format!("exit {code}"));
    exit(code);
}

/// The machines, the store and the servers.
struct Fleet {
    log: Log,
    folder: Folder,
    store: Store,
    runs: Runs,
    nodes: Vec<Node>,
    /// Each machine reaches the store at an address of its own, so that it can be turned away alone.
    refuses: Vec<Arc<AtomicBool>>,
    seeds: Vec<SocketAddr>,
    client: Option<(Arc<AtomicBool>, Vec<Client>)>,
}

type Client = thread::JoinHandle<Vec<(String, Instant)>>;

impl Fleet {
    fn new(log: &Log) -> Self {
        let (store, runs) = (Store::default(), Runs::default());
        for service in ["desk-a", "desk-b"] {
            for at in 0..4 {
                let id = format!("i-{service}-{at}");
                let address = server(service, id.clone(), log, &runs);
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"z","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":1}}"#
                );
                store.put("servers", &id, &entry);
            }
        }
        store.put("config", "main", &configuration(7, "desk-a"));
        Self {
            log: log.clone(),
            folder: Folder::new("islands"),
            store,
            runs,
            nodes: Vec::new(),
            refuses: Vec::new(),
            seeds: Vec::new(),
            client: None,
        }
    }

    /// Starts machines. The first three ever are the seeds of all.
    fn start(&mut self, places: &[Place]) -> bool {
        let first = self.nodes.len();
        for (zone, number) in places {
            self.nodes.push(Node::new(&self.folder.0, &number.to_string(), zone));
            self.refuses.push(Arc::default());
        }
        if self.seeds.is_empty() {
            self.seeds = self.nodes[..3].iter().map(|node| node.peer).collect();
        }
        for (at, (zone, _)) in (first..).zip(places) {
            let store = self.store.start(self.refuses[at].clone());
            self.nodes[at].configure(zone, store, &self.seeds);
            self.nodes[at].start();
        }
        let ready = self.nodes[first..].iter().all(|n| n.wait_ready(Duration::from_secs(15)));
        self.log.line(format!("{} machines started, all ready: {ready}", places.len()));
        ready
    }

    fn send_to(&mut self, machines: &[usize]) {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = machines.iter().map(|at| {
            let (front, name) = (self.nodes[*at].front, self.nodes[*at].name.clone());
            let (log, stop) = (self.log.clone(), stop.clone());
            thread::spawn(move || client(front, name, log, stop))
        });
        self.client = Some((stop.clone(), clients.collect()));
    }

    /// Case 4: two of ten machines are left.
    fn left(&mut self, loses: bool) -> Option<Vec<usize>> {
        if !self.start(&TEN) {
            return None;
        }
        self.send_to(&LEFT);
        thread::sleep(CALM);
        if loses {
            for (at, node) in self.nodes.iter_mut().enumerate() {
                if !LEFT.contains(&at) {
                    node.kill();
                }
            }
            self.log.line(format!("{} of {} machines are lost", TEN.len() - 2, TEN.len()));
        }
        thread::sleep(CALM);
        Some(LEFT.to_vec())
    }

    /// Case 5: one of six machines is left, and five others come at other addresses.
    fn replaced(&mut self, loses: bool) -> Option<Vec<usize>> {
        if !self.start(&SIX) {
            return None;
        }
        thread::sleep(CALM);
        // One that is no seed and has written no entry of its own to the store.
        let listed = self.store.names("sardinepick-nodes");
        self.log.line(format!("entries of machines in the store: {listed:?}"));
        let left = (3..6).find(|at| !listed.contains(&self.nodes[*at].name))?;
        self.log.line(format!("{} is to be left", self.nodes[left].name));
        let mut other = 0;
        if loses {
            for (at, node) in self.nodes.iter_mut().enumerate() {
                if at != left {
                    node.kill();
                }
            }
            self.log.line("five of six machines are removed for good");
            thread::sleep(REPLACED_AFTER);
            let places: Vec<Place> =
                (0..6).filter(|at| *at != left).map(|at| (SIX[at].0, SIX[at].1 + 2)).collect();
            other = self.nodes.len();
            if !self.start(&places) {
                return None;
            }
            thread::sleep(MEETING);
        }
        let listed = self.store.names("sardinepick-nodes");
        self.log.line(format!("entries of machines in the store: {listed:?}"));
        self.send_to(&[other, left]);
        thread::sleep(CALM);
        Some(vec![other, left])
    }

    /// Changes the configuration while the store turns the last of the machines away, and counts
    /// what is handled by the version before too late.
    fn judge(&mut self, machines: Vec<usize>, turns_away: bool) -> i32 {
        let log = self.log.clone();
        let last = machines[machines.len() - 1];
        let away = Instant::now();
        if turns_away {
            self.refuses[last].store(true, Ordering::Relaxed);
            log.line(format!("the store answers {} with 503 from now on", self.nodes[last].name));
        }
        thread::sleep(Duration::from_millis(500));
        let revision = self.store.put("config", "main", &configuration(9, "desk-b"));
        let acknowledged = Instant::now();
        log.line(format!("version 9 (/order/ to desk-b) acknowledged, revision {revision}"));
        thread::sleep(TURNED_AWAY.saturating_sub(away.elapsed()));
        self.refuses[last].store(false, Ordering::Relaxed);
        log.line("the store serves all machines");
        thread::sleep(Duration::from_millis(1_500));
        let Some((stop, clients)) = self.client.take() else { return 2 };
        stop.store(true, Ordering::Relaxed);
        let runs = self.runs.lock().unwrap();
        let (mut broken, mut is_enough) = (0, true);
        for (at, client) in machines.iter().zip(clients) {
            let sent = client.join().unwrap_or_default();
            let late: Vec<_> = sent.iter().filter(|(_, at)| *at > acknowledged + BOUND).collect();
            let by_old = |id: &str| runs.iter().any(|(run, by)| run == id && *by == "desk-a");
            let old: Vec<&str> =
                late.iter().map(|(id, _)| id.as_str()).filter(|id| by_old(id)).collect();
            log.line(format!(
                "{}: {} requests, {} sent later than {BOUND:?} after the acknowledgement, {} of \
                 them run by the old service: {old:?}",
                self.nodes[*at].name,
                sent.len(),
                late.len(),
                old.len()
            ));
            broken += old.len();
            is_enough &= sent.len() >= 100;
        }
        if !is_enough {
            log.line("too few requests");
            return 2;
        }
        i32::from(broken > 0)
    }
}
