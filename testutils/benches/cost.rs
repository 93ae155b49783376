//! `cargo bench --bench cost`: measures the overhead of a node on calls of a fake engine, compared with
//! direct calls in the same run, and the time to look up the account of an API key. Times depend on the
//! machine, so there are no bounds. `-- accounts` runs only the second part.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http_body_util::BodyExt as _;
use sardinepick_lib::account::directory::{Account, Directory, Entry, Identity, digest, identify};
use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{Cluster, free_address, own_ip};
use sardinepick_testutils::engine::{Engine, Speed};
use sardinepick_testutils::measure::figure::Figure;
use tokio::task::JoinSet;
use tokio::time::Instant;

const KEY: &str = "clerk-key";
const CALLS: usize = 80;
const TOKENS: u64 = 32;
const THROUGHPUT_CALLERS: usize = 32;
const THROUGHPUT_CALLS: usize = 40;
const THROUGHPUT_TOKENS: u64 = 268;
const LOOKUPS: usize = 200_000;

/// The times of one streamed call: until the first frame, and between frames.
struct Times {
    first: Duration,
    gaps: Vec<Duration>,
}

async fn stream(caller: &Caller, peer: SocketAddr, id: usize, tokens: u64) -> Times {
    let body = serde_json::json!({
        "model": "telraad", "prompt": "eggs", "max_tokens": tokens, "stream": true,
        "request_id": format!("c{id}"),
    });
    let headers = [("x-request-id", format!("c{id}"))];
    let started = Instant::now();
    let sent = caller.send(peer, Method::POST, "/v1/completions", &headers, body.to_string());
    let response = sent.await.expect("the server answers");
    assert!(response.status().is_success(), "status {}", response.status());
    let mut body = response.into_body();
    let mut first = None;
    let mut last = started;
    let mut gaps = Vec::new();
    while let Some(frame) = body.frame().await {
        frame.expect("the stream is complete");
        let now = Instant::now();
        match first {
            None => first = Some(now - started),
            Some(_) => gaps.push(now - last),
        }
        last = now;
    }
    Times { first: first.unwrap_or_default(), gaps }
}

fn quantile(values: &mut [Duration], fraction: f64) -> f64 {
    values.sort();
    let at = ((values.len() - 1) as f64 * fraction) as usize;
    values[at].as_secs_f64() * 1e6
}

async fn measure_latency(label: &str, caller: &Caller, peer: SocketAddr) {
    let (mut firsts, mut gaps) = (Vec::new(), Vec::new());
    for call in 0..CALLS {
        let times = stream(caller, peer, call, TOKENS).await;
        firsts.push(times.first);
        gaps.extend(times.gaps);
    }
    for (name, values) in [("first_byte", &mut firsts), ("token_gap", &mut gaps)] {
        for (statistic, fraction) in [("median", 0.5), ("p99", 0.99)] {
            let figure = Figure::new(
                format!("cost.{label}.{name}_{statistic}_us"),
                quantile(values, fraction),
            );
            println!("{figure}");
        }
    }
}

async fn measure_throughput(label: &str, caller: &Caller, peer: SocketAddr) {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for at in 0..THROUGHPUT_CALLERS {
        let caller = caller.clone();
        calls.spawn(async move {
            for call in 0..THROUGHPUT_CALLS {
                stream(&caller, peer, at * THROUGHPUT_CALLS + call, THROUGHPUT_TOKENS).await;
            }
        });
    }
    while let Some(done) = calls.join_next().await {
        done.expect("callers do not panic");
    }
    let passed = started.elapsed().as_secs_f64();
    let calls = (THROUGHPUT_CALLERS * THROUGHPUT_CALLS) as f64;
    println!("{}", Figure::new(format!("cost.{label}.requests_per_s"), calls / passed));
    let tokens = calls * THROUGHPUT_TOKENS as f64;
    println!("{}", Figure::new(format!("cost.{label}.tokens_per_s"), tokens / passed));
}

/// Measures the look-up of the account of an API key among `accounts` accounts with two keys each.
fn measure_key_lookup(accounts: usize) {
    let key = |at: usize| format!("key-of-an-account-{at:012}");
    let entries = (0..accounts).map(|at| Entry {
        account: Account { name: format!("account-{at}").parse().expect("a name"), rank: None },
        keys: [at * 2, at * 2 + 1].iter().filter_map(|at| digest(key(*at).as_bytes())).collect(),
    });
    let directory = Directory::new(entries, Vec::new());
    let keys: Vec<String> = (0..LOOKUPS).map(|n| key(n * 7_919 % (accounts * 4))).collect();
    let started = Instant::now();
    let found = keys.iter().filter(|key| {
        let identity = identify(Some(&directory), false, Some(key.as_bytes()));
        matches!(identity, Identity::Account(_))
    });
    let found = found.count();
    let each = started.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64;
    println!("{}", Figure::new(format!("cost.accounts.{accounts}.lookup_us"), each));
    println!("{}", Figure::new(format!("cost.accounts.{accounts}.found"), found as f64));
}

async fn start_with_speed(label: &str, speed: Speed) -> (Engine, Cluster) {
    let engine = Engine::start(free_address(own_ip()), Role::Mixed, speed).await.expect("free");
    let key = Digest::of(KEY.as_bytes());
    let config = format!(
        "begin; create model m version = 1; create service telraad model = m, deadline = 60s; \
         create runner telraad-1 service = telraad, address = {}, data_centre = a, slots = 64; \
         create account clerk key = {key}, rate = 100000, burst = 100000, concurrency = 1000; \
         commit",
        engine.address()
    );
    println!("# {label}");
    (engine, Cluster::start(1, &["a"], &config).await)
}

#[tokio::main]
async fn main() {
    println!("# keys of client accounts, half of them unknown");
    for accounts in [75, 10_000] {
        measure_key_lookup(accounts);
    }
    if std::env::args().any(|arg| arg == "accounts") {
        return;
    }
    let caller = Caller::new(KEY);
    let paced = Speed { prefill: 1_000_000, decode: 500, ..Speed::default() };
    let (engine, cluster) = start_with_speed("latency at 500 tokens a second", paced).await;
    measure_latency("direct", &caller, engine.address()).await;
    measure_latency("node", &caller, cluster.front(0)).await;
    let fast = Speed { prefill: 10_000_000, decode: 1_000_000, ..Speed::default() };
    let (engine, cluster) = start_with_speed("throughput, tokens without pauses", fast).await;
    measure_throughput("direct", &caller, engine.address()).await;
    measure_throughput("node", &caller, cluster.front(0)).await;
}
