//! Stand-ins of the second review: a store, connections and node processes, with the standard
//! library alone.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Log {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// A message of HTTP/1.1: first line, fields with lower case names, and what has been read of the
/// body beyond the head.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|v| v.contains("chunked"))
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65_536];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// The next head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes = self.take(at + 4);
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
                let line = lines.next().unwrap_or("").to_owned();
                let field = |l: &str| {
                    let (n, v) = l.split_once(':')?;
                    Some((n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                };
                return Ok(Some(Head { line, fields: lines.filter_map(field).collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly so many bytes of a body.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "body cut"));
            }
        }
        Ok(self.take(length))
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let bytes = self.take(at + 2);
                return Ok(String::from_utf8_lossy(&bytes[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "chunk cut"));
            }
        }
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.text_line()?;
        let length = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        let data = self.exact(length)?;
        self.text_line()?;
        Ok(data)
    }

    /// The whole body of a message.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exact(head.length());
        }
        let mut whole = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(whole);
            }
            whole.extend_from_slice(&chunk);
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        let mut whole = head.into_bytes();
        whole.extend_from_slice(body);
        self.send(&whole)
    }
}

/// Accepts connections, each in a thread of its own.
pub fn serve(handle: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
    address
}

/// A port that is free now, below those that the system gives out by itself.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let at = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let port = 12_000 + (at % 18_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// The values of the fields of a JSON object, as text.
pub fn fields(json: &str) -> BTreeMap<String, String> {
    let (mut out, bytes) = (BTreeMap::new(), json.trim().as_bytes());
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    let (mut start, mut key) = (1, None::<String>);
    for (at, byte) in bytes.iter().enumerate() {
        if in_text {
            (in_text, escaped) = (escaped || *byte != b'"', !escaped && *byte == b'\\');
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b':' if depth == 1 && key.is_none() => {
                let name = String::from_utf8_lossy(&bytes[start..at]);
                key = Some(name.trim().trim_matches('"').to_owned());
                start = at + 1;
            }
            b'}' | b']' | b',' => {
                if *byte != b',' {
                    depth -= 1;
                }
                if depth == 0 || (*byte == b',' && depth == 1) {
                    if let Some(key) = key.take() {
                        let value = String::from_utf8_lossy(&bytes[start..at]);
                        out.insert(key, value.trim().to_owned());
                    }
                    start = at + 1;
                }
            }
            _ => {}
        }
    }
    out
}

fn text_of(value: Option<&String>) -> String {
    value.map(|v| v.trim_matches('"').to_owned()).unwrap_or_default()
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind, name and spec of each change; no spec for a removal.
    history: Vec<(u64, String, String, Option<String>)>,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Objects>, Condvar)>);

fn rendered(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

impl Store {
    /// Serves at an address of its own, where calls are answered with 503 while `refuses`.
    pub fn start(&self, refuses: Arc<AtomicBool>) -> SocketAddr {
        let store = self.clone();
        serve(move |mut conn| {
            while let Ok(Some(head)) = conn.head() {
                let Ok(body) = conn.body(&head) else { return };
                if refuses.load(Ordering::Relaxed) {
                    if conn.answer("503 Service Unavailable", "", b"").is_err() {
                        return;
                    }
                    continue;
                }
                let (status, text) = store.call(&head, &String::from_utf8_lossy(&body), &refuses);
                if conn
                    .answer(status, "Content-Type: application/json\r\n", text.as_bytes())
                    .is_err()
                {
                    return;
                }
            }
        })
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = self.0.0.lock().unwrap();
        let revision = objects.put(kind, name, Some(spec));
        self.0.1.notify_all();
        revision
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.0.0.lock().unwrap();
        objects.kinds.get(kind).into_iter().flatten().map(|(name, _)| name.clone()).collect()
    }

    fn call(&self, head: &Head, body: &str, refuses: &AtomicBool) -> (&'static str, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let number = |name| query.get(name).and_then(|v: &&str| v.parse::<u64>().ok());
        if let (None, Some(from)) = (name, number("watch")) {
            return self.watch(kind, from, number("waitMs").unwrap_or(0), refuses);
        }
        let mut objects = self.0.0.lock().unwrap();
        let fields = fields(body);
        let metadata = self::fields(fields.get("metadata").map_or("", String::as_str));
        let expected = metadata.get("revision").and_then(|r| r.parse().ok());
        let expected = expected.or(number("revision")).filter(|r: &u64| *r > 0);
        let spec = fields.get("spec").cloned().unwrap_or_else(|| "null".to_owned());
        let now = |objects: &Objects, name: &str| objects.kinds.get(kind)?.get(name).cloned();
        let answer = match (head.method(), name) {
            ("GET", None) => {
                let all = objects.kinds.get(kind).into_iter().flatten();
                let items: Vec<String> =
                    all.map(|(n, o)| rendered(n, o.revision, &o.spec)).collect();
                let as_of = objects.revision;
                let items = items.join(",");
                ("200 OK", format!(r#"{{"items":[{items}],"hasMore":false,"asOf":{as_of}}}"#))
            }
            ("GET", Some(name)) => match now(&objects, name) {
                Some(o) => ("200 OK", rendered(name, o.revision, &o.spec)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("POST", None) => {
                let name = text_of(metadata.get("name"));
                match now(&objects, &name) {
                    Some(o) => ("409 Conflict", rendered(&name, o.revision, &o.spec)),
                    None => {
                        let revision = objects.put(kind, &name, Some(&spec));
                        ("201 Created", rendered(&name, revision, &spec))
                    }
                }
            }
            ("PUT", Some(name)) => match now(&objects, name) {
                None => ("404 Not Found", "{}".to_owned()),
                Some(o) if expected.is_some_and(|r| r != o.revision) => {
                    ("409 Conflict", rendered(name, o.revision, &o.spec))
                }
                Some(_) => {
                    let revision = objects.put(kind, name, Some(&spec));
                    ("200 OK", rendered(name, revision, &spec))
                }
            },
            ("DELETE", Some(name)) => match now(&objects, name) {
                None => ("404 Not Found", "{}".to_owned()),
                Some(o) if expected.is_some_and(|r| r != o.revision) => {
                    ("409 Conflict", rendered(name, o.revision, &o.spec))
                }
                Some(o) => {
                    objects.put(kind, name, None);
                    ("200 OK", rendered(name, o.revision, &o.spec))
                }
            },
            _ => ("400 Bad Request", "{}".to_owned()),
        };
        self.0.1.notify_all();
        answer
    }

    /// A watch that waits is cut off with 503 once its caller is turned away.
    fn watch(
        &self,
        kind: &str,
        from: u64,
        wait_ms: u64,
        refuses: &AtomicBool,
    ) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.0.0.lock().unwrap();
        loop {
            if refuses.load(Ordering::Relaxed) {
                return ("503 Service Unavailable", String::new());
            }
            let later = objects.history.iter().filter(|(r, k, ..)| *r > from && k == kind);
            let events: Vec<String> = later
                .map(|(r, _, name, spec)| {
                    let object = rendered(name, *r, spec.as_deref().unwrap_or("null"));
                    format!(r#"{{"tombstone":{},"object":{object}}}"#, spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), objects.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#));
            }
            let pause = left.min(Duration::from_millis(50));
            objects = self.0.1.wait_timeout(objects, pause).unwrap().0;
        }
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let (Some(spec), Some(known)) = (spec, objects.get(name))
            && known.spec == spec
        {
            return known.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        match spec {
            Some(spec) => {
                objects.insert(name.to_owned(), Object { revision, spec: spec.to_owned() });
            }
            None => drop(objects.remove(name)),
        }
        let spec = spec.map(str::to_owned);
        self.history.push((revision, kind.to_owned(), name.to_owned(), spec));
        revision
    }
}

/// A node: the program of the deploy file with the settings of its template.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    file: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Node {
    pub fn new(folder: &Path, name: &str, zone: &str) -> Self {
        let [front, ready, lookup, peer, metrics] = [(); 5].map(|()| local(free_port()));
        let name = format!("edge-{zone}-{name}");
        let file = folder.join(format!("{name}.conf"));
        let output = folder.join(format!("{name}.log"));
        Self { name, front, ready, lookup, peer, metrics, file, output, child: None }
    }

    /// Fills the template in as the platform does.
    pub fn configure(&self, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let Node { name, front, ready, lookup, peer, metrics, .. } = self;
        let text = format!(
            "[node]\nname = {name}\ndata_centre = {zone}\nfront = {front}\nready = {ready}\n\
             lookup = {lookup}\npeer = {peer}\nmetrics = {metrics}\nseeds = {}\n\n\
             [store]\naddress = {store}\n\n[retry]\nratio = 0.2\nallowance = 52\nwindow_s = 10\n\n\
             [stop]\ngrace_s = 8\nlongest_validity_s = 5\n\n[orders]\nturns_ms = 3000\n\n\
             [runner_model]\nenabled = false\n\n[capacity]\npolicy = initial\n\n\
             [fair_shares]\nenabled = true\n\n[log]\nlevel = info\nformat = json\n",
            seeds.join(",")
        );
        std::fs::write(&self.file, text).unwrap();
    }

    pub fn start(&mut self) {
        let output =
            OpenOptions::new().create(true).append(true).open(&self.output).expect("a log file");
        let errors = output.try_clone().unwrap();
        let child = Command::new("target/release/sardinepickd")
            .args(["--serve", "--settings"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the node starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::connect(self.ready, Duration::from_millis(300))?;
            conn.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            conn.send(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(conn.head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(what: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{what}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
