//! End-to-end tests of failures: what clients and back ends must see in each case.

use std::time::Duration;

use http::Method;
use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::{Caller, KeyedAttempt};
use sardinepick_testutils::cluster::{
    Cluster, NodeOptions, free_address, own_ip, wait_ready, wait_until,
};
use sardinepick_testutils::engine::{Engine, Faults, Speed, expected_output};
use sardinepick_testutils::invariant::{Observation, check_call, check_completion};
use sardinepick_testutils::plain::{self, PlainService};
use sardinepick_testutils::platform;

const KEY: &str = "clerk-key";
const TOKENS: u64 = 20;
const PROMPT: &str = "how many eggs for forty rooms?";

struct Fixture {
    cluster: Cluster,
    engines: Vec<Engine>,
    plain: PlainService,
    caller: Caller,
}

async fn start(nodes: usize, engines: usize) -> Fixture {
    let plain = PlainService::start(free_address(own_ip())).await.expect("a free address");
    let key = Digest::of(KEY.as_bytes());
    let mut config = format!(
        "begin; create model telraad-7b version = 3; \
         create service telraad model = telraad-7b, deadline = 8s; \
         create service ontbijtbord form = plain, deadline = 3s; \
         create runner ontbijtbord-1 service = ontbijtbord, address = {}, data_centre = zaal-dom; \
         create account clerk key = {key}, rate = 1000, burst = 1000, concurrency = 100; ",
        plain.address()
    );
    let mut engines_started = Vec::new();
    for at in 0..engines {
        let address = free_address(own_ip());
        let engine = Engine::start(address, Role::Mixed, Speed::default()).await;
        engines_started.push(engine.expect("a free address"));
        config += &format!(
            "create runner telraad-{at} service = telraad, address = {address}, \
             data_centre = zaal-dom, fencing = checked; "
        );
    }
    config += "commit";
    let cluster = Cluster::start(nodes, &["zaal-dom"], &config).await;
    Fixture { cluster, engines: engines_started, plain, caller: Caller::new(KEY) }
}

impl Fixture {
    /// Requests one completion, checks the guarantees and returns what the client saw.
    async fn complete(&self, id: &str) -> Observation {
        let front = self.cluster.front(0);
        let reply = self.caller.complete(front, "telraad", id, PROMPT, TOKENS).await;
        let starts = self.engines.iter().map(|e| e.start_count(id)).sum();
        let violation = check_completion(id, PROMPT, TOKENS, &reply.observation, starts);
        assert_eq!(violation, None);
        reply.observation
    }

    fn set_all_faults(&self, faults: Faults) {
        for engine in &self.engines {
            engine.set_faults(faults);
        }
    }
}

fn is_complete(seen: &Observation) -> bool {
    matches!(seen, Observation::Answer(text) if *text == expected_output(PROMPT, TOKENS))
}

/// A runner that crashes cuts its stream after five tokens. The response must be resumed at another
/// runner without a missing or repeated token.
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_resumed_elsewhere() {
    let fixture = start(1, 2).await;
    fixture.engines[0].set_faults(Faults { abort_after: Some(5), ..Faults::default() });
    for n in 0..6 {
        assert!(is_complete(&fixture.complete(&format!("cut-{n}")).await));
    }
}

/// A runner that crashes between two tokens ends its stream without the closing frame, in every
/// attempt. The client must not take the truncated response for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_closing_frame_no_success() {
    let fixture = start(1, 1).await;
    fixture.set_all_faults(Faults { end_after: Some(5), ..Faults::default() });
    assert!(matches!(fixture.complete("short").await, Observation::Truncated));
}

/// A runner mixes up two streams and responds with the events of another request. None of them may
/// reach the client.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_other_request_not_forwarded() {
    let fixture = start(1, 2).await;
    fixture.engines[0].set_faults(Faults { answer_other_request: true, ..Faults::default() });
    for n in 0..6 {
        assert!(is_complete(&fixture.complete(&format!("cross-{n}")).await));
    }
}

/// A runner hangs: it accepts connections but never responds. Another runner must respond within
/// the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn runner_hangs_another_answers() {
    let fixture = start(1, 2).await;
    fixture.engines[0].set_faults(Faults { hang: true, ..Faults::default() });
    for n in 0..2 {
        assert!(is_complete(&fixture.complete(&format!("hang-{n}")).await));
    }
}

/// A refusal must say "not run" if all runners refused the request before starting it, but not if
/// they broke off afterwards. It would be wrong if it depended only on where the error was
/// detected.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_not_run_only_if_unstarted() {
    let fixture = start(1, 2).await;
    fixture.set_all_faults(Faults { refuse: true, ..Faults::default() });
    assert!(matches!(fixture.complete("refused").await, Observation::RefusedNotRun));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.set_all_faults(Faults { abort_after: Some(0), ..Faults::default() });
    assert!(matches!(
        fixture.complete("broken").await,
        Observation::RefusedUnknown | Observation::Truncated
    ));
}

/// The platform's lists lag behind, so a runner that refuses requests because it is leaving may
/// still be listed. Its refusal must suffice to use another runner, without an error for the
/// client.
#[tokio::test(flavor = "multi_thread")]
async fn runner_refuses_as_leaving_another_answers() {
    let fixture = start(1, 2).await;
    fixture.engines[0].set_faults(Faults { leaving: true, ..Faults::default() });
    for n in 0..4 {
        assert!(is_complete(&fixture.complete(&format!("leave-{n}")).await));
    }
}

/// A client disconnects during a long response. The node must cancel the request at the engine,
/// which would otherwise continue for nobody.
#[tokio::test(flavor = "multi_thread")]
async fn client_disconnects_engine_freed() {
    let fixture = start(1, 1).await;
    let caller = fixture.caller.clone();
    let front = fixture.cluster.front(0);
    let call =
        tokio::spawn(async move { caller.complete(front, "telraad", "gone", PROMPT, 2_000).await });
    wait_until("the engine works", || async { fixture.engines[0].running() == 1 }).await;
    call.abort();
    wait_until("the engine is free", || async { fixture.engines[0].running() == 0 }).await;
}

/// An operator changes the role of an engine with many streams in progress. The order must wait
/// until the engine is idle, since the engine drops its streams on a role change.
#[tokio::test(flavor = "multi_thread")]
async fn role_change_cuts_no_stream() {
    let fixture = start(2, 2).await;
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..30 {
        let (caller, front) = (fixture.caller.clone(), fixture.cluster.front(n % 2));
        calls.spawn(async move {
            caller.complete(front, "telraad", &format!("role-{n}"), PROMPT, 400).await.observation
        });
    }
    wait_until("the engine works", || async { fixture.engines[0].running() > 4 }).await;
    fixture.cluster.change("set runner telraad-0 role = decode").await;
    while let Some(seen) = calls.join_next().await {
        let seen = seen.expect("clients do not panic");
        assert!(
            matches!(&seen, Observation::Answer(text) if *text == expected_output(PROMPT, 400)),
            "{seen:?}"
        );
    }
    wait_until("the engine has its role", || async { fixture.engines[0].role() == Role::Decode })
        .await;
    let retries = |at: usize| {
        let metrics = &fixture.cluster.node(at).node.metrics;
        metrics.retries.with_label_values(&["resume"]).get()
    };
    assert_eq!(retries(0) + retries(1), 0, "no stream had to be resumed elsewhere");
}

/// The service breaks the connection after an order took effect, and the client retries it at
/// another node. The lost response does not show whether it took effect, so the order must not run
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn order_cut_after_effect_not_repeated() {
    let fixture = start(2, 1).await;
    let listing = fixture.caller.look_up(fixture.cluster.front(0)).await.expect("a listing");
    fixture.plain.set_faults(plain::Faults { drop_response: true, ..plain::Faults::default() });
    let mut seen = Vec::new();
    for attempt in 1..=3 {
        let keyed = KeyedAttempt { key: "bread-1", attempt, epoch: listing.epoch };
        let front = fixture.cluster.front(attempt as usize % 2);
        let reply = fixture.caller.post(front, "ontbijtbord", "bread", Some(&keyed)).await;
        seen.push(reply.observation);
        fixture.plain.set_faults(plain::Faults::default());
    }
    assert_eq!(check_call("bread-1", &seen, fixture.plain.effect_count("bread")), None);
    assert_eq!(fixture.plain.effect_count("bread"), 1);
    assert!(seen.iter().all(|s| matches!(s, Observation::RefusedUnknown)), "{seen:?}");
}

/// All nodes but one are killed after an order, and with them the records of the keys that they
/// own. The client retries the order at the last node. It must get the outcome or "unknown", and
/// the order must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_retry_not_run() {
    let mut fixture = start(3, 1).await;
    let listing = fixture.caller.look_up(fixture.cluster.front(0)).await.expect("a listing");
    for n in 0..6 {
        let (key, body) = (format!("k{n}"), format!("bread {n}"));
        let keyed = KeyedAttempt { key: &key, attempt: 1, epoch: listing.epoch };
        let reply =
            fixture.caller.post(fixture.cluster.front(0), "ontbijtbord", &body, Some(&keyed)).await;
        assert!(matches!(reply.observation, Observation::Answer(_)), "{reply:?}");
    }
    for at in 1..3 {
        fixture.cluster.nodes[at].take().expect("the node runs").kill();
    }
    let mut unknown = 0;
    for n in 0..6 {
        let (key, body) = (format!("k{n}"), format!("bread {n}"));
        let keyed = KeyedAttempt { key: &key, attempt: 2, epoch: listing.epoch };
        let reply =
            fixture.caller.post(fixture.cluster.front(0), "ontbijtbord", &body, Some(&keyed)).await;
        unknown += u32::from(matches!(reply.observation, Observation::RefusedUnknown));
        assert!(!matches!(reply.observation, Observation::RefusedNotRun), "{reply:?}");
        assert_eq!(fixture.plain.effect_count(&body), 1);
    }
    assert!(unknown > 0, "the owner of at least one key must have been killed");
}

/// During an outage of the platform, nodes must continue to serve, a configuration change must be
/// refused without effect, and a new node must start with the configuration of its peers.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_serving_continues() {
    let fixture = start(2, 1).await;
    fixture.cluster.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    assert!(is_complete(&fixture.complete("down").await));

    let command = "set service telraad priority = high";
    let answer = fixture.cluster.operator.command(fixture.cluster.front(0), command).await;
    let (status, value) = answer.expect("the node answers");
    assert_eq!(status.as_u16(), 503, "{value}");

    let mut plan = NodeOptions::new("entry-9", "zaal-dom", fixture.cluster.platform.address());
    plan.extra = String::new();
    let ini = plan.ini().replace(
        &format!("peer = {}", plan.peer),
        &format!("peer = {}\nseeds = {}", plan.peer, fixture.cluster.node_options[0].peer),
    );
    let settings = sardinepick_node::settings::Settings::parse("entry-9", &ini);
    let clock = std::sync::Arc::new(sardinepick_node::clock::BootClock::default());
    let late = sardinepick_node::run::start(settings.expect("right settings"), clock);
    let late = late.await.expect("free addresses");
    wait_ready(plan.front).await;
    assert_eq!(
        late.node.config.load().generation,
        fixture.cluster.node(0).node.config.load().generation
    );

    fixture.cluster.platform.set_faults(platform::Faults::default());
    fixture.cluster.change(command).await;
}

/// Responses to writes are lost on the network after the writes took effect. The outcome must be
/// determined by the ID of the change: it must not be applied twice, or reported as failed although
/// it is in force.
#[tokio::test(flavor = "multi_thread")]
async fn change_response_lost_resolved() {
    let fixture = start(2, 1).await;
    let before = fixture.cluster.node(0).node.config.load().generation.0;
    // Three chunks and the head are written; each of these responses is lost in one round.
    for lost in 1..=4 {
        fixture
            .cluster
            .platform
            .set_faults(platform::Faults { drop_responses: lost, ..Default::default() });
        let text = format!("set service telraad deadline = {lost}s");
        let answer = fixture.cluster.operator.command(fixture.cluster.front(1), &text).await;
        let (status, _) = answer.expect("the node answers");
        if !status.is_success() {
            // The response to a chunk was lost, so the change was not applied and is repeated.
            fixture.cluster.platform.set_faults(platform::Faults::default());
            fixture.cluster.change(&text).await;
        }
    }
    let after = fixture.cluster.node(0).node.config.load().generation.0;
    wait_until("both nodes have the last change", || async {
        let of = |at: usize| fixture.cluster.node(at).node.config.load().generation.0;
        of(0) == before + 4 && of(1) == before + 4
    })
    .await;
    assert!(after <= before + 4);
}

/// Two operators change the same runner based on the same generation. The second change would
/// silently undo the first, so it must be refused and name the other operator. Changes of different
/// objects must succeed.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race_conflict_named() {
    let fixture = start(2, 2).await;
    let base = fixture.cluster.node(0).node.config.load().generation.0;
    let command = |at: usize, text: &str| {
        let body = serde_json::json!({ "text": text, "base": base }).to_string();
        let operator = fixture.cluster.operator.clone();
        let front = fixture.cluster.front(at);
        async move { operator.fetch(front, Method::POST, "/admin/v1/command", &[], body).await }
    };
    let (first, _) = command(0, "drain runner telraad-0").await.expect("an answer");
    assert!(first.is_success());
    let (other, _) = command(1, "drain runner telraad-1").await.expect("an answer");
    assert!(other.is_success(), "an unrelated change must succeed");
    let (same, body) = command(1, "set runner telraad-0 slots = 5").await.expect("an answer");
    assert_eq!(same.as_u16(), 409);
    assert!(body.contains("runner telraad-0 was changed by bootstrap"), "{body}");
}

/// Each kind of invalid request must get an error that says what is wrong and where, and must not
/// affect the node.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_error_names_cause() {
    let fixture = start(1, 1).await;
    let front = fixture.cluster.front(0);
    let oversized = "x".repeat(2 << 20);
    let cases = [
        ("/v1/completions", "{", 400, "the body"),
        ("/v1/completions", r#"{"model":"nope","prompt":"a"}"#, 404, "no model nope"),
        ("/v1/completions", r#"{"model":"telraad","prompt":""}"#, 400, "prompt"),
        (
            "/v1/completions",
            r#"{"model":"telraad","prompt":"a","max_tokens":0}"#,
            400,
            "max_tokens",
        ),
        ("/v1/chat/completions", r#"{"model":"telraad","messages":[]}"#, 400, "messages"),
        ("/services/nope/x", "", 404, "no plain service"),
        ("/v1/completions", oversized.as_str(), 413, "more than"),
    ];
    for (path, body, status, says) in cases {
        let answer = fixture.caller.fetch(front, Method::POST, path, &[], body.to_owned()).await;
        let (got, text) = answer.expect("an answer");
        assert_eq!((got.as_u16(), text.contains(says)), (status, true), "{path}: {text}");
    }
    let stranger = Caller::new("not-a-key");
    let (status, _) =
        stranger.fetch(front, Method::GET, "/v1/models", &[], "").await.expect("an answer");
    assert_eq!(status.as_u16(), 401);
    assert!(is_complete(&fixture.complete("after").await));
}

/// A writer is paused after it has read the head, and a sweep deletes chunks that are unused at
/// that time. The writer's update must then be refused, since its head would refer to deleted
/// chunks, and the configuration in force must stay complete.
#[tokio::test(flavor = "multi_thread")]
async fn sweep_paused_writer_refused_live_chunks_kept() {
    use sardinepick_node::configuration::{HEAD, read_head};

    let fixture = start(1, 1).await;
    for seconds in 1..=6 {
        fixture.cluster.change(&format!("set service telraad deadline = {seconds}s")).await;
    }
    let node = &fixture.cluster.node(0).node;
    let (revision, head) =
        read_head(node).await.expect("the store answers").expect("there is a head");
    let before = fixture.cluster.platform.names("chunks/").len();
    let removed = sardinepick_node::sweep::sweep(node, 1).await.expect("the store answers");
    assert!(removed > 0);
    assert_eq!(fixture.cluster.platform.names("chunks/").len(), before - removed);

    let late = serde_json::to_vec(&head).expect("a head is JSON");
    let refused = node.store.put(HEAD, Some(revision), late.into()).await;
    assert!(refused.is_err(), "the paused writer must start over");

    // A node without peers can only read the configuration from the store.
    let plan = NodeOptions::new("entry-9", "elsewhere", fixture.cluster.platform.address());
    fixture.cluster.platform.set_vms(vec![plan.vm()]);
    let late = plan.start().await;
    wait_ready(plan.front).await;
    assert_eq!(late.node.config.load().generation, node.config.load().generation);
    fixture.cluster.change("set service telraad deadline = 9s").await;
}

/// An operator queries one node about requests in progress at another. The result must include all
/// nodes and name those that do not respond, so that a partial count is not taken for the total.
#[tokio::test(flavor = "multi_thread")]
async fn show_runners_of_all_nodes() {
    let mut fixture = start(2, 1).await;
    let (caller, front) = (fixture.caller.clone(), fixture.cluster.front(1));
    let call =
        tokio::spawn(
            async move { caller.complete(front, "telraad", "shown", PROMPT, 1_500).await },
        );
    wait_until("the engine works", || async { fixture.engines[0].running() == 1 }).await;
    let show = "show runners (name, in_flight) where service = telraad";
    let (_, value) =
        fixture.cluster.operator.command(fixture.cluster.front(0), show).await.expect("an answer");
    let rows = &value["results"][0]["rows"];
    assert_eq!(rows["rows"], serde_json::json!([["telraad-0", "1"]]), "{value}");
    assert_eq!(rows["missing"], serde_json::json!([]));
    call.abort();
    fixture.cluster.nodes[1].take().expect("the node runs").kill();
    wait_until("the dead node is named", || async {
        let asked = fixture.cluster.operator.command(fixture.cluster.front(0), show).await;
        asked.is_ok_and(|(_, v)| {
            v["results"][0]["rows"]["missing"] == serde_json::json!(["entry-2"])
        })
    })
    .await;
}

/// A client that uses HTTP/2 without TLS must be able to look up addresses, stream completions and
/// call plain services, in case some code path works with one HTTP version only.
#[tokio::test(flavor = "multi_thread")]
async fn http2_cleartext_served() {
    let fixture = start(1, 1).await;
    let (caller, front) = (Caller::with_http2(KEY), fixture.cluster.front(0));
    let listing = caller.look_up(front).await.expect("a listing");
    assert!(listing.addresses.contains(&front));
    let reply = caller.complete(front, "telraad", "h2", PROMPT, TOKENS).await;
    assert!(is_complete(&reply.observation), "{reply:?}");
    let reply = caller.post(front, "ontbijtbord", "eggs", None).await;
    assert!(matches!(reply.observation, Observation::Answer(_)), "{reply:?}");
    assert_eq!(fixture.plain.effect_count("eggs"), 1);
}
