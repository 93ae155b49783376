//! Runners that answer with bytes without end, in a head or a body.

use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::caller::{Reply, RequestSpec};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::fleet::spoiler::{Spoil, Spoiler};
use sardinepick_testutils::process::Daemon;
use tokio::time::{Instant, sleep};

/// The latency objective of the routes.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// What the kernel takes of a response that a node does not read.
const UNREAD_BYTES: u64 = 1 << 20;
/// When the connection of a rejection whose body does not end is closed, at the latest.
const CLOSED_WITHIN: Duration = Duration::from_secs(1);
/// The number of calls that read answers without end at the same time.
const CALLS: usize = 128;
/// The limits of the smallest VM.
const SMALL_VM: &str = "[limits]\nmemory_mb = 160\ndescriptors = 4100\nlink_mbps = 1000\n";
/// What a process may take of the memory of the smallest VM, 160 MB.
const MAX_PROCESS_KB: u64 = 128 << 10;
/// The largest event of a stream.
const MAX_EVENT_BYTES: u64 = 1 << 20;

fn endless(spoilers: &[Spoiler]) -> u64 {
    spoilers.iter().map(Spoiler::endless_bytes).sum()
}

/// A deployment whose first runner spoils all responses to requests.
async fn deployment(set: Deployment, spoil: Spoil) -> (Deployment, Vec<Spoiler>) {
    let set = set.with_nodes(1).await;
    let choice =
        move |at| move |id: &str| if at == 0 && !id.is_empty() { spoil } else { Spoil::None };
    let spoilers = set.spoil(64, choice).await;
    (set, spoilers)
}

async fn send(set: &Deployment, path: &str, id: &str) -> (Reply, Duration) {
    let began = Instant::now();
    let reply = set.send(0, &RequestSpec::new(path, id)).await;
    (reply, began.elapsed())
}

/// Sends requests until the first runner has spoilt three responses, and asserts that each request is
/// served within the objective, after one run unless it may be repeated.
async fn assert_served(set: &Deployment, spoilers: &[Spoiler], path: &str) {
    for round in 0..50 {
        let ids: Vec<String> = (0..8).map(|at| format!("{round}-{at}")).collect();
        let replies = join_all(ids.iter().map(|id| send(set, path, id))).await;
        for (id, (reply, took)) in ids.iter().zip(replies) {
            assert_eq!(reply.status, Some(StatusCode::OK), "{path} {id}");
            assert!(reply.complete, "{path} {id}");
            assert!(path == "/count/a" || set.run_count(id) == 1, "{path} {id}");
            assert!(took < OBJECTIVE, "{path} {id}: {took:?}");
        }
        if spoilers[0].spoilt() >= 3 {
            return;
        }
    }
    panic!("{path}: the first runner was not used");
}

/// Asserts that requests are served, and that the endless bodies of rejections are not read.
async fn assert_rejections_cost_their_heads(set: Deployment, path: &str) {
    let (set, spoilers) = deployment(set, Spoil::RejectEndless).await;
    assert_served(&set, &spoilers, path).await;
    let (sent, rejected) = (endless(&spoilers), spoilers[0].spoilt());
    assert!(sent <= rejected * UNREAD_BYTES, "{sent} bytes in {rejected} calls");
}

/// Guards against reading the body of a rejection, which has no end, before the request goes on.
#[tokio::test]
async fn rejection_with_endless_body_costs_its_head() {
    let set = Deployment::new().await.with_plain(2).await;
    assert_rejections_cost_their_heads(set, "/eggs/a").await;
}

/// Guards against the same on a generation.
#[tokio::test]
async fn rejection_of_stream_with_endless_body_costs_its_head() {
    let set = Deployment::new().await.with_engines(0, 2).await;
    assert_rejections_cost_their_heads(set, "/tally/a").await;
}

/// Guards against waiting for the body of a rejection, which comes slowly and without end.
#[tokio::test]
async fn rejection_with_slow_body_goes_on_at_once() {
    for (path, plain) in [("/eggs/a", 2), ("/tally/a", 0)] {
        let set = Deployment::new().await.with_plain(plain).await.with_engines(0, 2 - plain).await;
        let spoil = Spoil::RejectSlow(Duration::from_millis(100));
        let (set, spoilers) = deployment(set, spoil).await;
        assert_served(&set, &spoilers, path).await;
        sleep(CLOSED_WITHIN).await;
        let sent = endless(&spoilers);
        sleep(CLOSED_WITHIN).await;
        assert_eq!(endless(&spoilers), sent, "{path}: a connection is still open");
    }
}

/// Guards against 504 instead of 503 when all runners reject a request with endless bodies.
#[tokio::test]
async fn rejection_with_endless_body_by_all_refused_as_not_run() {
    let set = Deployment::new().await.with_plain(1).await;
    let (set, spoilers) = deployment(set, Spoil::RejectEndless).await;
    let (reply, _) = send(&set, "/eggs/a", "r").await;
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(set.run_count("r"), 0);
    let (sent, calls) = (endless(&spoilers), spoilers[0].spoilt());
    assert!(sent <= calls * UNREAD_BYTES, "{sent} bytes in {calls} calls");
}

/// Guards against an event without end: it was read until the deadline, and searched again with each
/// piece.
#[tokio::test]
async fn event_without_end_breaks_stream() {
    let set = Deployment::new().await.with_engines(0, 1).await;
    let (set, spoilers) = deployment(set, Spoil::EndlessBody).await;
    let (reply, took) = send(&set, "/tally/a", "e").await;
    assert_eq!(reply.status, Some(StatusCode::BAD_GATEWAY));
    assert!(took < OBJECTIVE, "{took:?}");
    let sent = endless(&spoilers);
    assert!(sent <= MAX_EVENT_BYTES + UNREAD_BYTES, "{sent} bytes");
}

/// Guards against an event without end that keeps a stream from a sound runner.
#[tokio::test]
async fn event_without_end_stream_continues_elsewhere() {
    let set = Deployment::new().await.with_engines(0, 2).await;
    let (set, spoilers) = deployment(set, Spoil::EndlessBody).await;
    assert_served(&set, &spoilers, "/count/a").await;
}

/// Guards against reading heads without end until the deadline instead of answering 502 at once.
#[tokio::test]
async fn head_without_end_is_broken_call() {
    for spoil in [Spoil::EndlessHead, Spoil::EndlessInformational, Spoil::EndlessGarbage] {
        let set = Deployment::new().await.with_plain(1).await.with_engines(0, 0).await;
        let (set, spoilers) = deployment(set, spoil).await;
        let (reply, took) = send(&set, "/eggs/a", "h").await;
        assert_eq!(reply.status, Some(StatusCode::BAD_GATEWAY), "{spoil:?}");
        assert!(took < OBJECTIVE, "{spoil:?}: {took:?}");
        assert!(endless(&spoilers) <= 2 * UNREAD_BYTES, "{spoil:?}: {}", endless(&spoilers));
    }
}

/// Guards against a runner that sends responses without end and is used like a sound one, as its
/// health checks are good.
#[tokio::test]
async fn body_without_end_runner_used_less_than_sound_one() {
    let set = Deployment::new().await.with_plain(2).await;
    let (set, spoilers) = deployment(set, Spoil::EndlessBody).await;
    let send_many = async |prefix: &str| {
        let ids: Vec<String> = (0..8).map(|at| format!("{prefix}-{at}")).collect();
        join_all(ids.iter().map(|id| send(&set, "/board/a", id))).await;
    };
    for round in 0..50 {
        if spoilers[0].spoilt() > 0 {
            break;
        }
        send_many(&format!("first{round}")).await;
    }
    assert!(spoilers[0].spoilt() > 0);
    let (spoilt_before, sound_before) = (spoilers[0].calls().len(), spoilers[1].calls().len());
    for round in 0..10 {
        send_many(&format!("then{round}")).await;
    }
    let spoilt = spoilers[0].calls().len() - spoilt_before;
    let sound = spoilers[1].calls().len() - sound_before;
    assert!(spoilt < sound / 2, "{spoilt} calls, {sound} of the sound runner");
}

/// Guards against answers without end that many calls read at the same time: the process exceeded the
/// memory of its VM.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_process_with_endless_answers_below_limit() {
    for (path, engine) in [("/eggs/a", false), ("/tally/a", true)] {
        let set = Deployment::new().await;
        let set = if engine { set.with_engines(0, 1).await } else { set.with_plain(1).await };
        let endless_body =
            |_| |id: &str| if id.is_empty() { Spoil::None } else { Spoil::EndlessBody };
        let _spoilers = set.spoil(CALLS, endless_body).await;
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
        let ini = format!("{ini}{SMALL_VM}");
        let node = Daemon::serve(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &ini);
        wait_until("the node uses the runner", async || {
            let reply = set.caller.send(addresses[0], &RequestSpec::new(path, "first")).await;
            reply.status == Some(StatusCode::BAD_GATEWAY)
        })
        .await;
        let before = node.usage().rss_kb;
        let ids: Vec<String> = (0..CALLS).map(|at| at.to_string()).collect();
        let specs: Vec<RequestSpec<'_>> = ids.iter().map(|id| RequestSpec::new(path, id)).collect();
        let calls = join_all(specs.iter().map(|spec| set.caller.send(addresses[0], spec)));
        let mut peak = before;
        let sample = async {
            loop {
                peak = peak.max(node.usage().rss_kb);
                sleep(Duration::from_millis(2)).await;
            }
        };
        let replies = tokio::select! {
            replies = calls => replies,
            () = sample => unreachable!("it does not end"),
        };
        println!("{path}: {before} KB before, {peak} KB at most");
        assert!(peak < MAX_PROCESS_KB, "{path}: {peak} KB");
        for (id, reply) in ids.iter().zip(&replies) {
            let status = reply.status.map_or(0, |status| status.as_u16());
            assert!([502, 503, 504].contains(&status), "{path} {id}: {status}");
            assert!(status != 503 || set.run_count(id) == 0, "{path} {id}: {status}");
        }
    }
}
