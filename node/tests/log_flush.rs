//! The log of a process that ends: its last lines reach the reader, and a reader that does not read
//! does not delay the exit.

use std::io::{PipeReader, PipeWriter, Read as _, Write as _, pipe};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures_util::future::{join, join_all};
use sardinepick_testutils::cluster::{NodeOptions, free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::platform::Platform;
use sardinepick_testutils::process::Daemon;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const EXE: &str = env!("CARGO_BIN_EXE_sardinepickd");
/// How many processes are ended at once. Without a flush, only some of them lose their last line.
const PROCESSES: usize = 32;
/// The grace period in the settings of the node.
const GRACE: Duration = Duration::from_secs(4);
/// A grace period after whose aborts a flush of full length would end too late.
const SHORT_GRACE: Duration = Duration::from_secs(1);
/// How late a busy machine may run the process and this test.
const MAX_LATENESS: Duration = Duration::from_millis(200);
/// When an idle node has closed its listener.
const IDLE_STOP: Duration = Duration::from_millis(1_700);
/// How much longer the exit may take if the log cannot be written, on a busy machine.
const MAX_DELAY: Duration = Duration::from_millis(800);

async fn wait_listening(front: SocketAddr) {
    wait_until("the node listens", async || TcpStream::connect(front).await.is_ok()).await;
}

/// Ends a process and returns how long its stop took.
async fn stop(daemon: &mut Daemon) -> Duration {
    let began = Instant::now();
    daemon.terminate();
    while daemon.exit_status().is_none() {
        assert!(began.elapsed() < 4 * GRACE, "the process has not exited");
        sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Runs a process that `start` has started with its log in a pipe, and returns its log.
async fn log_of(start: impl FnOnce(PipeWriter) -> (Daemon, SocketAddr)) -> String {
    let (mut reader, writer) = pipe().expect("a pipe");
    let (mut daemon, front) = start(writer);
    let log = std::thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).expect("the log can be read");
        text
    });
    wait_listening(front).await;
    stop(&mut daemon).await;
    log.join().expect("the log has been read")
}

/// Whether the last line says that the node has stopped.
fn ends_with_stopped(log: &str) -> bool {
    log.lines().last().is_some_and(|line| line.contains("stopped"))
}

fn serve(set: &Deployment, grace: Duration, log: PipeWriter) -> (Daemon, SocketAddr) {
    let addresses = [(); 5].map(|()| free_address(own_ip()));
    let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
    let ini = ini.replace("grace_s = 4", &format!("grace_s = {}", grace.as_secs()));
    (Daemon::serve_to(Path::new(EXE), &ini, log), addresses[0])
}

/// Ends processes and checks that the last line of each is that of its stop.
async fn check_last_lines(start: impl Fn(PipeWriter) -> (Daemon, SocketAddr)) {
    let logs = join_all((0..PROCESSES).map(|_| log_of(&start))).await;
    for log in &logs {
        assert!(log.contains("leaving"), "no line of the stop in:\n{log}");
    }
    let missing = logs.iter().filter(|log| !ends_with_stopped(log)).count();
    assert_eq!(missing, 0, "the last line is missing in {missing} of {PROCESSES} logs");
}

/// Guards against last lines that are lost because the process exits before they are written.
#[tokio::test]
async fn stop_serving_node_last_line_written() {
    let set = Deployment::new().await;
    check_last_lines(|log| serve(&set, GRACE, log)).await;
}

/// Guards against last lines that are lost because the process exits before they are written.
#[tokio::test]
async fn stop_node_last_line_written() {
    let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
    check_last_lines(|log| {
        let options = NodeOptions::new("entry-1", "zaal-dom", platform.address());
        let ini = options.ini().replace("level = warn", "level = info");
        (Daemon::start_to(Path::new(EXE), &ini, log), options.front)
    })
    .await;
}

/// A pipe whose reader does not read, and that is full.
async fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = pipe().expect("a pipe");
    let mut filler = writer.try_clone().expect("a descriptor");
    // Ends when the reader is dropped.
    std::thread::spawn(move || while filler.write_all(&[b'\n'; 4_096]).is_ok() {});
    sleep(Duration::from_millis(200)).await;
    (reader, writer)
}

/// Guards against an exit that waits for a reader of the log that does not read.
#[tokio::test]
async fn stop_log_not_read_exits_in_time() {
    let set = Deployment::new().await;
    let (_reader, writer) = full_pipe().await;
    let (mut daemon, front) = serve(&set, GRACE, writer);
    wait_listening(front).await;
    let took = stop(&mut daemon).await;
    assert!(took < IDLE_STOP + MAX_DELAY, "the stop took {took:?}");
}

/// Guards against a process that still waits for the reader of its log when the platform kills it,
/// after it has waited for a request.
#[tokio::test]
async fn stop_log_not_read_request_open_exits_in_grace() {
    let set = Deployment::new().await;
    let (_reader, writer) = full_pipe().await;
    let (mut daemon, front) = serve(&set, SHORT_GRACE, writer);
    wait_listening(front).await;
    let mut caller = TcpStream::connect(front).await.expect("the node accepts connections");
    let head = b"POST /board/a HTTP/1.1\r\nhost: kitchen.example\r\n";
    let (took, ()) = join(stop(&mut daemon), async {
        // Its head is not complete at the end of the grace period.
        sleep(SHORT_GRACE / 4).await;
        caller.write_all(head).await.expect("the node reads");
    })
    .await;
    assert!(took > SHORT_GRACE.mul_f64(0.9), "the node has not waited for the request: {took:?}");
    assert!(took < SHORT_GRACE + MAX_LATENESS, "the stop took {took:?}");
}
