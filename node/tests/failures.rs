//! Failures brought about on the whole path, each with what callers and back ends must see.

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

struct Set {
    cluster: Cluster,
    engines: Vec<Engine>,
    plain: PlainService,
    caller: Caller,
}

async fn set(nodes: usize, engines: usize) -> Set {
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
    let mut started = Vec::new();
    for at in 0..engines {
        let address = free_address(own_ip());
        let engine = Engine::start(address, Role::Mixed, Speed::default()).await;
        started.push(engine.expect("a free address"));
        config += &format!(
            "create runner telraad-{at} service = telraad, address = {address}, \
             data_centre = zaal-dom, fencing = checked; "
        );
    }
    config += "commit";
    let cluster = Cluster::start(nodes, &["zaal-dom"], &config).await;
    Set { cluster, engines: started, plain, caller: Caller::new(KEY) }
}

impl Set {
    /// Makes one completion, checks the promises, and gives what the caller saw.
    async fn complete(&self, id: &str) -> Observation {
        let front = self.cluster.front(0);
        let told = self.caller.complete(front, "telraad", id, PROMPT, TOKENS).await;
        let starts = self.engines.iter().map(|e| e.start_count(id)).sum();
        let violation = check_completion(id, PROMPT, TOKENS, &told.observation, starts);
        assert_eq!(violation, None);
        told.observation
    }

    fn all(&self, faults: Faults) {
        for engine in &self.engines {
            engine.set_faults(faults);
        }
    }
}

fn is_whole(seen: &Observation) -> bool {
    matches!(seen, Observation::Answer(text) if *text == expected_output(PROMPT, TOKENS))
}

/// Symptom: an answer stops in the middle. Sequence: the runner breaks the stream off after five
/// tokens. Cause: it died. The answer must go on elsewhere without a gap or a double.
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_goes_on_elsewhere() {
    let set = set(1, 2).await;
    set.engines[0].set_faults(Faults { abort_after: Some(5), ..Faults::default() });
    for n in 0..6 {
        assert!(is_whole(&set.complete(&format!("cut-{n}")).await));
    }
}

/// Symptom: a short answer is taken for a whole one. Sequence: the only runner ends its stream
/// after five tokens without the closing frame, and so do its next attempts. Cause: a crash between
/// two tokens looks like an end. The caller must know that the answer is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_closing_frame_no_success() {
    let set = set(1, 1).await;
    set.all(Faults { end_after: Some(5), ..Faults::default() });
    assert!(matches!(set.complete("short").await, Observation::Truncated));
}

/// Symptom: a caller gets another's answer. Sequence: a runner answers with the events of another
/// request. Cause: it crossed two streams. Nothing of it may reach the caller.
#[tokio::test(flavor = "multi_thread")]
async fn stream_crossed_never_passed_on() {
    let set = set(1, 2).await;
    set.engines[0].set_faults(Faults { answer_other_request: true, ..Faults::default() });
    for n in 0..6 {
        assert!(is_whole(&set.complete(&format!("cross-{n}")).await));
    }
}

/// Symptom: a caller waits to its deadline. Sequence: a runner takes connections and answers
/// nothing. Cause: it hangs. The request must be answered by another within the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn runner_hangs_another_answers() {
    let set = set(1, 2).await;
    set.engines[0].set_faults(Faults { hang: true, ..Faults::default() });
    for n in 0..2 {
        assert!(is_whole(&set.complete(&format!("hang-{n}")).await));
    }
}

/// Symptom: a refusal says not run, and it has run. Sequence: all runners refuse unstarted; then
/// all break off. Cause: a refusal that is decided by where the error was seen. The first must say
/// not run, the second must not.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_true() {
    let set = set(1, 2).await;
    set.all(Faults { refuse: true, ..Faults::default() });
    assert!(matches!(set.complete("refused").await, Observation::RefusedNotRun));
    tokio::time::sleep(Duration::from_secs(1)).await;
    set.all(Faults { abort_after: Some(0), ..Faults::default() });
    assert!(matches!(
        set.complete("broken").await,
        Observation::RefusedUnknown | Observation::Truncated
    ));
}

/// Symptom: work goes to a runner that leaves. Sequence: a runner refuses as one that leaves.
/// Cause: lists of the platform lag. Its own word must be enough, and cost the caller nothing.
#[tokio::test(flavor = "multi_thread")]
async fn runner_leaving_by_its_own_word() {
    let set = set(1, 2).await;
    set.engines[0].set_faults(Faults { leaving: true, ..Faults::default() });
    for n in 0..4 {
        assert!(is_whole(&set.complete(&format!("leave-{n}")).await));
    }
}

/// Symptom: an engine works for a caller that has gone. Sequence: a caller hangs up in the middle
/// of a long answer. Cause: the hang-up is not passed on.
#[tokio::test(flavor = "multi_thread")]
async fn caller_hangs_up_engine_freed() {
    let set = set(1, 1).await;
    let caller = set.caller.clone();
    let front = set.cluster.front(0);
    let call =
        tokio::spawn(async move { caller.complete(front, "telraad", "gone", PROMPT, 2_000).await });
    wait_until("the engine works", || async { set.engines[0].running() == 1 }).await;
    call.abort();
    wait_until("the engine is free", || async { set.engines[0].running() == 0 }).await;
}

/// Symptom: callers see their answers cut when an operator re-roles an engine. Sequence: many
/// streams are under way, the engine is ordered to another role and drops what it has. Cause: the
/// order did not wait for the engine to become empty.
#[tokio::test(flavor = "multi_thread")]
async fn role_change_cuts_no_stream() {
    let set = set(2, 2).await;
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..30 {
        let (caller, front) = (set.caller.clone(), set.cluster.front(n % 2));
        calls.spawn(async move {
            caller.complete(front, "telraad", &format!("role-{n}"), PROMPT, 400).await.observation
        });
    }
    wait_until("the engine works", || async { set.engines[0].running() > 4 }).await;
    set.cluster.change("set runner telraad-0 role = decode").await;
    while let Some(seen) = calls.join_next().await {
        let seen = seen.expect("callers do not panic");
        assert!(
            matches!(&seen, Observation::Answer(text) if *text == expected_output(PROMPT, 400)),
            "{seen:?}"
        );
    }
    wait_until("the engine has its role", || async { set.engines[0].role() == Role::Decode }).await;
    let retries = |at: usize| {
        let metrics = &set.cluster.node(at).node.metrics;
        metrics.retries.with_label_values(&["resume"]).get()
    };
    assert_eq!(retries(0) + retries(1), 0, "no stream had to go on elsewhere");
}

/// Symptom: bread is ordered twice. Sequence: the service breaks off after the order took effect;
/// the caller repeats it, to another node. Cause: the lost answer says nothing about the effect.
#[tokio::test(flavor = "multi_thread")]
async fn order_cut_after_effect_never_twice() {
    let set = set(2, 1).await;
    let listing = set.caller.look_up(set.cluster.front(0)).await.expect("a listing");
    set.plain.set_faults(plain::Faults { drop_response: true, ..plain::Faults::default() });
    let mut seen = Vec::new();
    for attempt in 1..=3 {
        let keyed = KeyedAttempt { key: "bread-1", attempt, epoch: listing.epoch };
        let front = set.cluster.front(attempt as usize % 2);
        let told = set.caller.post(front, "ontbijtbord", "bread", Some(&keyed)).await;
        seen.push(told.observation);
        set.plain.set_faults(plain::Faults::default());
    }
    assert_eq!(check_call("bread-1", &seen, set.plain.effect_count("bread")), None);
    assert_eq!(set.plain.effect_count("bread"), 1);
    assert!(seen.iter().all(|s| matches!(s, Observation::RefusedUnknown)), "{seen:?}");
}

/// Symptom: bread is ordered twice. Sequence: an order is answered, every node that may own its key
/// but one is killed, and the caller repeats the order there. Cause: the records died with their
/// owner. The repeat must be answered with the outcome or as unknown, never run.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_repeat_not_run() {
    let mut set = set(3, 1).await;
    let listing = set.caller.look_up(set.cluster.front(0)).await.expect("a listing");
    for n in 0..6 {
        let (key, body) = (format!("k{n}"), format!("bread {n}"));
        let keyed = KeyedAttempt { key: &key, attempt: 1, epoch: listing.epoch };
        let told = set.caller.post(set.cluster.front(0), "ontbijtbord", &body, Some(&keyed)).await;
        assert!(matches!(told.observation, Observation::Answer(_)), "{told:?}");
    }
    for at in 1..3 {
        set.cluster.nodes[at].take().expect("the node runs").kill();
    }
    let mut unknown = 0;
    for n in 0..6 {
        let (key, body) = (format!("k{n}"), format!("bread {n}"));
        let keyed = KeyedAttempt { key: &key, attempt: 2, epoch: listing.epoch };
        let told = set.caller.post(set.cluster.front(0), "ontbijtbord", &body, Some(&keyed)).await;
        unknown += u32::from(matches!(told.observation, Observation::RefusedUnknown));
        assert!(!matches!(told.observation, Observation::RefusedNotRun), "{told:?}");
        assert_eq!(set.plain.effect_count(&body), 1);
    }
    assert!(unknown > 0, "no key had its owner killed, so nothing was shown");
}

/// Symptom: nothing works while the platform is down. Sequence: the platform goes down; callers
/// ask; an operator changes something; a node starts. Cause: the platform has outages. Serving goes
/// on, the change is truly refused, and the node starts from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_serving_goes_on() {
    let set = set(2, 1).await;
    set.cluster.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    assert!(is_whole(&set.complete("down").await));

    let command = "set service telraad priority = high";
    let answer = set.cluster.operator.command(set.cluster.front(0), command).await;
    let (status, value) = answer.expect("the node answers");
    assert_eq!(status.as_u16(), 503, "{value}");

    let mut plan = NodeOptions::new("entry-9", "zaal-dom", set.cluster.platform.address());
    plan.extra = String::new();
    let ini = plan.ini().replace(
        &format!("peer = {}", plan.peer),
        &format!("peer = {}\nseeds = {}", plan.peer, set.cluster.node_options[0].peer),
    );
    let settings = sardinepick_node::settings::Settings::parse("entry-9", &ini);
    let clock = std::sync::Arc::new(sardinepick_node::clock::Boot::default());
    let late = sardinepick_node::run::start(settings.expect("right settings"), clock);
    let late = late.await.expect("free addresses");
    wait_ready(plan.front).await;
    assert_eq!(
        late.node.config.load().generation,
        set.cluster.node(0).node.config.load().generation
    );

    set.cluster.platform.set_faults(platform::Faults::default());
    set.cluster.change(command).await;
}

/// Symptom: a change is applied twice, or reported as failed and is in force. Sequence: the answers
/// to writes are lost after they took effect. Cause: the network. The change must be settled by its
/// identity and be in force once.
#[tokio::test(flavor = "multi_thread")]
async fn change_answer_lost_settled() {
    let set = set(2, 1).await;
    let before = set.cluster.node(0).node.config.load().generation.0;
    // Three chunks and the head are written; every one of the answers is lost in some round.
    for lost in 1..=4 {
        set.cluster
            .platform
            .set_faults(platform::Faults { drop_responses: lost, ..Default::default() });
        let text = format!("set service telraad deadline = {lost}s");
        let answer = set.cluster.operator.command(set.cluster.front(1), &text).await;
        let (status, _) = answer.expect("the node answers");
        if !status.is_success() {
            // A chunk's answer was lost: truly not applied, so the repeat applies it.
            set.cluster.platform.set_faults(platform::Faults::default());
            set.cluster.change(&text).await;
        }
    }
    let after = set.cluster.node(0).node.config.load().generation.0;
    wait_until("both nodes have the last change", || async {
        let of = |at: usize| set.cluster.node(at).node.config.load().generation.0;
        of(0) == before + 4 && of(1) == before + 4
    })
    .await;
    assert!(after <= before + 4);
}

/// Symptom: one operator's change silently undoes another's. Sequence: two operators look, then
/// change the same runner; others change different things. Cause: commands that do not say what
/// they were made for. The conflict is refused with the other's name; the rest lands.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race_conflict_named() {
    let set = set(2, 2).await;
    let base = set.cluster.node(0).node.config.load().generation.0;
    let command = |at: usize, text: &str| {
        let body = serde_json::json!({ "text": text, "base": base }).to_string();
        let operator = set.cluster.operator.clone();
        let front = set.cluster.front(at);
        async move { operator.fetch(front, Method::POST, "/admin/v1/command", &[], body).await }
    };
    let (first, _) = command(0, "drain runner telraad-0").await.expect("an answer");
    assert!(first.is_success());
    let (other, _) = command(1, "drain runner telraad-1").await.expect("an answer");
    assert!(other.is_success(), "an unrelated change must land");
    let (same, body) = command(1, "set runner telraad-0 slots = 5").await.expect("an answer");
    assert_eq!(same.as_u16(), 409);
    assert!(body.contains("runner telraad-0 was changed by bootstrap"), "{body}");
}

/// Symptom: wrong requests bring a node down or are answered without a reason. Sequence: each kind
/// of wrong request. Cause: callers make mistakes. Each is told what is wrong, and where.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_told_what_and_where() {
    let set = set(1, 1).await;
    let front = set.cluster.front(0);
    let long = "x".repeat(2 << 20);
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
        ("/v1/completions", long.as_str(), 413, "more than"),
    ];
    for (path, body, status, says) in cases {
        let answer = set.caller.fetch(front, Method::POST, path, &[], body.to_owned()).await;
        let (got, text) = answer.expect("an answer");
        assert_eq!((got.as_u16(), text.contains(says)), (status, true), "{path}: {text}");
    }
    let stranger = Caller::new("not-a-key");
    let (status, _) =
        stranger.fetch(front, Method::GET, "/v1/models", &[], "").await.expect("an answer");
    assert_eq!(status.as_u16(), 401);
    assert!(is_whole(&set.complete("after").await));
}

/// Symptom: the configuration in force names chunks that are gone. Sequence: a writer looks at the
/// head and is paused; unused chunks are swept; the writer goes on. Cause: its chunks were unused
/// when the sweep looked. The writer's update must be refused, and what is in force stay whole.
#[tokio::test(flavor = "multi_thread")]
async fn sweep_paused_writer_refused_and_live_kept() {
    use sardinepick_node::configuration::{HEAD, read_head};

    let set = set(1, 1).await;
    for seconds in 1..=6 {
        set.cluster.change(&format!("set service telraad deadline = {seconds}s")).await;
    }
    let node = &set.cluster.node(0).node;
    let (looked, head) =
        read_head(node).await.expect("the store answers").expect("there is a head");
    let before = set.cluster.platform.names("chunks/").len();
    let removed = sardinepick_node::sweep::sweep(node, 1).await.expect("the store answers");
    assert!(removed > 0);
    assert_eq!(set.cluster.platform.names("chunks/").len(), before - removed);

    let late = serde_json::to_vec(&head).expect("a head is JSON");
    let refused = node.store.put(HEAD, Some(looked), late.into()).await;
    assert!(refused.is_err(), "the paused writer must begin anew");

    // A node that knows nobody has only the store to read the configuration from.
    let plan = NodeOptions::new("entry-9", "elsewhere", set.cluster.platform.address());
    set.cluster.platform.set_vms(vec![plan.vm()]);
    let late = plan.start().await;
    wait_ready(plan.front).await;
    assert_eq!(late.node.config.load().generation, node.config.load().generation);
    set.cluster.change("set service telraad deadline = 9s").await;
}

/// Symptom: operators see a part of what is under way and take it for all. Sequence: requests run at
/// one node, another is asked; then the first one dies. Cause: only the node asked answers. The sum
/// must be shown, and a node that does not answer named.
#[tokio::test(flavor = "multi_thread")]
async fn show_runners_of_all_nodes() {
    let mut set = set(2, 1).await;
    let (caller, front) = (set.caller.clone(), set.cluster.front(1));
    let call =
        tokio::spawn(
            async move { caller.complete(front, "telraad", "shown", PROMPT, 1_500).await },
        );
    wait_until("the engine works", || async { set.engines[0].running() == 1 }).await;
    let show = "show runners (name, in_flight) where service = telraad";
    let (_, value) =
        set.cluster.operator.command(set.cluster.front(0), show).await.expect("an answer");
    let rows = &value["results"][0]["rows"];
    assert_eq!(rows["rows"], serde_json::json!([["telraad-0", "1"]]), "{value}");
    assert_eq!(rows["missing"], serde_json::json!([]));
    call.abort();
    set.cluster.nodes[1].take().expect("the node runs").kill();
    wait_until("the dead node is named", || async {
        let asked = set.cluster.operator.command(set.cluster.front(0), show).await;
        asked.is_ok_and(|(_, v)| {
            v["results"][0]["rows"]["missing"] == serde_json::json!(["entry-2"])
        })
    })
    .await;
}

/// Symptom: clients that speak HTTP/2 get nothing. Sequence: such a client looks up, streams and
/// calls a plain service. Cause: paths that only one version of HTTP goes through.
#[tokio::test(flavor = "multi_thread")]
async fn http2_cleartext_served() {
    let set = set(1, 1).await;
    let (caller, front) = (Caller::with_http2(KEY), set.cluster.front(0));
    let listing = caller.look_up(front).await.expect("a listing");
    assert!(listing.addresses.contains(&front));
    let told = caller.complete(front, "telraad", "h2", PROMPT, TOKENS).await;
    assert!(is_whole(&told.observation), "{told:?}");
    let told = caller.post(front, "ontbijtbord", "eggs", None).await;
    assert!(matches!(told.observation, Observation::Answer(_)), "{told:?}");
    assert_eq!(set.plain.effect_count("eggs"), 1);
}
