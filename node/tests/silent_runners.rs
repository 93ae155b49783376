//! Sound runners that fall silent for a time and go on: their requests still get complete answers.

use std::time::Duration;

use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{DEFAULT_BUDGET, Deployment, configuration};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner, event};
use tokio::task::JoinSet;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(10);
const SILENCES: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_000), Duration::from_millis(1_500)];
const PATHS: [&str; 4] = ["/board/a", "/eggs/a", "/count/a", "/tally/a"];
const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
const EVENTS: u64 = 12;
/// How long a request is at its runner before that falls silent: streams have begun then.
const WORK: Duration = Duration::from_millis(250);
const NO_BUDGET: Bounds = Bounds { ratio: 0.0, allowance: 0.0, window: Duration::from_millis(200) };

/// One node with `runners` runners for each kind of request, which work longer than [`WORK`].
async fn deployment(budget: Bounds, runners: usize) -> Deployment {
    let set = Deployment::new().await.with_budget(budget).with_plain(runners).await;
    let set = set.with_engines(0, runners).await.with_nodes(1).await;
    for runner in &set.runners {
        let response_delay = if runner.is_engine() { WORK / 5 } else { WORK * 2 };
        let event_interval = WORK / 5;
        runner.set_faults(Faults { response_delay, event_interval, ..Faults::default() });
    }
    set
}

fn request<'a>(path: &'a str, id: &'a str) -> RawRequest<'a> {
    let is_generation = path.starts_with("/count") || path.starts_with("/tally");
    let headers: &[_] = if is_generation { &GENERATION } else { &[] };
    RawRequest { headers, ..RawRequest::new(path, id) }
}

fn assert_answered(reply: &RawReply, path: &str, id: &str, what: &str) {
    let expected = match path {
        "/board/a" | "/eggs/a" => format!("answer to {id}"),
        _ => (1..=EVENTS).map(event).collect(),
    };
    assert!(
        reply.is_complete() && reply.status == 200,
        "{path} {what}: {:?} with status {}, body {:?}",
        reply.end,
        reply.status,
        reply.text()
    );
    assert_eq!(reply.text(), expected, "{path} {what}");
}

/// Which runners fall silent, and when.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// The one that works on the request.
    Working,
    /// All, before the request is sent.
    Before,
}

/// Sends one request of each kind to a deployment of its own and for each silence, and checks its
/// response.
async fn assert_silence_survived(
    budget: Bounds,
    runners: usize,
    turn: Turn,
    timeout_ms: Option<u64>,
) {
    for silence in SILENCES {
        let mut tasks = JoinSet::new();
        for path in PATHS {
            tasks.spawn(async move {
                let set = deployment(budget, runners).await;
                check(&set, path, silence, turn, timeout_ms).await;
            });
        }
        tasks.join_all().await;
    }
}

async fn check(
    set: &Deployment,
    path: &str,
    silence: Duration,
    turn: Turn,
    timeout_ms: Option<u64>,
) {
    let mut caller = RawCaller::connect(set.front(0)).await;
    let reply = caller.send(&request(path, "first"), LIMIT).await;
    assert_answered(&reply, path, "first", "before the silence");
    match turn {
        Turn::Before => set.runners.iter().for_each(|runner| runner.fall_silent(silence)),
        Turn::Working => {}
    }
    assert!(caller.write(&request(path, "r1").bytes()).await);
    match turn {
        Turn::Before => {}
        Turn::Working => {
            let is_working = |runner: &&Runner| runner.running() > 0;
            wait_until("a runner works", async || set.runners.iter().any(|r| is_working(&r))).await;
            sleep(WORK).await;
            set.runners.iter().filter(is_working).for_each(|runner| runner.fall_silent(silence));
        }
    }
    if let Some(timeout_ms) = timeout_ms {
        let mut config = configuration(2);
        for route in config["routes"].as_array_mut().expect("it has routes") {
            route["timeoutMs"] = timeout_ms.into();
        }
        set.store.put("config", "main", &config);
    }
    let reply = caller.read_reply(LIMIT).await;
    let ran = set.run_count("r1");
    assert_answered(&reply, path, "r1", &format!("after {silence:?} ({turn:?}), {ran} runs"));
    if matches!(path, "/eggs/a" | "/tally/a") {
        assert_eq!(ran, 1, "{path}");
    }
}

/// Guards against a request that gets no answer because its sound runner was silent for a time.
#[tokio::test(flavor = "multi_thread")]
async fn silent_runner_with_others_request_answered() {
    assert_silence_survived(DEFAULT_BUDGET, 2, Turn::Working, None).await;
}

/// Guards against a request that is given up at the only runner because that was silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_runner_alone_request_answered() {
    assert_silence_survived(DEFAULT_BUDGET, 1, Turn::Working, None).await;
}

/// Guards against a request that is given up at a silent runner although the retry budget allows no
/// other.
#[tokio::test(flavor = "multi_thread")]
async fn silent_runner_without_budget_request_answered() {
    assert_silence_survived(NO_BUDGET, 2, Turn::Working, None).await;
}

/// Guards against a request that is refused or cut because it is sent to a runner that is silent.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_silent_runner_without_budget_answered() {
    assert_silence_survived(NO_BUDGET, 2, Turn::Before, None).await;
}

/// Guards against a request to the only runner that is refused or cut because that is silent.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_silent_runner_alone_answered() {
    assert_silence_survived(DEFAULT_BUDGET, 1, Turn::Before, None).await;
}

/// Guards against a request in progress that a configuration with a longer timeout ends.
#[tokio::test(flavor = "multi_thread")]
async fn silent_runner_and_longer_timeout_request_answered() {
    assert_silence_survived(DEFAULT_BUDGET, 2, Turn::Working, Some(6_000)).await;
}

/// Guards against a request in progress that a configuration with a shorter timeout ends.
#[tokio::test(flavor = "multi_thread")]
async fn silent_runner_and_shorter_timeout_request_answered() {
    assert_silence_survived(DEFAULT_BUDGET, 2, Turn::Working, Some(1_000)).await;
}
