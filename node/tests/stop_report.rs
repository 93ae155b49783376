//! What a stopping node logs and counts of the requests that it still has.

use std::io::{BufRead as _, BufReader, Read as _, pipe};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;
use sardinepick_node::logging::start_to;
use sardinepick_node::serve::in_progress::{Open, Report, Step, Table};
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::settings::LogFormat;
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::process::Daemon;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// The grace period in the settings of the node. The requests of the test have a second more.
const GRACE: Duration = Duration::from_secs(2);
/// When the node has closed its listener, and waits for its requests.
const AFTER_CLOSE: Duration = Duration::from_millis(1_300);
/// How long before the stop the requests are sent.
const LEAD: Duration = Duration::from_millis(600);
const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800")];

/// One node as a process whose log is read.
struct Process {
    daemon: Daemon,
    front: std::net::SocketAddr,
    metrics: std::net::SocketAddr,
    log: JoinHandle<String>,
}

impl Process {
    async fn start(set: &Deployment) -> Self {
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
        let ini = ini.replace("grace_s = 4", &format!("grace_s = {}", GRACE.as_secs()));
        let (mut reader, writer) = pipe().expect("a pipe");
        let daemon = Daemon::serve_to(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &ini, writer);
        let log = std::thread::spawn(move || {
            let mut text = String::new();
            reader.read_to_string(&mut text).expect("the log can be read");
            text
        });
        let [front, _, _, _, metrics] = addresses;
        wait_until("the node serves requests", async || {
            if TcpStream::connect(front).await.is_err() {
                return false;
            }
            let request = RawRequest::new("/board/a", "ready");
            RawCaller::connect(front).await.send(&request, GRACE).await.status == 200
        })
        .await;
        Self { daemon, front, metrics, log }
    }

    /// Writes a part of a request.
    async fn write(&self, bytes: &[u8]) -> RawCaller {
        let mut caller = RawCaller::connect(self.front).await;
        assert!(caller.write(bytes).await);
        caller
    }

    async fn metric(&self, line: &str) -> bool {
        let request = RawRequest::new("/metrics", "metrics");
        let reply = RawCaller::connect(self.metrics).await.send(&request, GRACE).await;
        reply.text().lines().any(|l| l == line)
    }

    /// Ends the process and returns the lines of its log.
    async fn end(mut self) -> Vec<Value> {
        while self.daemon.exit_status().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
        let text = self.log.join().expect("the log has been read");
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

async fn wait_run(runner: &Runner, id: &str) {
    wait_until("a runner runs the request", async || runner.run_count(id) > 0).await;
}

/// The only line with this message and these fields.
fn line<'a>(lines: &'a [Value], message: &str, fields: &[(&str, &str)]) -> &'a Value {
    let matches = |line: &&Value| {
        line["message"] == message && fields.iter().all(|(name, value)| line[name] == *value)
    };
    let found: Vec<_> = lines.iter().filter(matches).collect();
    assert_eq!(found.len(), 1, "{message} {fields:?} in {lines:#?}");
    found[0]
}

fn number(line: &Value, field: &str) -> i64 {
    line[field].as_i64().unwrap_or_else(|| panic!("{field} is no number in {line}"))
}

/// Guards against a stop whose log does not tell which requests it has cut, how far each of them had
/// advanced, and how much time each of them had left.
#[tokio::test]
async fn stop_requests_in_progress_logged() {
    let set = Deployment::new().await.with_plain(1).await.with_engines(0, 1).await;
    let node = Process::start(&set).await;
    set.runners[0].set_faults(Faults { hang: true, ..Faults::default() });
    set.runners[1].set_faults(Faults { event_interval: GRACE / 5, ..Faults::default() });
    let plain = RawRequest::new("/eggs/a", "r1");
    let stream = RawRequest { headers: &GENERATION, ..RawRequest::new("/tally/a", "s1") };
    let unread = RawRequest { body: &[b'x'; 1_000], ..RawRequest::new("/eggs/a", "r2") };
    let _plain = node.write(&plain.bytes()).await;
    let _stream = node.write(&stream.bytes()).await;
    let _unread = node.write(&unread.bytes()[..unread.head().len() + 400]).await;
    wait_run(&set.runners[0], "r1").await;
    wait_run(&set.runners[1], "s1").await;
    sleep(LEAD).await;
    let began = Instant::now();
    node.daemon.terminate();
    sleep_until(began + AFTER_CLOSE).await;
    for state in ["reading_body", "running", "streaming"] {
        let counted =
            format!("sardinepick_stop_requests_total{{state=\"{state}\",step=\"close\"}} 1");
        assert!(node.metric(&counted).await, "{counted}");
    }
    let lines = node.end().await;
    for (step, at) in [("close", GRACE.mul_f64(0.42)), ("service_end", GRACE.mul_f64(0.92))] {
        let summary = line(&lines, "stop advanced", &[("step", step)]);
        assert!(number(summary, "at_ms") >= at.as_millis() as i64, "{summary}");
        for (field, count) in [
            ("requests", 3),
            ("reading_body", 1),
            ("waiting", 0),
            ("running", 1),
            ("streaming", 1),
            ("unlisted", 0),
            ("connections", 3),
            ("relays", 0),
        ] {
            assert_eq!(number(summary, field), count, "{field} in {summary}");
        }
        for (id, route, state) in [
            ("r1", "eggs", "running"),
            ("r2", "eggs", "reading_body"),
            ("s1", "tally", "streaming"),
        ] {
            let request =
                line(&lines, "still in progress at stop", &[("step", step), ("request", id)]);
            assert_eq!((&request["route"], &request["state"]), (&route.into(), &state.into()));
            assert!(number(request, "arrived_ms") <= -(LEAD.as_millis() as i64), "{request}");
            assert!((1..3_000).contains(&number(request, "left_ms")), "{request}");
            let is_streaming = state == "streaming";
            assert_eq!(request["head_sent"], is_streaming, "{request}");
            assert_eq!(request["runner"] != "", state != "reading_body", "{request}");
            assert_eq!(number(request, "events") > 0, is_streaming, "{request}");
            assert_eq!(number(request, "bytes") > 0, is_streaming, "{request}");
        }
    }
    let abort = line(&lines, "stop advanced", &[("step", "abort")]);
    assert_eq!(number(abort, "requests"), 0, "{abort}");
    line(&lines, "stop advanced", &[("step", "exit")]);
    let stopped = line(&lines, "stopped", &[]);
    assert!(number(stopped, "took_ms") >= GRACE.mul_f64(0.96).as_millis() as i64, "{stopped}");
    assert_eq!(number(stopped, "relays"), 0, "{stopped}");
    // The stream, the plain request, and the connection whose request has not arrived whole.
    assert_eq!(number(stopped, "cut"), 3, "{stopped}");
    assert!(number(stopped, "connections") <= 3, "{stopped}");
}

/// Guards against a report that fills the queue of the log, and against a request that counts as
/// running although no runner has it, or as waiting although one still has.
#[test]
fn report_many_requests_bounded() {
    const REQUESTS: usize = 70;
    const LISTED: usize = 64;
    let (reader, writer) = pipe().expect("a pipe");
    let log = start_to(LevelFilter::Info, LogFormat::Json, writer);
    let metrics = Metrics::new(log.dropped());
    let table = Table::new(metrics.in_progress.clone());
    let began = std::time::Instant::now();
    let at = |ms: usize| began + Duration::from_millis(ms as u64);
    let requests: Vec<_> =
        (0..REQUESTS).map(|n| table.begin(at(n), format!("r{n}").into())).collect();
    let (first, second) = ("i-1".parse().expect("an id"), "i-2".parse().expect("an id"));
    let moved = requests[66].progress();
    moved.note_call(&first);
    moved.note_call(&second);
    moved.note_not_run(&second);
    let rejected = requests[67].progress();
    rejected.note_read();
    rejected.note_call(&first);
    rejected.note_not_run(&first);
    let answered = requests[68].progress();
    answered.note_call(&first);
    answered.note_head();
    answered.note_event(40);
    answered.note_event(2);
    requests[69].progress().note_admitted(&"tally".into(), at(900));
    let report = Report::new(&table, &metrics, began);
    report.note(Step::Abort, Open { connections: 70, relays: 2 }, at(1_000));
    drop(requests);
    assert_eq!(metrics.in_progress.get(), 0);
    report.note(Step::Exit, Open::default(), at(1_001));
    let text = BufReader::new(reader).lines().take(LISTED + 2);
    let lines: Vec<Value> = text
        .map(|line| serde_json::from_str(&line.expect("a line")).expect("a line in JSON"))
        .collect();
    let summary = &lines[0];
    for (field, value) in [
        ("at_ms", 1_000),
        ("requests", 70),
        ("reading_body", 67),
        ("waiting", 1),
        ("running", 1),
        ("streaming", 1),
        ("unlisted", 6),
        ("connections", 70),
        ("relays", 2),
    ] {
        assert_eq!(number(summary, field), value, "{field} in {summary}");
    }
    let states = ["reading_body", "streaming", "waiting", "running", "reading_body"];
    let runners = ["", "i-1", "", "i-1", ""];
    for (n, (state, runner)) in states.into_iter().zip(runners).enumerate() {
        let line = &lines[1 + n];
        assert_eq!(line["request"], format!("r{}", 69 - n));
        assert_eq!((&line["state"], &line["runner"]), (&state.into(), &runner.into()), "{line}");
    }
    assert_eq!((number(&lines[1], "left_ms"), &lines[1]["route"]), (-100, &"tally".into()));
    assert_eq!((number(&lines[2], "events"), number(&lines[2], "bytes")), (2, 42));
    assert_eq!(lines[5]["left_ms"], "None");
    let last = &lines[LISTED + 1];
    assert_eq!((&last["message"], number(last, "requests")), (&"stop advanced".into(), 0));
    let counted = metrics.stop_requests.with_label_values(&["abort", "reading_body"]);
    assert_eq!(counted.get(), 67);
}
