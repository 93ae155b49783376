//! Finding the cause of a failed request from its ID and the log lines alone, for the three kinds
//! of failure that docs/OPERATIONS.md describes.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

use http::StatusCode;
use log::LevelFilter;
use sardinepick_cli::trace::{Trace, parse_lines};
use sardinepick_node::logging::{queue, start_to};
use sardinepick_node::settings::LogFormat;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::store::Fault;

#[derive(Clone, Debug, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:1210,e440:250")];

/// Returns the explanation of a request once its end is in the log.
async fn explain(log_buffer: &LogBuffer, id: &str) -> String {
    let trace = || Trace::for_request(id, parse_lines("node.log", &log_buffer.text()));
    wait_until("the end is logged", async || {
        trace().is_some_and(|t| {
            t.request_lines.iter().any(|line| line.message.starts_with("request "))
        })
    })
    .await;
    trace().map(|t| t.to_string()).unwrap_or_default()
}

fn assert_contains(explanation: &str, words: &[&str]) {
    for word in words {
        assert!(explanation.contains(word), "{word:?} is not in:\n{explanation}");
    }
}

async fn check_refused_in_burst(log_buffer: &LogBuffer) {
    let deployment = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    let headers = [
        ("model", "m"),
        ("token-count", "900000,80"),
        ("prompt-prefix", "5c1e:400000,91bd:500000"),
    ];
    let ask = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", "burst-1") };
    let reply = deployment.send(0, &ask).await;
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let explanation = explain(log_buffer, "burst-1").await;
    assert_contains(&explanation, &["gate refuses", "first_ms=", "objective_ms=", "reason=late"]);
}

async fn check_cut_when_runner_died(log_buffer: &LogBuffer) {
    let deployment = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    deployment.runners[1].set_faults(Faults { abort_after: Some(3), ..Faults::default() });
    let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/tally/a", "cut-1") };
    assert!(!deployment.send(0, &ask).await.complete);
    let explanation = explain(log_buffer, "cut-1").await;
    assert_contains(
        &explanation,
        &["placed", "stream broke off", "events=3", "request cut", "i-1"],
    );
}

async fn check_store_unavailable(log_buffer: &LogBuffer) {
    let mut deployment = Deployment::new().await.with_plain(1).await;
    deployment.store.set_fault(Fault::Busy);
    deployment.add_node("edge-0", Vec::new()).await;
    let reply = deployment.send_default("/board/a", "away-1").await;
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    wait_until("the loss is logged", async || log_buffer.text().contains("store lost")).await;
    let reply = deployment.send_default("/board/a", "away-2").await;
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let explanation = explain(log_buffer, "away-2").await;
    assert_contains(&explanation, &["reason=no_configuration", "store lost"]);
}

/// This is a single test because a process has only one logger.
#[tokio::test]
async fn explain_failed_request_shows_cause() {
    let log_buffer = LogBuffer::default();
    start_to(LevelFilter::Info, LogFormat::Json, log_buffer.clone());
    check_refused_in_burst(&log_buffer).await;
    check_cut_when_runner_died(&log_buffer).await;
    check_store_unavailable(&log_buffer).await;
}

/// An output that blocks forever.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::sleep(Duration::from_secs(60));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// If the reader of the log stops reading, lines must be dropped: a request that waited for the log
/// would hang.
#[test]
fn queue_reader_stopped_lines_dropped() {
    let (mut queue, output) = queue(BlockedOutput).expect("a thread can be started");
    for n in 0..20_000 {
        writeln!(queue, "{{\"n\":{n}}}").expect("lines are queued or dropped");
    }
    let dropped = output.dropped().count();
    assert!(dropped > 10_000, "{dropped} dropped");
}

/// Guards against a flush that returns before the queued lines are written, and against one that
/// waits for ever for an output that blocks.
#[test]
fn flush_blocked_output_limited() {
    const LIMIT: Duration = Duration::from_millis(50);
    let ((release, released), (sizes, written)) = (mpsc::channel(), mpsc::channel());
    let gated = GatedOutput { release: released, sizes };
    let (mut queue, output) = queue(gated).expect("a thread can be started");
    assert!(output.flush(LIMIT), "nothing was queued");
    queue.write_all(b"line\n").expect("lines are queued or dropped");
    let began = Instant::now();
    assert!(!output.flush(LIMIT), "the output blocks");
    assert!(began.elapsed() >= LIMIT, "gave up after {:?}", began.elapsed());
    drop(release);
    assert!(output.flush(10 * LIMIT), "the output no longer blocks");
    assert_eq!(written.try_iter().sum::<usize>(), 5);
}

/// Guards against a flush that waits for lines that a closed output will never take.
#[test]
fn flush_closed_output_returns() {
    let (release, released) = mpsc::channel();
    let (sizes, _) = mpsc::channel();
    let gated = GatedOutput { release: released, sizes };
    let (mut queue, output) = queue(gated).expect("a thread can be started");
    drop(release);
    queue.write_all(b"line\n").expect("lines are queued or dropped");
    let began = Instant::now();
    assert!(!output.flush(Duration::from_secs(60)), "the line cannot be written");
    assert!(began.elapsed() < Duration::from_secs(10), "waited for {:?}", began.elapsed());
}

/// An output whose first write blocks until released, and that reports the size of each write.
struct GatedOutput {
    release: mpsc::Receiver<()>,
    sizes: mpsc::Sender<usize>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped on release, after which this returns immediately.
        let _ = self.release.recv();
        self.sizes.send(bytes.len()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Without a limit on the batch size, a node that logged quickly added lines to one batch forever:
/// nothing reached the reader, no line was dropped and memory grew. In three of forty runs with a
/// stopped reader, only 2,022, 2,809 and 9,780 of 20,000 lines were dropped, although about 15,900
/// do not fit.
#[test]
fn queue_many_lines_written_in_batches() {
    const LINES: usize = 4_000;
    let ((release, released), (sizes, written)) = (mpsc::channel(), mpsc::channel());
    let (mut queue, _) =
        queue(GatedOutput { release: released, sizes }).expect("a thread can be started");
    let line = "x".repeat(99) + "\n";
    for _ in 0..LINES {
        queue.write_all(line.as_bytes()).expect("lines are queued or dropped");
    }
    drop(release);
    drop(queue);
    let written: Vec<usize> = written.iter().collect();
    assert_eq!(written.iter().sum::<usize>(), LINES * line.len());
    let largest = written.into_iter().max().unwrap_or_default();
    assert!(largest <= 20_000, "{largest} bytes in one batch");
}
