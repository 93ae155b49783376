//! The dump of a node's state on request.

use schemars::JsonSchema;
use serde::Serialize;

use crate::node::Node;

/// One pool of runners.
#[derive(Debug, Serialize, JsonSchema)]
pub struct PoolDump {
    /// The service.
    service: String,
    /// Requests that wait.
    queue: usize,
    /// Requests under way.
    under_way: u32,
    /// The runners that this node uses.
    runners: Vec<RunnerDump>,
}

/// One runner.
#[derive(Debug, Serialize, JsonSchema)]
pub struct RunnerDump {
    /// Its name.
    name: String,
    /// Whether it takes work.
    takes_work: bool,
    /// Requests of this node that it has.
    in_flight: u32,
    /// Requests that it had by its last report.
    reported_running: u32,
    /// The age of the report in milliseconds.
    report_age_ms: Option<u64>,
    /// Faults one after the other.
    faults: u32,
}

/// One other node.
#[derive(Debug, Serialize, JsonSchema)]
pub struct MemberDump {
    /// Its name.
    name: String,
    /// Its life.
    incarnation: u64,
    /// Its state.
    state: String,
    /// The generation it has.
    generation: u64,
    /// How long ago it was heard, in milliseconds.
    heard_ms: Option<u64>,
}

/// One lease.
#[derive(Debug, Serialize, JsonSchema)]
pub struct LeaseDump {
    /// The service.
    service: String,
    /// Its holder, as last seen.
    holder: Option<String>,
    /// The fencing number.
    epoch: Option<u64>,
    /// Whether this node holds it.
    held_here: bool,
    /// Earlier holders that may still be at work.
    doubtful: Vec<String>,
}

/// All of a node's state.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Dump {
    /// The node.
    name: String,
    /// Its life.
    incarnation: u64,
    /// Its state.
    state: String,
    /// The generation in force.
    generation: u64,
    /// The highest generation heard of.
    wanted_generation: u64,
    /// The version of the table of owners.
    table_version: u64,
    /// How many keys have a record here.
    keys: usize,
    /// The other nodes.
    members: Vec<MemberDump>,
    /// The pools.
    pools: Vec<PoolDump>,
    /// The leases.
    leases: Vec<LeaseDump>,
}

/// Collects the state.
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
        let peek = pool.peek();
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
            queue: peek.queue,
            under_way: peek.under_way,
            runners: peek.views.iter().map(runner).collect(),
        }
    });
    let leases = node.authority.views().into_iter().map(|(service, view)| LeaseDump {
        service: service.to_string(),
        holder: view.lease.as_ref().and_then(|r| r.holder.as_ref()).map(|h| h.name.to_string()),
        epoch: view.lease.as_ref().map(|r| r.epoch.0),
        held_here: view.held.is_some(),
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
        wanted_generation: node.spreader().wanted().0,
        table_version: node.table.load().newest().0,
        keys: node.register().len(),
        members,
        pools: pools.collect(),
        leases: leases.collect(),
    }
}
