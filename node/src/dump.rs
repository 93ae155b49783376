//! Dumps of a node's state.

use schemars::JsonSchema;
use serde::Serialize;

use crate::node::Node;

/// The state of a pool of runners.
#[derive(Debug, Serialize, JsonSchema)]
pub struct PoolDump {
    /// The service.
    service: String,
    /// The number of queued requests.
    queue: usize,
    /// The number of requests in progress.
    under_way: u32,
    /// The runners that this node uses.
    runners: Vec<RunnerDump>,
}

/// The state of a runner.
#[derive(Debug, Serialize, JsonSchema)]
pub struct RunnerDump {
    /// Its name.
    name: String,
    /// Whether it accepts requests.
    takes_work: bool,
    /// The number of this node's requests in progress at the runner.
    in_flight: u32,
    /// The number of running requests in its last report.
    reported_running: u32,
    /// The age of the report in milliseconds.
    report_age_ms: Option<u64>,
    /// The number of consecutive faults.
    faults: u32,
}

/// The state of another node.
#[derive(Debug, Serialize, JsonSchema)]
pub struct MemberDump {
    /// Its name.
    name: String,
    /// Its incarnation.
    incarnation: u64,
    /// Its state.
    state: String,
    /// Its configuration generation.
    generation: u64,
    /// How long ago its last message arrived, in milliseconds.
    heard_ms: Option<u64>,
}

/// The state of a lease.
#[derive(Debug, Serialize, JsonSchema)]
pub struct LeaseDump {
    /// The service.
    service: String,
    /// Its holder as last read.
    holder: Option<String>,
    /// Its epoch.
    epoch: Option<u64>,
    /// Whether this node holds it.
    held_here: bool,
    /// Earlier holders that may still be active.
    doubtful: Vec<String>,
}

/// The state of a node.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Dump {
    /// The node's name.
    name: String,
    /// Its incarnation.
    incarnation: u64,
    /// Its state.
    state: String,
    /// The generation in force.
    generation: u64,
    /// The highest generation announced by any node.
    wanted_generation: u64,
    /// The version of the owner table.
    table_version: u64,
    /// The number of keys with a record on this node.
    keys: usize,
    /// The other nodes.
    members: Vec<MemberDump>,
    /// The pools.
    pools: Vec<PoolDump>,
    /// The leases.
    leases: Vec<LeaseDump>,
}

/// Collects the state of a node.
pub fn dump(node: &Node) -> Dump {
    let now = node.clock.now();
    let millis = |at: std::time::Instant| {
        u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
    };
    let (state, members) = {
        let members = node.members();
        let line = |p: &sardinepick_lib::member::Peer| MemberDump {
            name: p.update.name.to_string(),
            incarnation: p.update.incarnation.0,
            state: p.update.state.to_string(),
            generation: p.status.generation.0,
            heard_ms: p.last_heard.map(millis),
        };
        (members.me().state.to_string(), members.peers().map(line).collect())
    };
    let pools = node.pools();
    let pools = pools.iter().map(|pool| {
        let state = pool.state();
        let runner = |v: &sardinepick_lib::runner::RunnerView| RunnerDump {
            name: v.name.to_string(),
            takes_work: v.takes_work(now),
            in_flight: v.in_flight,
            reported_running: v.report.running,
            report_age_ms: v.reported.map(millis),
            faults: v.faults,
        };
        PoolDump {
            service: pool.service.to_string(),
            queue: state.queue,
            under_way: state.in_progress,
            runners: state.views.iter().map(runner).collect(),
        }
    });
    let leases = node.authority.views().into_iter().map(|(service, view)| LeaseDump {
        service: service.to_string(),
        holder: view.lease.as_ref().and_then(|r| r.holder.as_ref()).map(|h| h.name.to_string()),
        epoch: view.lease.as_ref().map(|r| r.epoch.0),
        held_here: view.held_epoch.is_some(),
        doubtful: view
            .lease
            .iter()
            .flat_map(|r| r.doubtful.iter().map(|h| h.name.to_string()))
            .collect(),
    });
    Dump {
        name: node.settings.name.to_string(),
        incarnation: node.incarnation.0,
        state,
        generation: node.config.load().generation.0,
        wanted_generation: node.config_fetcher().wanted().0,
        table_version: node.table.load().newest().0,
        keys: node.register().len(),
        members,
        pools: pools.collect(),
        leases: leases.collect(),
    }
}
