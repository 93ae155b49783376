//! Requests that crash runners while sound requests are always in progress beside them.
//!
//! Guards against a request that runs without any limit after its third crash because nothing
//! distinguishes it from others, and against others that are refused in its place.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use sardinepick_lib::id::RunnerId;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::{Reply, RequestSpec};
use sardinepick_testutils::fleet::crashing_runner::CrashingRunner;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::{Faults, Trigger};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// How long a crashed runner takes to restart: longer than the attempts that it has broken go on, so
/// that no sound request is answered between two crashes.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// How long a sound request takes: longer than a crashing one needs to crash its runner.
const RESPONSE_DELAY: Duration = Duration::from_millis(80);
/// The crashes after which a request must be stopped, and the trial that may follow them.
const MAX_CRASHES: usize = 3 + 1;
/// The time within which it must be refused.
const MAX_TIME: Duration = Duration::from_secs(30);

fn crashing_body() -> Bytes {
    Bytes::from_static(b"a brief that no engine survives")
}

fn sound_body(n: usize) -> Bytes {
    Bytes::from(format!("sound brief {n}"))
}

fn trigger() -> Trigger {
    Trigger::Body(crashing_body())
}

async fn send(set: &Deployment, node: usize, path: &str, id: &str, body: Bytes) -> Reply {
    let headers: &[(&str, &str)] = if path.starts_with("/count") { &GENERATION } else { &[] };
    let spec = RequestSpec { headers, body, ..RequestSpec::new(path, id) };
    set.send(node, &spec).await
}

/// Waits until the present instance of the only runner is known to all nodes, and slows it down.
async fn prepare_runner(set: &Deployment, runner: &CrashingRunner, faults: Faults) {
    let known = |id: &RunnerId| set.nodes.iter().all(|n| n.shared.register().get(id).is_some());
    wait_until("the runner is known", async || {
        let instances = runner.instances();
        let Some(instance) = instances.last() else { return false };
        instance.set_faults(faults);
        known(&instance.id.parse().expect("valid ID"))
    })
    .await;
}

/// Sends the crashing request and `sound` others at the same moment, again and again, to a service
/// with one runner.
async fn check_tie(stage: Option<&'static str>, path: &str, sound: usize) {
    let mut set = Deployment::new().await;
    set.add_crashing_runners(stage, 1, &trigger(), RESTART_TIME).await;
    let set = set.with_nodes(2).await;
    let runner = set.crashing_runners[0].clone();
    // A stream has begun when its runner crashes, as that of the crashing request has.
    let faults = match stage {
        Some(_) => Faults { stall: Some((1, RESPONSE_DELAY)), ..Faults::default() },
        None => Faults { response_delay: RESPONSE_DELAY, ..Faults::default() },
    };
    let began = Instant::now();
    for round in 0.. {
        assert!(began.elapsed() < MAX_TIME, "the crashing request is not stopped");
        prepare_runner(&set, &runner, faults).await;
        let crashing = async {
            let id = format!("crashing-{round}");
            send(&set, round % 2, path, &id, crashing_body()).await
        };
        let others = (0..sound).map(|n| {
            let (set, id) = (&set, format!("sound-{round}-{n}"));
            async move { send(set, (round + n) % 2, path, &id, sound_body(n)).await }
        });
        let (reply, replies) = tokio::join!(crashing, futures_util::future::join_all(others));
        for reply in replies {
            assert_ne!(reply.status, Some(StatusCode::BAD_REQUEST), "a sound request is refused");
        }
        let crashes = set.crash_count(&trigger());
        assert!(crashes <= MAX_CRASHES, "{crashes} runners crashed");
        if reply.status == Some(StatusCode::BAD_REQUEST) {
            break;
        }
    }
    for n in 0..sound {
        wait_until("a sound request is served", async || {
            prepare_runner(&set, &runner, faults).await;
            let reply = send(&set, n % 2, path, &format!("last-{n}"), sound_body(n)).await;
            reply.status == Some(StatusCode::OK) && reply.complete
        })
        .await;
    }
}

#[tokio::test]
async fn plain_request_tied_with_sound_one_stopped() {
    check_tie(None, "/board/a", 1).await;
}

#[tokio::test]
async fn plain_request_tied_with_many_sound_ones_stopped() {
    check_tie(None, "/board/a", 5).await;
}

#[tokio::test]
async fn stream_tied_with_sound_one_stopped() {
    check_tie(Some("decode"), "/count/a", 1).await;
}

#[tokio::test]
async fn stream_tied_with_many_sound_ones_stopped() {
    check_tie(Some("decode"), "/count/a", 5).await;
}
