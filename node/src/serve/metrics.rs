//! Counters and histograms of a serving node, in the form that Prometheus reads.

use prometheus::core::Collector;
use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::logging::Dropped;

/// The metrics of one node.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route, kind, outcome and reason.
    pub requests: IntCounterVec,
    /// Seconds until the first byte of the answer's content, by kind and outcome.
    pub first: HistogramVec,
    /// Seconds between events of a stream.
    pub pause: HistogramVec,
    /// Calls to runners by runner and how they ended.
    pub calls: IntCounterVec,
    /// Generations by the way they took.
    pub plans: IntCounterVec,
    /// Permits to send to runners with a rate limit, by what came of them and who decided.
    pub permits: IntCounterVec,
    /// Runners that leave by their own word, by where that was heard.
    pub drains: IntCounterVec,
    /// Answers by which runners refuse requests of this node for a time, by what came of them.
    pub back_offs: IntCounterVec,
    /// Rate limits of runners by how they changed.
    pub limits: IntCounterVec,
    /// Extra arrivals by what the budget said.
    pub extras: IntCounterVec,
    /// Calls under which a runner ended.
    pub ends: IntCounter,
    /// Requests that are not run, by what becomes of them.
    pub quarantine: IntCounterVec,
    /// Connections made.
    pub connections: IntCounter,
    /// Calls to the store by purpose and how they ended.
    pub store_calls: IntCounterVec,
    /// Keys that no known account has, by what ruled out that they are new.
    pub unknown_keys: IntCounterVec,
    /// Changes of the lease on the duties, by what became of it.
    pub leases: IntCounterVec,
    /// Calls to the platform by the holder of the duties, by what they are and what came of them.
    pub duty_calls: IntCounterVec,
    /// Runners of services that are ordered: how many are needed, and how many of each kind are there.
    pub scaled: IntGaugeVec,
    /// Windows of usage by what became of them.
    pub windows: IntCounterVec,
    /// Bytes of usage between nodes by direction.
    pub usage_bytes: IntCounterVec,
    /// Bytes of beats by direction.
    pub beat_bytes: IntCounterVec,
    /// Bytes between nodes and schedulers by direction.
    pub schedule_bytes: IntCounterVec,
    /// Placements by who decided: the scheduler, this node as one, or this node alone.
    pub decided: IntCounterVec,
    /// How long a scheduler took to answer, in seconds.
    pub asked: HistogramVec,
    /// Log lines that were dropped because their reader was slow.
    pub lines_dropped: IntCounter,
    /// Requests under way.
    pub under_way: IntGauge,
    /// The version of the configuration in force.
    pub version: IntGauge,
    /// The era of the store.
    pub era: IntGauge,
    /// Eras that were shown, by what became of it.
    pub eras: IntCounterVec,
    /// Runners known, by state.
    pub runners: IntGaugeVec,
    /// Other nodes heard lately.
    pub nodes: IntGauge,
    /// When the store last answered, in seconds since 1970, by what was followed.
    pub answered: IntGaugeVec,
    /// Configurations that nodes copy from each other, by direction and how it ended.
    pub copies: IntCounterVec,
    /// Bytes of these copies, by direction.
    pub copy_bytes: IntCounterVec,
    /// Objects in the store that are of another writer, by what they stand for and what is wrong.
    pub foreign: IntCounterVec,
    dropped: Dropped,
}

const FIRST_BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0];
const ASKED_BUCKETS: [f64; 7] = [0.001, 0.002, 0.004, 0.008, 0.016, 0.03, 0.06];
const PAUSE_BUCKETS: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 2.0];

/// Makes and registers metrics.
struct Maker(Registry);

impl Maker {
    /// A registration fails only for a wrong or repeated name, and the names are all below.
    fn keep<T: Collector + Clone + 'static>(&self, made: prometheus::Result<T>) -> T {
        let made = made.expect("the names of metrics are right");
        self.0.register(Box::new(made.clone())).expect("each metric has a name of its own");
        made
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.keep(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.keep(IntCounter::new(name, help))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.keep(IntGauge::new(name, help))
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.keep(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    fn times(&self, name: &str, help: &str, buckets: &[f64], labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.keep(HistogramVec::new(opts, labels))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let m = Maker(Registry::new());
        Self {
            requests: m.counters(
                "sardinepick_requests_total",
                "Requests by how they ended",
                &["route", "kind", "outcome", "reason"],
            ),
            first: m.times(
                "sardinepick_first_byte_seconds",
                "Seconds until the first of an answer's content",
                &FIRST_BUCKETS,
                &["kind", "outcome"],
            ),
            pause: m.times(
                "sardinepick_event_pause_seconds",
                "Seconds between events of a stream",
                &PAUSE_BUCKETS,
                &["route"],
            ),
            calls: m.counters(
                "sardinepick_runner_calls_total",
                "Calls to runners by how they ended",
                &["runner", "step", "outcome"],
            ),
            permits: m.counters(
                "sardinepick_permits_total",
                "Permits to send to runners with a rate limit, by what came of them and who decided",
                &["outcome", "by"],
            ),
            drains: m.counters(
                "sardinepick_runners_leaving_total",
                "Runners that leave by their own word, by where that was heard",
                &["source"],
            ),
            back_offs: m.counters(
                "sardinepick_back_offs_total",
                "Answers by which runners refuse requests for a time, by what came of them",
                &["outcome"],
            ),
            limits: m.counters(
                "sardinepick_rate_limit_changes_total",
                "Rate limits of runners by how they changed",
                &["change"],
            ),
            plans: m.counters("sardinepick_plans_total", "Generations by their way", &["plan"]),
            extras: m.counters(
                "sardinepick_extra_arrivals_total",
                "Arrivals beyond the first, by what the budget said",
                &["service", "granted"],
            ),
            ends: m.counter("sardinepick_runner_ends_total", "Calls under which a runner ended"),
            quarantine: m.counters(
                "sardinepick_quarantine_total",
                "Requests that are not run, by what becomes of them",
                &["event"],
            ),
            connections: m
                .counter("sardinepick_connections_total", "Connections made to runners and store"),
            leases: m.counters(
                "sardinepick_lease_changes_total",
                "Changes of the lease on the duties, by what became of it",
                &["outcome"],
            ),
            duty_calls: m.counters(
                "sardinepick_duty_calls_total",
                "Calls to the platform by the holder of the duties, by what came of them",
                &["call", "outcome"],
            ),
            scaled: m.gauges(
                "sardinepick_scaled_runners",
                "Runners of services that are ordered: needed, and there by kind",
                &["service", "what"],
            ),
            windows: m.counters(
                "sardinepick_usage_windows_total",
                "Windows of usage by what became of them",
                &["outcome"],
            ),
            usage_bytes: m.counters(
                "sardinepick_usage_bytes_total",
                "Bytes of usage between nodes",
                &["direction"],
            ),
            unknown_keys: m.counters(
                "sardinepick_unknown_keys_total",
                "Keys that no known account has, by what ruled out that they are new",
                &["outcome"],
            ),
            store_calls: m.counters(
                "sardinepick_store_calls_total",
                "Calls to the store",
                &["purpose", "outcome"],
            ),
            beat_bytes: m.counters(
                "sardinepick_beat_bytes_total",
                "Bytes of beats between nodes",
                &["direction"],
            ),
            schedule_bytes: m.counters(
                "sardinepick_schedule_bytes_total",
                "Bytes between nodes and schedulers",
                &["direction"],
            ),
            decided: m.counters("sardinepick_decided_total", "Placements by who decided", &["by"]),
            asked: m.times(
                "sardinepick_asked_seconds",
                "Seconds until a scheduler's answer",
                &ASKED_BUCKETS,
                &["step"],
            ),
            lines_dropped: m.counter("sardinepick_log_lines_dropped_total", "Log lines dropped"),
            under_way: m.gauge("sardinepick_under_way", "Requests under way"),
            version: m.gauge("sardinepick_configuration_version", "Version of the configuration"),
            era: m.gauge("sardinepick_store_era", "Era of the store"),
            eras: m.counters(
                "sardinepick_store_eras_total",
                "Eras of the store that were new, or not believed",
                &["outcome"],
            ),
            runners: m.gauges("sardinepick_runners", "Runners known", &["state"]),
            nodes: m.gauge("sardinepick_nodes", "Other nodes heard lately"),
            answered: m.gauges(
                "sardinepick_store_answered_timestamp_seconds",
                "When the store last answered",
                &["what"],
            ),
            copies: m.counters(
                "sardinepick_configuration_copies_total",
                "Configurations copied between nodes",
                &["direction", "outcome"],
            ),
            copy_bytes: m.counters(
                "sardinepick_configuration_copy_bytes_total",
                "Bytes of configurations copied between nodes",
                &["direction"],
            ),
            foreign: m.counters(
                "sardinepick_foreign_objects_total",
                "Objects of other writers in the store",
                &["what", "reason"],
            ),
            dropped: Dropped::default(),
            registry: m.0,
        }
    }
}

impl Metrics {
    /// Metrics that also tell how many log lines were dropped.
    pub fn new(dropped: Dropped) -> Self {
        Self { dropped, ..Self::default() }
    }

    /// All metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let told = self.lines_dropped.get();
        self.lines_dropped.inc_by(self.dropped.count().saturating_sub(told));
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!(error:% = error; "writing metrics");
        }
        out
    }
}
