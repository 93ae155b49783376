//! Stand-ins for the scripts of the review: the platform's store, runners and clients, and the
//! processes of the system. It needs nothing but the standard library.
//!
//! `review-standin CASE FOLDER`, started in the repository's root. It writes `FOLDER/record.txt`.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

mod cases;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:10.1} {text}", self.now());
    }
}

/// A small generator of random numbers, so that a run can be repeated as far as the clock allows.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Between 0 and 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

// JSON: only as much as a store needs to find the parts of an object.

/// The end of the value that starts at `at`.
fn value_end(text: &[u8], mut at: usize) -> usize {
    let (mut depth, mut quoted) = (0_i32, false);
    while at < text.len() {
        match text[at] {
            b'\\' if quoted => at += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return at + 1;
                }
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => {
                if depth == 0 {
                    return at;
                }
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if !quoted && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// The value of a field of an object, as it is written.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        while at < text.len() && (text[at].is_ascii_whitespace() || text[at] == b',') {
            at += 1;
        }
        if at >= text.len() || text[at] != b'"' {
            return None;
        }
        let key_end = value_end(text, at);
        let key = &object[at + 1..key_end - 1];
        let mut start = key_end;
        while start < text.len() && (text[start].is_ascii_whitespace() || text[start] == b':') {
            start += 1;
        }
        let end = value_end(text, start);
        if key == name {
            return Some(object[start..end].trim());
        }
        at = end;
    }
}

pub fn text_of(value: &str) -> String {
    value.trim_matches('"').to_owned()
}

// HTTP.

/// A message: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method_and_path(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=at).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                into.append(&mut self.rest);
                return Ok(false);
            }
        }
        into.extend(self.rest.drain(..length));
        Ok(true)
    }

    /// Reads a message; `None` at the end of the connection. `is_answer` says whether a body
    /// without a length goes on to the end.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, is_complete: true, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length: Option<usize> = message.header("content-length").and_then(|v| v.parse().ok());
        let mut body = Vec::new();
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    message.is_complete = false;
                    break;
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.unwrap_or(0);
                if size == 0 {
                    self.line()?;
                    break;
                }
                if !self.take(size, &mut body)? {
                    message.is_complete = false;
                    break;
                }
                self.line()?;
            }
        } else if let Some(length) = length {
            message.is_complete = self.take(length, &mut body)?;
        } else if is_answer && !matches!(message.status(), 100..=199 | 204 | 304) {
            while self.fill()? > 0 {}
            body.append(&mut self.rest);
        }
        message.body = body;
        Ok(Some(message))
    }
}

/// Listens, and handles each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Calls an address once, on a connection of its own.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    Reader::new(stream).read(true)?.ok_or_else(|| io::Error::other("closed without an answer"))
}

// The store.

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.spec, self.status
        )
    }
}

struct Event {
    kind: String,
    revision: u64,
    object: String,
    tombstone: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            return known.clone();
        }
        self.revision += 1;
        let status = "null".to_owned();
        let (name, spec) = (name.to_owned(), spec.to_owned());
        let object = Object { name, revision: self.revision, spec, status };
        self.objects.insert(key, object.clone());
        self.note(kind, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.note(kind, &object, true);
        }
    }

    fn note(&mut self, kind: &str, object: &Object, tombstone: bool) {
        let (kind, object) = (kind.to_owned(), object.json());
        self.events.push(Event { kind, revision: self.revision, object, tombstone });
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    pub address: SocketAddr,
    pub record: Record,
}

impl Store {
    pub fn start(record: &Record, address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((address, 0))?;
        let objects = Arc::new((Mutex::new(Objects::default()), Condvar::new()));
        let store = Self { objects, address: listener.local_addr()?, record: record.clone() };
        let served = store.clone();
        serve(listener, move |stream| served.connection(stream));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        lock(&self.objects.0)
    }

    /// Writes an object for the operator or a runner. On return it is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.lock().put(kind, name, spec);
        self.objects.1.notify_all();
        self.record.line(&format!("store: {kind}/{name} acknowledged: {spec}"));
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read(false) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        thread::sleep(Duration::from_millis(4));
        let (method, target) = request.method_and_path();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/api/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name.trim_end_matches("/status").to_owned())),
            None => (path, None),
        };
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if method == "GET" {
            if let Some(from) = parameter("watch") {
                let wait = parameter("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                return self.watch(kind, from.parse().unwrap_or(0), wait);
            }
            let objects = self.lock();
            if let Some(name) = name {
                return match objects.objects.get(&(kind.to_owned(), name)) {
                    Some(object) => ("200 OK", object.json()),
                    None => ("404 Not Found", "{}".to_owned()),
                };
            }
            let after = parameter("after").unwrap_or_default();
            let of_kind = objects.objects.iter().filter(|((k, n), _)| k == kind && *n > after);
            let items: Vec<String> = of_kind.map(|(_, object)| object.json()).collect();
            let body = format!(
                "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
                items.join(","),
                objects.revision
            );
            return ("200 OK", body);
        }
        let metadata = field(&body, "metadata").unwrap_or("{}");
        let named = field(metadata, "name").map(text_of);
        let Some(name) = name.or(named) else { return ("400 Bad Request", "{}".to_owned()) };
        let wanted = field(metadata, "revision").map(str::to_owned).or(parameter("revision"));
        let wanted: Option<u64> = wanted.and_then(|v| v.parse().ok());
        let mut objects = self.lock();
        let known = objects.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_other = |o: &Object| wanted.is_some_and(|wanted| wanted != o.revision);
        let spec = field(&body, "spec").unwrap_or("null");
        let answer = match (method, known) {
            ("POST", Some(known)) => ("409 Conflict", known.json()),
            ("PUT" | "DELETE", None) => ("404 Not Found", "{}".to_owned()),
            ("PUT" | "DELETE", Some(known)) if is_other(&known) => ("409 Conflict", known.json()),
            ("POST" | "PUT", _) => ("200 OK", objects.put(kind, &name, spec).json()),
            ("DELETE", _) => {
                objects.remove(kind, &name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        };
        drop(objects);
        self.objects.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, from: u64, wait: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut objects = self.lock();
        loop {
            let new = objects.events.iter().filter(|e| e.kind == kind && e.revision > from);
            let events: Vec<String> = new
                .map(|e| format!("{{\"tombstone\":{},\"object\":{}}}", e.tombstone, e.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let as_of = objects.revision;
                return ("200 OK", format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            let waited = self.objects.1.wait_timeout(objects, left);
            objects = waited.map(|(objects, _)| objects).unwrap_or_else(|e| e.into_inner().0);
        }
    }
}

// A proxy that can be cut.

/// Passes connections on to an address until it is cut: then nothing passes any more, without a
/// reset, and new connections hang.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(to: SocketAddr, address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((address, 0))?;
        let proxy = Self { address: listener.local_addr()?, is_cut: Arc::default() };
        let served = proxy.clone();
        serve(listener, move |near| {
            let Ok(far) = TcpStream::connect(to) else { return };
            let _ = far.set_nodelay(true);
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
            let other = served.clone();
            thread::spawn(move || other.copy(near_too, far_too));
            served.copy(far, near);
        });
        Ok(proxy)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16384];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            if self.is_cut.load(Ordering::SeqCst) {
                // The connection stays open and silent for as long as the case runs.
                loop {
                    thread::sleep(Duration::from_secs(1));
                }
            }
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }
}

// The processes of the system.

/// A node.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub ports: BTreeMap<&'static str, u16>,
    pub settings: PathBuf,
    process: Option<Child>,
    log: PathBuf,
}

/// The nodes of a case. They end with it.
pub struct Nodes {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Fills in the template of the settings: a value in double braces, and sections that are kept if
/// there is a value.
fn fill_in(template: &str, values: &HashMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(at) = text.find("{{#") {
        let name_end = at + text[at..].find("}}").unwrap_or(0);
        let name = text[at + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).unwrap_or(text.len() - close.len());
        let inner = text[name_end + 2..end].to_owned();
        let filled = values.get(&name).map(|v| inner.replace("{{.}}", v)).unwrap_or_default();
        text.replace_range(at..end + close.len(), &filled);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// A loopback network of this process, so that cases beside each other have addresses of their own.
pub fn own_net() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 16 + (id >> 8) % 200, id % 256)
}

impl Nodes {
    /// Prepares nodes with the settings of a small deployment.
    pub fn prepare(
        count: usize,
        zones: &[&str],
        store: impl Fn(usize) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        let template = fs::read_to_string("platform/node.ini")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut nodes = Vec::new();
        for at in 0..count {
            let ip = format!("{}.{}", own_net(), at + 1);
            let mut ports = BTreeMap::new();
            for name in ["front", "ready", "control", "directory"] {
                ports.insert(name, free_port(&ip)?);
            }
            let zone = zones[at % zones.len()];
            let name = format!("edge-{zone}-{}", at / zones.len() + 1);
            let settings = folder.join(format!("{name}.conf"));
            let log = folder.join(format!("{name}.log"));
            nodes.push(Node { name, ip, ports, settings, process: None, log });
        }
        let seeds: Vec<String> =
            nodes.iter().take(3).map(|n| format!("{}:{}", n.ip, n.ports["control"])).collect();
        for (at, node) in nodes.iter().enumerate() {
            let mut values = HashMap::new();
            let mut set = |key: &str, value: String| values.insert(key.to_owned(), value);
            set("node", node.name.clone());
            set("ip", node.ip.clone());
            set("zone", zones[at % zones.len()].to_owned());
            for (name, port) in &node.ports {
                set(&format!("listen.{name}"), format!("{}:{port}", node.ip));
            }
            set("seeds", seeds.join(","));
            set("platform.address", store(at)?.to_string());
            for (key, value) in BOUNDS {
                set(key, value.to_owned());
            }
            fs::write(&node.settings, fill_in(&template, &values))?;
        }
        Ok(Self { nodes, folder })
    }

    /// Starts all, and waits until they are ready.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        for node in &mut self.nodes {
            node.start(record)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        for node in &self.nodes {
            while !node.is_ready() {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{} is not ready", node.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
            record.line(&format!("{} is ready", node.name));
        }
        Ok(())
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::front).collect()
    }

    /// Keeps the logs of the nodes in a folder, for reading.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("LOGS") {
            for node in &self.nodes {
                let _ = fs::copy(&node.log, Path::new(&folder).join(format!("{}.log", node.name)));
            }
        }
    }
}

/// The bounds of the small deployments that the settings of a node name.
const BOUNDS: [(&str, &str); 6] = [
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.retryBudgetSlack", "52"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.graceS", "8"),
    ("bounds.ttl_max_s", "5"),
    ("bounds.leaseMs", "3000"),
];

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.parse().expect("an address"), self.ports["front"])
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let process = Command::new("target/release/sardinepickd")
            .arg("--serve")
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .env("SARDINEPICK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("{} started at {}", self.name, self.front()));
        self.process = Some(process);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let ip: Ipv4Addr = self.ip.parse().expect("an address");
        let address = SocketAddr::new(ip.into(), self.ports["ready"]);
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        call(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("review-standin CASE FOLDER");
        std::process::exit(2);
    };
    let record = match Record::new(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::run(case, &record, trouble) {
        Ok(broken) => i32::from(broken),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
