//! The whole path on the platform's protocol: a store, runners, nodes and callers.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use sardinepick_lib::history::{Era, Point};
use sardinepick_testutils::cluster::{own_ip, wait_until};
use sardinepick_testutils::fleet::caller::Ask;
use sardinepick_testutils::fleet::deployment::{Deployment, MODEL, configuration};
use sardinepick_testutils::fleet::runner::{Faults, Kind, Runner, event};
use sardinepick_testutils::fleet::store::Fault;

fn whole_stream(events: u64) -> String {
    (1..=events).map(event).collect()
}

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

fn generation<'a>(path: &'a str, id: &'a str) -> Ask<'a> {
    Ask { headers: &GENERATION, ..Ask::new(path, id) }
}

#[tokio::test]
async fn plain_request_whole_answer() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let told = set.ask("/board/today?room=4", "r1").await;
    assert_eq!(told.status, Some(StatusCode::OK));
    assert_eq!(told.text(), "answer to r1");
    assert!(told.whole && told.header("response-signature").is_some());
    let seen = set.runners.iter().flat_map(Runner::seen).find(|s| s.id == "r1").expect("it ran");
    assert_eq!((seen.path.as_str(), &seen.body[..]), ("/board/today?room=4", &b"a brief"[..]));
}

/// Symptom: a runner goes on from another request's memory, or obeys a caller. Sequence: a caller
/// sends headers that only the system may set. Cause: they were passed on as they came.
#[tokio::test]
async fn plain_request_forged_headers_dropped() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let headers = [
        ("kv-source", "10.0.0.1:1/h1"),
        ("kv-hold", "h"),
        ("pin-ms", "100"),
        ("stage", "prefill"),
        ("request-priority", "0"),
        ("expect-instance", "another"),
        ("connection", "request-id, x-mine"),
        ("x-mine", "1"),
        ("x-kept", "2"),
    ];
    let told = set.send(0, &Ask { headers: &headers, ..Ask::new("/board/a", "r1") }).await;
    assert_eq!(told.status, Some(StatusCode::OK));
    let seen = &set.runners[0].seen()[0];
    for name in ["kv-source", "kv-hold", "pin-ms", "stage", "request-priority", "x-mine"] {
        assert!(!seen.headers.contains_key(name), "{name} was passed on");
    }
    assert_eq!(seen.headers["expect-instance"], set.runners[0].id.as_str());
    assert_eq!((&seen.headers["x-kept"], seen.id.as_str()), (&"2".parse().unwrap(), "r1"));
    let left: u64 = seen.headers["deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(left <= 3_000, "a runner was given {left} ms");
}

#[tokio::test]
async fn route_unknown_no_route() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    assert_eq!(set.ask("/nowhere/", "r1").await.status, Some(StatusCode::NOT_FOUND));
    let other = Ask { host: "other.example", ..Ask::new("/board/a", "r2") };
    assert_eq!(set.send(0, &other).await.status, Some(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn body_too_large_refused() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let ask = Ask { body: Bytes::from(vec![7; 65_537]), ..Ask::new("/board/a", "r1") };
    assert_eq!(set.send(0, &ask).await.status, Some(StatusCode::PAYLOAD_TOO_LARGE));
    assert_eq!(set.ran("r1"), 0);
}

/// Symptom: a node that has just started answers 404 for a route that is there. Cause: it knew no
/// configuration and did not say so.
#[tokio::test]
async fn no_configuration_not_run() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.set_fault(Fault::Busy);
    set.add_node("edge-0", Vec::new()).await;
    let told = set.ask("/board/a", "r1").await;
    assert_eq!(told.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(told.header("retry-after").is_some());
    set.store.set_fault(Fault::None);
    set.wait_ready().await;
    assert_eq!(set.ask("/board/a", "r2").await.status, Some(StatusCode::OK));
}

/// Symptom: an order is placed twice. Sequence: the runner runs the request and its answer is lost;
/// the node sends it to another. Cause: a lost answer was taken for a request that did not run.
#[tokio::test]
async fn non_idempotent_answer_lost_never_again() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { loses_answers: true, ..Faults::default() });
    }
    for n in 0..8 {
        let id = format!("egg-{n}");
        let told = set.ask("/eggs/order", &id).await;
        assert_eq!(told.status, Some(StatusCode::BAD_GATEWAY), "what may have run is not denied");
        assert_eq!(set.ran(&id), 1);
    }
}

#[tokio::test]
async fn non_idempotent_shed_goes_elsewhere() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { sheds: true, ..Faults::default() });
    for n in 0..6 {
        let id = format!("egg-{n}");
        let told = set.ask("/eggs/order", &id).await;
        assert_eq!((told.status, set.ran(&id)), (Some(StatusCode::OK), 1));
    }
}

#[tokio::test]
async fn non_idempotent_all_shed_not_run() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { sheds: true, ..Faults::default() });
    }
    let told = set.ask("/eggs/order", "egg").await;
    assert_eq!(told.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(told.header("retry-after").is_some());
    assert_eq!(set.ran("egg"), 0);
}

#[tokio::test]
async fn idempotent_answer_lost_goes_elsewhere() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { loses_answers: true, ..Faults::default() });
    for n in 0..6 {
        let told = set.ask("/board/a", &format!("r{n}")).await;
        assert_eq!(told.status, Some(StatusCode::OK));
    }
}

/// Symptom: a caller waits to its deadline. Sequence: a runner takes a request and says nothing;
/// another would have answered. Cause: a silent runner was waited for like a slow one.
#[tokio::test]
async fn idempotent_runner_hangs_goes_elsewhere() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { hangs: true, ..Faults::default() });
    for n in 0..4 {
        let told = set.ask("/board/a", &format!("r{n}")).await;
        assert_eq!(told.status, Some(StatusCode::OK));
    }
}

/// Symptom: a caller gets the answer to another's request. Sequence: a runner's extra answer stands
/// where the next one is due. Cause: answers were matched by their order on the connection.
#[tokio::test]
async fn answer_crossed_never_passed_on() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { crosses: true, ..Faults::default() });
    let told = set.ask("/eggs/order", "egg").await;
    assert_eq!(told.status, Some(StatusCode::BAD_GATEWAY));
    assert!(told.header("response-signature").is_none());
}

#[tokio::test]
async fn runner_failure_passed_on_signed() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { fails: true, ..Faults::default() });
    let told = set.ask("/eggs/order", "egg").await;
    assert_eq!(told.status, Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert_eq!((told.text().as_str(), told.whole), ("failed", true));
    assert!(told.header("response-signature").is_some());
}

#[tokio::test]
async fn stream_split_whole_answer() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    let told = set.send(0, &generation("/count/a", "s1")).await;
    assert_eq!(told.status, Some(StatusCode::OK));
    assert_eq!((told.text(), told.whole), (whole_stream(12), true));
    let (prefill, decode) = (&set.runners[0], &set.runners[1]);
    assert_eq!((prefill.seen().len(), prefill.ran("s1"), decode.ran("s1")), (1, 0, 1));
    let source = decode.seen()[0].headers["kv-source"].to_str().unwrap().to_owned();
    assert_eq!(source, format!("{}/h1", prefill.address()));
}

/// Symptom: an answer stops in the middle, or an event comes twice or in two pieces. Sequence: the
/// runner breaks its stream off within an event. Cause: it died. The answer goes on elsewhere, at
/// the event after the last whole one, under the head of the first runner.
#[tokio::test]
async fn stream_cut_goes_on_elsewhere() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let broken = &set.runners[1];
    broken.set_faults(Faults { cut_after: Some(5), ..Faults::default() });
    set.runners[2].set_faults(Faults { cut_after: Some(5), ..Faults::default() });
    let told = set.send(0, &generation("/count/a", "s1")).await;
    assert_eq!((told.text(), told.whole), (whole_stream(5), false), "both broke off");
    set.runners[2].set_faults(Faults::default());
    for n in 0..4 {
        let id = format!("t{n}");
        let told = set.send(0, &generation("/count/a", &id)).await;
        assert_eq!((told.text(), told.whole), (whole_stream(12), true));
    }
}

/// Symptom: a tally runs twice. Sequence: its stream breaks off; the route does not allow it to go
/// on elsewhere. Cause: it was treated like one that may. The caller must see that it is not whole.
#[tokio::test]
async fn stream_cut_not_resumable_not_whole() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { cut_after: Some(3), ..Faults::default() });
    }
    let told = set.send(0, &generation("/tally/a", "s1")).await;
    assert_eq!((told.text(), told.whole, set.ran("s1")), (whole_stream(3), false, 1));
}

/// Symptom: a runner works on for nobody. Sequence: a caller closes its connection in the middle of
/// a stream. Cause: the node did not pass the close on.
#[tokio::test]
async fn stream_caller_leaves_runner_stops() {
    let set = Deployment::new().await.with_engines(0, 1).await.with_nodes(1).await;
    let pause = Duration::from_millis(100);
    set.runners[0].set_faults(Faults { pause, ..Faults::default() });
    let ask = generation("/count/a", "s1");
    let sent = tokio::time::timeout(pause * 3, set.send(0, &ask)).await;
    assert!(sent.is_err(), "the stream lasts longer than the caller stays");
    wait_until("the runner has stopped", async || set.runners[0].running() == 0).await;
}

/// Symptom: a prompt's memory is held for nobody. Sequence: a prompt is read, and no runner can go
/// on from it. Cause: the KV cache was left to lapse.
#[tokio::test]
async fn stream_no_decode_handle_freed() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    set.runners[1].set_faults(Faults { sheds: true, ..Faults::default() });
    let told = set.send(0, &generation("/tally/a", "s1")).await;
    assert_eq!((told.status, set.ran("s1")), (Some(StatusCode::SERVICE_UNAVAILABLE), 0));
    wait_until("the cache is freed", async || set.runners[0].handles().0 == 0).await;
    assert!(set.runners[0].handles().1 >= 1);
}

/// Symptom: a leaving runner gets work seconds after it said so. Sequence: it writes that it drains;
/// the node's watch brings it. The same for one whose entry just goes.
#[tokio::test]
async fn runner_leaves_no_new_work() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(1).await;
    set.runners[0].drain();
    set.store.remove("servers", &set.runners[1].id);
    let shared = &set.nodes[0].shared;
    wait_until("the node knows", async || {
        let now = shared.clock.now();
        shared.register().runners().filter(|r| r.takes_work(now)).count() == 1
    })
    .await;
    for n in 0..6 {
        let id = format!("r{n}");
        set.ask("/board/a", &id).await;
        assert_eq!(set.runners[2].ran(&id), 1);
    }
}

/// Symptom: a runner leaves while a prompt is read elsewhere, and the stream begins at it after its
/// time. Cause: the runner that goes on was chosen before the prompt was read.
#[tokio::test]
async fn stream_decode_leaves_while_read_chosen_anew() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { takes: Duration::from_millis(300), ..Faults::default() });
    let leave = async {
        wait_until("the prompt is being read", async || set.runners[0].running() == 1).await;
        set.runners[1].drain();
    };
    let ask = generation("/count/a", "s1");
    let (told, ()) = tokio::join!(set.send(0, &ask), leave);
    assert_eq!((told.text(), set.runners[1].ran("s1")), (whole_stream(12), 0));
}

/// Symptom: another service's runner runs a request. Sequence: a runner dies and its address goes to
/// another. The node names the life that it means, and the new one refuses.
#[tokio::test]
async fn address_reused_not_run_there() {
    let mut set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let (old, address) = (set.runners[0].clone(), set.runners[0].address());
    old.kill();
    wait_until("the address is free again", async || std::net::TcpListener::bind(address).is_ok())
        .await;
    let kind = Kind {
        service: MODEL.to_owned(),
        data_centre: "zaal-dom".to_owned(),
        stage: Some("decode"),
        events: 1,
    };
    let new =
        Runner::start("i-new", address, kind, &set.store).await.expect("the address is free again");
    set.runners.push(new);
    for n in 0..6 {
        let id = format!("egg-{n}");
        let told = set.ask("/eggs/order", &id).await;
        assert_eq!((told.status, set.runners[1].ran(&id)), (Some(StatusCode::OK), 1));
    }
    assert!(set.runners[2].seen().is_empty());
}

/// Symptom: a configuration is in force on some nodes only. Sequence: the store turns one node away
/// while it serves another. The node learns from the one that is served.
#[tokio::test]
async fn store_away_learns_from_nodes() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.set_fault(Fault::Busy);
    let seed = set.nodes[0].shared.me.peer;
    set.add_node("edge-1", vec![seed]).await;
    set.wait_ready().await;
    assert_eq!(set.send(1, &Ask::new("/board/a", "r1")).await.status, Some(StatusCode::OK));
}

/// Symptom: all runners are dropped when the store comes back. Sequence: their entries lapsed while
/// it heard nobody. They are kept while they may still be on their way back, and one that is not
/// back then is gone.
#[tokio::test]
async fn store_returns_lapsed_runners_kept() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    set.store.set_fault(Fault::Reset);
    wait_until("the node has lost the store", async || {
        shared.outage().doubt(shared.clock.now()).is_some()
    })
    .await;
    for runner in &set.runners {
        set.store.remove("servers", &runner.id);
    }
    set.store.set_fault(Fault::None);
    wait_until("the node sees it", async || {
        shared.register_replica().entries() == 2
            && shared.register().expire(shared.clock.now()).is_empty()
    })
    .await;
    assert_eq!(set.ask("/board/a", "r1").await.status, Some(StatusCode::OK));
    set.runners[0].write_entry();
    wait_until("one is gone", async || shared.register().runners().count() == 1).await;
    assert!(shared.register().runners().all(|r| r.entry.id.as_str() == set.runners[0].id));
}

/// Symptom: the configuration goes back. Sequence: an older version comes after a newer one, as from
/// a node that is behind.
#[tokio::test]
async fn configuration_older_not_taken() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.put("config", "main", &configuration(7));
    let shared = &set.nodes[0].shared;
    let version = || shared.configuration.load().as_ref().map(|c| c.version.0);
    wait_until("version 7 is in force", async || version() == Some(7)).await;
    let seen = shared.metrics.store_calls.with_label_values(&["configuration_watch", "answered"]);
    let before = seen.get();
    set.store.put("config", "main", &configuration(6));
    wait_until("the older one was seen", async || seen.get() > before).await;
    assert_eq!(version(), Some(7));
}

#[tokio::test]
async fn store_forgets_history_read_anew() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.put("config", "main", &configuration(3));
    set.store.compact();
    let shared = &set.nodes[0].shared;
    let version = || shared.configuration.load().as_ref().map(|c| c.version.0);
    wait_until("version 3 is in force", async || version() == Some(3)).await;
}

/// Symptom: a request is cut by a planned stop. Sequence: the node gets the signal while a stream is
/// under way and another caller still comes.
#[tokio::test]
async fn stop_under_way_finished() {
    let mut set =
        Deployment::new().await.with_engines(0, 1).await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_faults(Faults { pause: Duration::from_millis(60), ..Faults::default() });
    let node = set.nodes.remove(0);
    let front = node.shared.me.front;
    let caller = set.caller.clone();
    let stream =
        tokio::spawn(async move { caller.send(front, &generation("/count/a", "s1")).await });
    wait_until("the stream runs", async || set.runners[0].running() == 1).await;
    let other = set.nodes[0].shared.clone();
    let stop = tokio::spawn(node.stop());
    wait_until("the other node knows", async || other.roster().ready_contacts().is_empty()).await;
    let late = set.caller.send(front, &Ask::new("/board/a", "r1")).await;
    assert_eq!(late.status, Some(StatusCode::OK), "a caller with an old answer is served");
    let told = stream.await.expect("the caller does not panic");
    assert_eq!((told.text(), told.whole), (whole_stream(12), true));
    assert_eq!(stop.await.expect("the stop does not panic"), 0);
}

#[tokio::test]
async fn lookup_all_ready_nodes() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(3).await;
    let lookup = set.nodes[0].shared.settings.lookup;
    let ask = Ask {
        method: Method::GET,
        body: Bytes::new(),
        ..Ask::new("/api/lookup?name=kitchen.example&region=r&zone=zaal-dom", "l1")
    };
    let told = set.caller.send(lookup, &ask).await;
    let answer: serde_json::Value = serde_json::from_slice(&told.body).expect("it is JSON");
    let mut addresses: Vec<String> =
        serde_json::from_value(answer["addresses"].clone()).expect("a list of texts");
    let mut fronts: Vec<String> = set.nodes.iter().map(|n| n.shared.me.front.to_string()).collect();
    addresses.sort();
    fronts.sort();
    assert_eq!(addresses, fronts);
    assert!(answer["ttlS"].as_f64().is_some_and(|ttl| ttl > 0.0 && ttl <= 5.0));
}

/// Symptom: the store refuses calls. Sequence: many nodes start at once. Every node must get through
/// within the store's rate, and calls do not grow with requests.
#[tokio::test]
async fn store_rate_small_all_start() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.set_rate(30);
    for at in 0..10 {
        set.add_node(&format!("edge-{at}"), Vec::new()).await;
    }
    set.wait_ready().await;
    let (before, _) = set.store.calls();
    for n in 0..50 {
        set.send(n % 10, &Ask::new("/board/a", &format!("r{n}"))).await;
    }
    let (after, _) = set.store.calls();
    assert!(after - before < 50, "{} store calls for 50 requests", after - before);
}

/// Symptom: a runner gets orders from two holders. Sequence: demand calls for more reading; several
/// nodes see it. One gives the orders, under one fencing number.
#[tokio::test]
async fn orders_demand_one_holder() {
    let set = Deployment::new().await.with_engines(1, 5).await.with_nodes(3).await;
    let headers =
        [("model", "m"), ("token-count", "90000,80"), ("prompt-prefix", "5c1e:40000,91bd:50000")];
    let given = || set.runners.iter().flat_map(Runner::orders).collect::<Vec<_>>();
    wait_until("an order is given", async || {
        for n in 0..6 {
            let headers = &headers;
            let id = format!("big-{n}");
            let ask = Ask { headers, ..Ask::new("/count/a", &id) };
            set.send(n % 3, &ask).await;
        }
        !given().is_empty()
    })
    .await;
    let orders = given();
    assert!(orders.iter().all(|order| order.stage == "prefill"));
    let first = &orders[0];
    assert!(orders.iter().all(|o| (&o.holder, o.token) == (&first.holder, first.token)));
    // The number of a lease that nobody has held in the store's era.
    let first = Point::new(Era(1), 0).number();
    assert_eq!(set.store.get("sardinepick-leases", "runners").expect("a lease")["epoch"], first);
}

/// Symptom: a runner that has become another stage's is never used again. Cause: its refusal of work
/// for the old stage was taken for that of another life at its address.
#[tokio::test]
async fn stage_changed_runner_still_used() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    set.send(0, &generation("/count/a", "s0")).await;
    set.store.set_fault(Fault::Silent);
    let order = serde_json::json!({"operation": "stage", "stage": "decode", "holder": "h",
        "fencingToken": 1});
    let body = Bytes::from(order.to_string());
    let ask = Ask { body, ..Ask::new("/api/order", "o1") };
    set.caller.send(set.runners[0].address(), &ask).await;
    for n in 0..3 {
        let id = format!("s{n}");
        let told = set.send(0, &generation("/count/a", &id)).await;
        assert_eq!((told.text(), told.whole), (whole_stream(12), true));
    }
    assert!(shared.register().runners().all(|r| !r.health.is_gone()));
}

/// Symptom: a runner gets a request long after its caller has left, and after it has said that it
/// leaves. Sequence: the path to a runner is cut, a request is sent on it, the caller gives up, the
/// path is back. Cause: the connection was closed, and what was not delivered went out all the same.
#[tokio::test]
async fn call_given_up_never_delivered() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    // An address whose owner takes the connection and reads nothing, with room for little: the rest
    // stays with the sender, as behind a cut.
    let cut = tokio::net::TcpSocket::new_v4().expect("a socket");
    cut.set_recv_buffer_size(4_096).expect("it can be small");
    cut.bind((own_ip(), 0).into()).expect("a free address");
    let cut = cut.listen(8).expect("it is bound");
    let mut entry = set.runners[0].entry();
    entry["address"] = serde_json::json!(cut.local_addr().expect("it is bound").to_string());
    entry["born"] = serde_json::json!(entry["born"].as_u64().expect("a number") + 1);
    set.store.put("servers", &set.runners[0].id, &entry);
    let address = cut.local_addr().expect("it is bound");
    let shared = set.nodes.remove(0).shared;
    wait_until("the node knows", async || {
        shared.register().runners().any(|r| r.entry.address == address)
    })
    .await;
    let deadline = Duration::from_millis(300);
    let body = Bytes::from(vec![7; 60_000]);
    let ask = Ask { deadline, body, ..Ask::new("/eggs/order", "egg") };
    let front = shared.me.front;
    let (told, accepted) = tokio::join!(set.caller.send(front, &ask), cut.accept());
    assert_ne!(told.status, Some(StatusCode::OK));
    let (mut stream, _) = accepted.expect("the node connects");
    let mut bytes = Vec::new();
    // It may end with an error or without: what counts is what came.
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
    assert!(bytes.len() < 50_000, "{} bytes were delivered", bytes.len());
}

#[tokio::test]
async fn metrics_after_request_counted() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.ask("/board/a", "r1").await;
    let text = String::from_utf8(set.nodes[0].shared.metrics.text()).expect("metrics are text");
    assert!(text.contains("sardinepick_requests_total"), "{text}");
}
