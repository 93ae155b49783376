//! End-to-end tests of serving requests on the platform: a store, runners, nodes and callers.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use sardinepick_lib::history::{Era, Point};
use sardinepick_testutils::cluster::{own_ip, wait_until};
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{
    DEFAULT_VERSION, Deployment, MODEL_SERVICE, configuration,
};
use sardinepick_testutils::fleet::runner::{Faults, Kind, Runner, event};
use sardinepick_testutils::fleet::store::Fault;

fn stream_text(events: u64) -> String {
    (1..=events).map(event).collect()
}

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

fn generation_request<'a>(path: &'a str, id: &'a str) -> RequestSpec<'a> {
    RequestSpec { headers: &GENERATION, ..RequestSpec::new(path, id) }
}

#[tokio::test]
async fn plain_request_served() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let response = set.send_default("/board/today?room=4", "r1").await;
    assert_eq!(response.status, Some(StatusCode::OK));
    assert_eq!(response.text(), "answer to r1");
    assert!(response.complete && response.header("response-signature").is_some());
    let seen = set
        .runners
        .iter()
        .flat_map(Runner::received)
        .find(|s| s.id == "r1")
        .expect("a runner saw the request");
    assert_eq!((seen.path.as_str(), &seen.body[..]), ("/board/today?room=4", &b"a brief"[..]));
}

/// Guards against callers that set headers reserved for nodes. If nodes forward these, a caller can
/// give orders to a runner, or make it continue from the KV cache of another request.
#[tokio::test]
async fn plain_request_reserved_headers_removed() {
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
    let response =
        set.send(0, &RequestSpec { headers: &headers, ..RequestSpec::new("/board/a", "r1") }).await;
    assert_eq!(response.status, Some(StatusCode::OK));
    let seen = &set.runners[0].received()[0];
    for name in ["kv-source", "kv-hold", "pin-ms", "stage", "request-priority", "x-mine"] {
        assert!(!seen.headers.contains_key(name), "{name} was forwarded");
    }
    assert_eq!(seen.headers["expect-instance"], set.runners[0].id.as_str());
    assert_eq!((&seen.headers["x-kept"], seen.id.as_str()), (&"2".parse().unwrap(), "r1"));
    let remaining_ms: u64 = seen.headers["deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(remaining_ms <= 3_000, "the runner received a deadline of {remaining_ms} ms");
}

#[tokio::test]
async fn unknown_route_not_found() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    assert_eq!(set.send_default("/nowhere/", "r1").await.status, Some(StatusCode::NOT_FOUND));
    let other = RequestSpec { host: "other.example", ..RequestSpec::new("/board/a", "r2") };
    assert_eq!(set.send(0, &other).await.status, Some(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn oversized_body_refused() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let ask =
        RequestSpec { body: Bytes::from(vec![7; 65_537]), ..RequestSpec::new("/board/a", "r1") };
    assert_eq!(set.send(0, &ask).await.status, Some(StatusCode::PAYLOAD_TOO_LARGE));
    assert_eq!(set.run_count("r1"), 0);
}

/// Guards against a node that has just started and answers 404 for an existing route because it has
/// no configuration yet.
#[tokio::test]
async fn node_without_configuration_refuses_requests() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.set_fault(Fault::Busy);
    set.add_node("edge-0", Vec::new()).await;
    let response = set.send_default("/board/a", "r1").await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(response.header("retry-after").is_some());
    set.store.set_fault(Fault::None);
    set.wait_ready().await;
    assert_eq!(set.send_default("/board/a", "r2").await.status, Some(StatusCode::OK));
}

/// Guards against a non-idempotent request that runs twice. The runner runs it, but its response is
/// lost; the node must not conclude that the request did not run and retry it on another runner.
#[tokio::test]
async fn non_idempotent_request_not_retried_after_lost_response() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { drop_response: true, ..Faults::default() });
    }
    for n in 0..8 {
        let id = format!("egg-{n}");
        let response = set.send_default("/eggs/order", &id).await;
        assert_eq!(response.status, Some(StatusCode::BAD_GATEWAY), "the request may have run");
        assert_eq!(set.run_count(&id), 1);
    }
}

#[tokio::test]
async fn non_idempotent_request_retried_after_shedding() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { refuse: true, ..Faults::default() });
    for n in 0..6 {
        let id = format!("egg-{n}");
        let response = set.send_default("/eggs/order", &id).await;
        assert_eq!((response.status, set.run_count(&id)), (Some(StatusCode::OK), 1));
    }
}

#[tokio::test]
async fn non_idempotent_request_refused_when_all_runners_shed() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { refuse: true, ..Faults::default() });
    }
    let response = set.send_default("/eggs/order", "egg").await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(response.header("retry-after").is_some());
    assert_eq!(set.run_count("egg"), 0);
}

#[tokio::test]
async fn idempotent_request_retried_after_lost_response() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { drop_response: true, ..Faults::default() });
    for n in 0..6 {
        let response = set.send_default("/board/a", &format!("r{n}")).await;
        assert_eq!(response.status, Some(StatusCode::OK));
    }
}

/// Guards against a caller that waits until its deadline because a runner accepted the request and
/// never responds, while another runner could have served it.
#[tokio::test]
async fn idempotent_request_retried_when_runner_hangs() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { hang: true, ..Faults::default() });
    for n in 0..4 {
        let response = set.send_default("/board/a", &format!("r{n}")).await;
        assert_eq!(response.status, Some(StatusCode::OK));
    }
}

/// Guards against a caller that receives the response to another request. When a runner sends a
/// surplus response, matching responses by their order on the connection shifts all later ones.
#[tokio::test]
async fn mismatched_response_not_forwarded() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { wrong_request_id: true, ..Faults::default() });
    let response = set.send_default("/eggs/order", "egg").await;
    assert_eq!(response.status, Some(StatusCode::BAD_GATEWAY));
    assert!(response.header("response-signature").is_none());
}

#[tokio::test]
async fn runner_error_forwarded_with_signature() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { respond_500: true, ..Faults::default() });
    let response = set.send_default("/eggs/order", "egg").await;
    assert_eq!(response.status, Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert_eq!((response.text().as_str(), response.complete), ("failed", true));
    assert!(response.header("response-signature").is_some());
}

#[tokio::test]
async fn stream_with_separate_prefill_and_decode_served() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    let response = set.send(0, &generation_request("/count/a", "s1")).await;
    assert_eq!(response.status, Some(StatusCode::OK));
    assert_eq!((response.text(), response.complete), (stream_text(12), true));
    let (prefill, decode) = (&set.runners[0], &set.runners[1]);
    assert_eq!(
        (prefill.received().len(), prefill.run_count("s1"), decode.run_count("s1")),
        (1, 0, 1)
    );
    let source = decode.received()[0].headers["kv-source"].to_str().unwrap().to_owned();
    assert_eq!(source, format!("{}/h1", prefill.address()));
}

/// Guards against a stream that ends early, or that repeats or splits an event, when a runner dies
/// within an event. The stream is resumed on another runner after the last complete event, under the
/// response head of the first runner.
#[tokio::test]
async fn broken_stream_resumed_on_another_runner() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let broken = &set.runners[1];
    broken.set_faults(Faults { abort_after: Some(5), ..Faults::default() });
    set.runners[2].set_faults(Faults { abort_after: Some(5), ..Faults::default() });
    let response = set.send(0, &generation_request("/count/a", "s1")).await;
    assert_eq!(
        (response.text(), response.complete),
        (stream_text(5), false),
        "the streams of both runners broke off"
    );
    set.runners[2].set_faults(Faults::default());
    for n in 0..4 {
        let id = format!("t{n}");
        let response = set.send(0, &generation_request("/count/a", &id)).await;
        assert_eq!((response.text(), response.complete), (stream_text(12), true));
    }
}

/// Guards against a stream that runs twice because it is resumed although its route does not allow
/// that. The caller must be able to tell that the response is incomplete.
#[tokio::test]
async fn broken_stream_not_resumed_if_not_resumable() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { abort_after: Some(3), ..Faults::default() });
    }
    let response = set.send(0, &generation_request("/tally/a", "s1")).await;
    assert_eq!(
        (response.text(), response.complete, set.run_count("s1")),
        (stream_text(3), false, 1)
    );
}

/// Guards against a runner that keeps generating after the caller has closed its connection in the
/// middle of a stream.
#[tokio::test]
async fn stream_cancelled_when_caller_disconnects() {
    let set = Deployment::new().await.with_engines(0, 1).await.with_nodes(1).await;
    let event_interval = Duration::from_millis(100);
    set.runners[0].set_faults(Faults { event_interval, ..Faults::default() });
    let ask = generation_request("/count/a", "s1");
    let sent = tokio::time::timeout(event_interval * 3, set.send(0, &ask)).await;
    assert!(sent.is_err(), "the caller disconnects before the stream ends");
    wait_until("the runner has stopped", async || set.runners[0].running() == 0).await;
}

/// Guards against a KV cache that stays allocated until it expires because no decode runner is
/// available after prefill.
#[tokio::test]
async fn kv_cache_freed_without_decode_runner() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    set.runners[1].set_faults(Faults { refuse: true, ..Faults::default() });
    let response = set.send(0, &generation_request("/tally/a", "s1")).await;
    assert_eq!((response.status, set.run_count("s1")), (Some(StatusCode::SERVICE_UNAVAILABLE), 0));
    wait_until("the KV cache is freed", async || set.runners[0].handles().0 == 0).await;
    assert!(set.runners[0].handles().1 >= 1);
}

/// Guards against requests that are sent to a runner seconds after it wrote that it is draining, or
/// after its entry was removed.
#[tokio::test]
async fn leaving_runner_gets_no_new_requests() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(1).await;
    set.runners[0].drain();
    set.store.remove("servers", &set.runners[1].id);
    let shared = &set.nodes[0].shared;
    wait_until("the node knows that both are leaving", async || {
        let now = shared.clock.now();
        shared.register().runners().filter(|r| r.takes_work(now)).count() == 1
    })
    .await;
    for n in 0..6 {
        let id = format!("r{n}");
        set.send_default("/board/a", &id).await;
        assert_eq!(set.runners[2].run_count(&id), 1);
    }
}

/// Guards against a stream that starts on a runner which began to drain during prefill. This happens
/// if the decode runner is chosen before prefill and not checked again after it.
#[tokio::test]
async fn decode_runner_draining_during_prefill_not_used() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    set.runners[0]
        .set_faults(Faults { response_delay: Duration::from_millis(300), ..Faults::default() });
    let leave = async {
        wait_until("prefill is in progress", async || set.runners[0].running() == 1).await;
        set.runners[1].drain();
    };
    let ask = generation_request("/count/a", "s1");
    let (response, ()) = tokio::join!(set.send(0, &ask), leave);
    assert_eq!((response.text(), set.runners[1].run_count("s1")), (stream_text(12), 0));
}

/// Guards against a request that runs on a runner of another service because a runner has died and
/// its address was reused. Nodes name the instance that they expect, so the new runner refuses.
#[tokio::test]
async fn request_not_run_by_new_owner_of_address() {
    let mut set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let (old, address) = (set.runners[0].clone(), set.runners[0].address());
    old.kill();
    wait_until("the address is free again", async || std::net::TcpListener::bind(address).is_ok())
        .await;
    let kind = Kind {
        service: MODEL_SERVICE.to_owned(),
        data_centre: "zaal-dom".to_owned(),
        stage: Some("decode"),
        events: 1,
        version: DEFAULT_VERSION,
    };
    let new =
        Runner::start("i-new", address, kind, &set.store).await.expect("the address is free again");
    set.runners.push(new);
    for n in 0..6 {
        let id = format!("egg-{n}");
        let response = set.send_default("/eggs/order", &id).await;
        assert_eq!((response.status, set.runners[1].run_count(&id)), (Some(StatusCode::OK), 1));
    }
    assert!(set.runners[2].received().is_empty());
}

/// Guards against a configuration that is in force on some nodes only because the store refuses the
/// calls of the others. A node then learns the configuration from a peer.
#[tokio::test]
async fn configuration_learned_from_peer_during_store_outage() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.set_fault(Fault::Busy);
    let seed = set.nodes[0].shared.me.peer;
    set.add_node("edge-1", vec![seed]).await;
    set.wait_ready().await;
    assert_eq!(set.send(1, &RequestSpec::new("/board/a", "r1")).await.status, Some(StatusCode::OK));
}

/// Guards against dropping all runners when the store returns after an outage during which their
/// entries expired. Runners are kept for a grace period; one that has not rewritten its entry by
/// then is removed.
#[tokio::test]
async fn runners_kept_after_entries_expire_in_outage() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    set.store.set_fault(Fault::Reset);
    wait_until("the node notices the outage", async || {
        shared.outage().doubt(shared.clock.now()).is_some()
    })
    .await;
    for runner in &set.runners {
        set.store.remove("servers", &runner.id);
    }
    set.store.set_fault(Fault::None);
    wait_until("the node keeps both runners", async || {
        shared.register_replica().entries() == 2
            && shared.register().expire(shared.clock.now()).is_empty()
    })
    .await;
    assert_eq!(set.send_default("/board/a", "r1").await.status, Some(StatusCode::OK));
    set.runners[0].write_entry();
    wait_until("one runner is removed", async || shared.register().runners().count() == 1).await;
    assert!(shared.register().runners().all(|r| r.entry.id.as_str() == set.runners[0].id));
}

/// Guards against a configuration that is replaced by an older version, as a peer that is behind may
/// send one.
#[tokio::test]
async fn older_configuration_ignored() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.put("config", "main", &configuration(7));
    let shared = &set.nodes[0].shared;
    let version = || shared.configuration.load().as_ref().map(|c| c.version.0);
    wait_until("version 7 is in force", async || version() == Some(7)).await;
    let answered =
        shared.metrics.store_calls.with_label_values(&["configuration_watch", "answered"]);
    let before = answered.get();
    set.store.put("config", "main", &configuration(6));
    wait_until("the older version has arrived", async || answered.get() > before).await;
    assert_eq!(version(), Some(7));
}

#[tokio::test]
async fn objects_listed_again_after_store_compaction() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.store.put("config", "main", &configuration(3));
    set.store.compact();
    let shared = &set.nodes[0].shared;
    let version = || shared.configuration.load().as_ref().map(|c| c.version.0);
    wait_until("version 3 is in force", async || version() == Some(3)).await;
}

/// Guards against requests that are cut off by a planned stop. The node is told to stop while a
/// stream is in progress, and another caller still connects.
#[tokio::test]
async fn stop_waits_for_requests_in_progress() {
    let mut set =
        Deployment::new().await.with_engines(0, 1).await.with_plain(1).await.with_nodes(2).await;
    set.runners[0]
        .set_faults(Faults { event_interval: Duration::from_millis(60), ..Faults::default() });
    let node = set.nodes.remove(0);
    let front = node.shared.me.front;
    let caller = set.caller.clone();
    let stream =
        tokio::spawn(
            async move { caller.send(front, &generation_request("/count/a", "s1")).await },
        );
    wait_until("the stream is in progress", async || set.runners[0].running() == 1).await;
    let other = set.nodes[0].shared.clone();
    let stop = tokio::spawn(node.stop());
    wait_until("the other node knows about the stop", async || {
        other.roster().ready_contacts().is_empty()
    })
    .await;
    let late = set.caller.send(front, &RequestSpec::new("/board/a", "r1")).await;
    assert_eq!(
        late.status,
        Some(StatusCode::OK),
        "a caller with an outdated lookup result is served"
    );
    let response = stream.await.expect("the caller task does not panic");
    assert_eq!((response.text(), response.complete), (stream_text(12), true));
    assert_eq!(stop.await.expect("the stop task does not panic"), 0);
}

#[tokio::test]
async fn lookup_returns_all_ready_nodes() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(3).await;
    let lookup = set.nodes[0].shared.settings.lookup;
    let ask = RequestSpec {
        method: Method::GET,
        body: Bytes::new(),
        ..RequestSpec::new("/api/lookup?name=kitchen.example&region=r&zone=zaal-dom", "l1")
    };
    let response = set.caller.send(lookup, &ask).await;
    let answer: serde_json::Value = serde_json::from_slice(&response.body).expect("valid JSON");
    let mut addresses: Vec<String> =
        serde_json::from_value(answer["addresses"].clone()).expect("a list of strings");
    let mut fronts: Vec<String> = set.nodes.iter().map(|n| n.shared.me.front.to_string()).collect();
    addresses.sort();
    fronts.sort();
    assert_eq!(addresses, fronts);
    assert!(answer["ttlS"].as_f64().is_some_and(|ttl| ttl > 0.0 && ttl <= 5.0));
}

/// Guards against nodes that cannot start because many start at once and exceed the store's rate
/// limit, and against store calls whose number grows with the requests.
#[tokio::test]
async fn nodes_start_within_store_rate_limit() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.set_rate(30);
    for at in 0..10 {
        set.add_node(&format!("edge-{at}"), Vec::new()).await;
    }
    set.wait_ready().await;
    let (before, _) = set.store.call_counts();
    for n in 0..50 {
        set.send(n % 10, &RequestSpec::new("/board/a", &format!("r{n}"))).await;
    }
    let (after, _) = set.store.call_counts();
    assert!(after - before < 50, "{} store calls for 50 requests", after - before);
}

/// Guards against orders to runners from two lease holders. Demand calls for more prefill capacity and
/// several nodes notice; only one of them gives orders, all under one fencing token.
#[tokio::test]
async fn stage_orders_given_by_one_lease_holder() {
    let set = Deployment::new().await.with_engines(1, 5).await.with_nodes(3).await;
    let headers =
        [("model", "m"), ("token-count", "90000,80"), ("prompt-prefix", "5c1e:40000,91bd:50000")];
    let orders = || set.runners.iter().flat_map(Runner::orders).collect::<Vec<_>>();
    wait_until("an order is given", async || {
        for n in 0..6 {
            let headers = &headers;
            let id = format!("big-{n}");
            let ask = RequestSpec { headers, ..RequestSpec::new("/count/a", &id) };
            set.send(n % 3, &ask).await;
        }
        !orders().is_empty()
    })
    .await;
    let orders = orders();
    assert!(orders.iter().all(|order| order.stage == "prefill"));
    let first = &orders[0];
    assert!(orders.iter().all(|o| (&o.holder, o.token) == (&first.holder, first.token)));
    // The epoch of a lease that has not been held before in this era of the store.
    let first_epoch = Point::new(Era(1), 0).number();
    assert_eq!(
        set.store.get("sardinepick-leases", "runners").expect("a lease")["epoch"],
        first_epoch
    );
}

/// Guards against a runner that is never used again after a change of its stage. It refuses requests
/// for the previous stage, which must not be confused with a refusal by another incarnation at its
/// address.
#[tokio::test]
async fn runner_used_after_stage_change() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    set.send(0, &generation_request("/count/a", "s0")).await;
    set.store.set_fault(Fault::Silent);
    let order = serde_json::json!({"operation": "stage", "stage": "decode", "holder": "h",
        "fencingToken": 1});
    let body = Bytes::from(order.to_string());
    let ask = RequestSpec { body, ..RequestSpec::new("/api/order", "o1") };
    set.caller.send(set.runners[0].address(), &ask).await;
    for n in 0..3 {
        let id = format!("s{n}");
        let response = set.send(0, &generation_request("/count/a", &id)).await;
        assert_eq!((response.text(), response.complete), (stream_text(12), true));
    }
    assert!(shared.register().runners().all(|r| !r.health.is_gone()));
}

/// Guards against a request that reaches a runner long after its caller has given up, even after the
/// runner has announced that it is leaving. The network path to the runner is interrupted, a request
/// is sent, and the caller gives up. If the connection is then merely closed, the kernel still
/// delivers the unsent data once the path is back.
#[tokio::test]
async fn cancelled_request_never_delivered() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    // Accepts a connection without reading from it. The receive buffer is small, so most of the
    // request stays in the sender's buffer, as on an interrupted path.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small receive buffer");
    socket.bind((own_ip(), 0).into()).expect("a free address");
    let listener = socket.listen(8).expect("a bound socket");
    let mut entry = set.runners[0].entry();
    entry["address"] =
        serde_json::json!(listener.local_addr().expect("a bound socket").to_string());
    entry["born"] = serde_json::json!(entry["born"].as_u64().expect("a number") + 1);
    set.store.put("servers", &set.runners[0].id, &entry);
    let address = listener.local_addr().expect("a bound socket");
    let shared = set.nodes.remove(0).shared;
    wait_until("the node knows the address", async || {
        shared.register().runners().any(|r| r.entry.address == address)
    })
    .await;
    let deadline = Duration::from_millis(300);
    let body = Bytes::from(vec![7; 60_000]);
    let ask = RequestSpec { deadline, body, ..RequestSpec::new("/eggs/order", "egg") };
    let front = shared.me.front;
    let (response, accepted) = tokio::join!(set.caller.send(front, &ask), listener.accept());
    assert_ne!(response.status, Some(StatusCode::OK));
    let (mut stream, _) = accepted.expect("a connection from the node");
    let mut bytes = Vec::new();
    // The connection may end with or without an error; only the received bytes matter.
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
    assert!(bytes.len() < 50_000, "{} bytes were delivered", bytes.len());
}

#[tokio::test]
async fn request_counted_in_metrics() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.send_default("/board/a", "r1").await;
    let text = String::from_utf8(set.nodes[0].shared.metrics.text()).expect("metrics are text");
    assert!(text.contains("sardinepick_requests_total"), "{text}");
}
