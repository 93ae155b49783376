//! `cargo bench --bench processes`: resource usage of idle nodes, with 3, 9 and 27 processes.

use std::path::Path;
use std::time::Duration;

use http::Method;
use sardinepick_lib::config::object::Role;
use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{
    ADMIN_KEY, NodeOptions, free_address, own_ip, wait_ready, wait_until,
};
use sardinepick_testutils::engine::{Engine, Speed};
use sardinepick_testutils::measure::figure::Figure;
use sardinepick_testutils::platform::Platform;
use sardinepick_testutils::process::Daemon;

const EXE: &str = env!("CARGO_BIN_EXE_sardinepickd");
const ENGINES: usize = 18;
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// The total of `sardinepick_peer_bytes_total` in a node's metrics.
async fn peer_bytes(caller: &Caller, plan: &NodeOptions) -> f64 {
    let response = caller.fetch(plan.front, Method::GET, "/metrics", &[], "").await;
    let (_, text) = response.expect("a response of the node");
    let lines = text.lines().filter(|l| l.starts_with("sardinepick_peer_bytes_total{"));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn measure(count: usize) {
    let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
    let mut engines = Vec::new();
    let mut config =
        String::from("begin; create model m version = 1; create service telraad model = m; ");
    for at in 0..ENGINES {
        let engine = Engine::start(free_address(own_ip()), Role::Mixed, Speed::default()).await;
        let engine = engine.expect("a free address");
        config += &format!(
            "create runner telraad-{at} service = telraad, address = {}, data_centre = a; ",
            engine.address()
        );
        engines.push(engine);
    }
    config += "commit";
    // The default periods, not the short ones of tests.
    let plan = |at: usize| {
        let plan = NodeOptions::new(&format!("entry-{at}"), "a", platform.address());
        NodeOptions { short_periods: false, ..plan }
    };
    let plans: Vec<NodeOptions> = (0..count).map(plan).collect();
    platform.set_vms(plans.iter().map(NodeOptions::vm).collect());
    let daemons: Vec<Daemon> = plans.iter().map(|p| Daemon::start(Path::new(EXE), p)).collect();
    let operator = Caller::new(ADMIN_KEY);
    wait_until("the first configuration change is accepted", || async {
        let changed = operator.command(plans[0].front, &config).await;
        changed.is_ok_and(|(status, _)| status.is_success())
    })
    .await;
    for plan in &plans {
        wait_ready(plan.front).await;
    }
    tokio::time::sleep(MEASURED_TIME / 2).await;
    let calls = platform.calls();
    let mut before = Vec::new();
    for (daemon, plan) in daemons.iter().zip(&plans) {
        before.push((daemon.usage(), peer_bytes(&operator, plan).await));
    }
    tokio::time::sleep(MEASURED_TIME).await;
    let (mut cpu, mut rss, mut bytes) = (0, 0, 0.0);
    for ((daemon, plan), (usage, sent)) in daemons.iter().zip(&plans).zip(before) {
        let now = daemon.usage();
        cpu += now.cpu_ms - usage.cpu_ms;
        rss = rss.max(now.rss_kb);
        bytes += peer_bytes(&operator, plan).await - sent;
    }
    let later = platform.calls();
    let seconds = MEASURED_TIME.as_secs_f64();
    let nodes = count as f64;
    let calls =
        (later.reads + later.writes + later.watches) - (calls.reads + calls.writes + calls.watches);
    for (name, value) in [
        ("cpu_part_of_a_core", cpu as f64 / 1000.0 / seconds / nodes),
        ("rss_mb_most", rss as f64 / 1000.0),
        ("peer_bytes_per_s", bytes / seconds / nodes),
        ("store_calls_per_s", calls as f64 / seconds),
    ] {
        println!("{}", Figure::new(format!("processes.{count}.{name}"), value));
    }
}

#[tokio::main]
async fn main() {
    for count in [3, 9, 27] {
        measure(count).await;
    }
}
