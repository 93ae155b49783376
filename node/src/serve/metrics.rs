//! Prometheus metrics of a serving node.

use prometheus::core::Collector;
use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::logging::DroppedLines;

/// The metrics of one node.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route, kind, outcome and reason.
    pub requests: IntCounterVec,
    /// Time to the first byte of the response body in seconds, by kind and outcome.
    pub first_byte: HistogramVec,
    /// Time between events of a stream, in seconds.
    pub event_pause: HistogramVec,
    /// Calls to runners by runner, step and outcome.
    pub runner_calls: IntCounterVec,
    /// Calls that brought no answer of a run, by step and by the proof that they did not run.
    pub unanswered_calls: IntCounterVec,
    /// Answers that did not name the request of their call, by kind.
    pub foreign_answers: IntCounterVec,
    /// Malformed answers, by what is wrong.
    pub malformed_answers: IntCounterVec,
    /// Generations by plan.
    pub plans: IntCounterVec,
    /// Permits for requests to rate-limited runners, by outcome and by which node decided.
    pub permits: IntCounterVec,
    /// Runners that announce that they leave, by source of the announcement.
    pub leaving_runners: IntCounterVec,
    /// Back-off answers of runners, by outcome.
    pub back_offs: IntCounterVec,
    /// Changes of runners' rate limits, by kind.
    pub rate_limit_changes: IntCounterVec,
    /// Arrivals beyond the first, by whether the retry budget granted them.
    pub extra_arrivals: IntCounterVec,
    /// Moves of generations to another runner, by cause and outcome.
    pub moves: IntCounterVec,
    /// Streams that callers took up, by outcome and by where the version was known from.
    pub stream_resumptions: IntCounterVec,
    /// Bindings of streams that this node remembers.
    pub stream_bindings: IntGauge,
    /// Bindings that were evicted before their streams' deadlines.
    pub stream_bindings_evicted: IntCounter,
    /// Bindings sent to other nodes, by outcome.
    pub stream_bindings_shared: IntCounterVec,
    /// Calls during which a runner crashed.
    pub runner_crashes: IntCounter,
    /// Checks of runners whose calls broke, by result.
    pub crash_checks: IntCounterVec,
    /// Calls of requests under which runners have ended, by the stage of the request.
    pub suspect_calls: IntCounterVec,
    /// Quarantined requests by event.
    pub quarantine: IntCounterVec,
    /// Changes of the quarantine entries of prompt parts, by stage and cause.
    pub part_changes: IntCounterVec,
    /// Requests with a suspect prompt part, by what became of them.
    pub part_admissions: IntCounterVec,
    /// Held bytes, by purpose.
    pub held_bytes: IntGaugeVec,
    /// Request bodies that wait for space.
    pub waiting_bodies: IntGauge,
    /// Request bodies that are being read and have stalled, as of the last reading of the metrics.
    pub stalled_bodies: IntGauge,
    /// Requests refused because the node is full, by cause.
    pub holding_refusals: IntCounterVec,
    /// Answers and streams that were cut to release memory, by purpose.
    pub holding_sheds: IntCounterVec,
    /// Pauses of reading from a runner, by purpose.
    pub holding_pauses: IntCounterVec,
    /// Connections opened.
    pub connections: IntCounter,
    /// Open connections of callers, by listener.
    pub caller_connections: IntGaugeVec,
    /// Connections of callers that ended, by listener, cause, and whether a response was not
    /// complete.
    pub caller_connection_ends: IntCounterVec,
    /// Connections to runners that this node forwards for other nodes.
    pub relays: IntGauge,
    /// Connections of this node to runners through other nodes.
    pub relayed_connections: IntGauge,
    /// Runners that this node reaches only through other nodes.
    pub closed_paths: IntGauge,
    /// Connections to runners through another node, by this node's role and outcome.
    pub relays_opened: IntCounterVec,
    /// Bytes forwarded for other nodes, by direction.
    pub relay_bytes: IntCounterVec,
    /// Connections that could not be opened, by address and cause.
    pub connect_failures: IntCounterVec,
    /// Reservations of runners whose request has not been sent.
    pub undelivered_reservations: IntGauge,
    /// Calls to the store by purpose and outcome.
    pub store_calls: IntCounterVec,
    /// Requests with an unknown key, by how it was ruled out that the key is new.
    pub unknown_keys: IntCounterVec,
    /// Changes of the duties lease, by outcome.
    pub lease_changes: IntCounterVec,
    /// Platform calls by the holder of the duties lease, by call and outcome.
    pub duty_calls: IntCounterVec,
    /// Runners of services with scaling: needed and needed by the load (at the holder of the duties),
    /// and present by kind.
    pub scaled_runners: IntGaugeVec,
    /// Plain requests that all usable runners had rejected, by whether they waited for a slot.
    pub plain_waits: IntCounterVec,
    /// Reads and writes of capacity records, by outcome.
    pub capacity_records: IntCounterVec,
    /// Usage windows by outcome.
    pub usage_windows: IntCounterVec,
    /// Bytes of usage messages by direction.
    pub usage_bytes: IntCounterVec,
    /// Bytes of heartbeats by direction.
    pub heartbeat_bytes: IntCounterVec,
    /// Bytes of scheduler messages by direction.
    pub schedule_bytes: IntCounterVec,
    /// Placements by who decided: the pool's scheduler, this node as scheduler, or this node alone.
    pub placements: IntCounterVec,
    /// Latency of scheduler answers in seconds.
    pub scheduler_latency: HistogramVec,
    /// Log lines dropped because of a slow reader.
    pub lines_dropped: IntCounter,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Requests that were still in progress at a step of the stop, by step and state.
    pub stop_requests: IntCounterVec,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// The era of the store.
    pub store_era: IntGauge,
    /// Announcements of new store eras, by outcome.
    pub store_eras: IntCounterVec,
    /// The revision of the store that the register of runners is as new as.
    pub register_revision: IntGauge,
    /// The low 32 bits of the digest of the register of runners.
    pub register_digest: IntGauge,
    /// Registers of other nodes that differ from this node's although they should not, by how that
    /// was found.
    pub register_conflicts: IntCounterVec,
    /// Known runners by state.
    pub runners: IntGaugeVec,
    /// Known runners by service and version.
    pub runner_versions: IntGaugeVec,
    /// Other nodes that are currently up.
    pub nodes: IntGauge,
    /// Other nodes from which heartbeats arrive.
    pub nodes_heard: IntGauge,
    /// Age of this node's copies, by kind, in milliseconds.
    pub store_copy_age: IntGaugeVec,
    /// Unix time of the last answer of the store, by watched kind.
    pub store_answered: IntGaugeVec,
    /// Configurations copied between nodes, by direction and outcome.
    pub configuration_copies: IntCounterVec,
    /// Bytes of configuration copies, by direction.
    pub configuration_copy_bytes: IntCounterVec,
    /// Invalid objects in the store, by kind and reason.
    pub invalid_objects: IntCounterVec,
    dropped: DroppedLines,
}

const FIRST_BYTE_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0];
const SCHEDULER_BUCKETS: [f64; 7] = [0.001, 0.002, 0.004, 0.008, 0.016, 0.03, 0.06];
const EVENT_PAUSE_BUCKETS: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 2.0];

/// Creates and registers metrics.
struct Builder(Registry);

impl Builder {
    /// Registration fails only for an invalid or duplicate name, and all names are constants below.
    fn register<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("metric names are valid");
        self.0.register(Box::new(metric.clone())).expect("metric names are unique");
        metric
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    fn times(&self, name: &str, help: &str, buckets: &[f64], labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.register(HistogramVec::new(opts, labels))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let m = Builder(Registry::new());
        Self {
            requests: m.counters(
                "sardinepick_requests_total",
                "Requests by how they ended",
                &["route", "kind", "outcome", "reason"],
            ),
            first_byte: m.times(
                "sardinepick_first_byte_seconds",
                "Seconds until the first of an answer's content",
                &FIRST_BYTE_BUCKETS,
                &["kind", "outcome"],
            ),
            event_pause: m.times(
                "sardinepick_event_pause_seconds",
                "Seconds between events of a stream",
                &EVENT_PAUSE_BUCKETS,
                &["route"],
            ),
            runner_calls: m.counters(
                "sardinepick_runner_calls_total",
                "Calls to runners by how they ended",
                &["runner", "step", "outcome"],
            ),
            unanswered_calls: m.counters(
                "sardinepick_unanswered_calls_total",
                "Calls that brought no answer of a run, by the proof that they did not run",
                &["step", "proof"],
            ),
            foreign_answers: m.counters(
                "sardinepick_foreign_answers_total",
                "Answers that did not name the request of their call",
                &["kind"],
            ),
            malformed_answers: m.counters(
                "sardinepick_malformed_answers_total",
                "Answers that are malformed or end where they should not, by reason",
                &["reason"],
            ),
            permits: m.counters(
                "sardinepick_permits_total",
                "Permits to send to runners with a rate limit, by what came of them and who decided",
                &["outcome", "by"],
            ),
            leaving_runners: m.counters(
                "sardinepick_runners_leaving_total",
                "Runners that leave by their own word, by where that was heard",
                &["source"],
            ),
            back_offs: m.counters(
                "sardinepick_back_offs_total",
                "Answers by which runners refuse requests for a time, by what came of them",
                &["outcome"],
            ),
            rate_limit_changes: m.counters(
                "sardinepick_rate_limit_changes_total",
                "Rate limits of runners by how they changed",
                &["change"],
            ),
            plans: m.counters("sardinepick_plans_total", "Generations by their way", &["plan"]),
            moves: m.counters(
                "sardinepick_generation_moves_total",
                "Moves of generations to another runner.",
                &["cause", "outcome"],
            ),
            extra_arrivals: m.counters(
                "sardinepick_extra_arrivals_total",
                "Arrivals beyond the first, by what the budget said",
                &["service", "granted"],
            ),
            runner_crashes: m
                .counter("sardinepick_runner_ends_total", "Calls under which a runner ended"),
            crash_checks: m.counters(
                "sardinepick_crash_checks_total",
                "Checks of runners whose calls broke, by what they found",
                &["check"],
            ),
            suspect_calls: m.counters(
                "sardinepick_suspect_calls_total",
                "Calls of requests under which runners have ended, by the stage of the request",
                &["stage"],
            ),
            quarantine: m.counters(
                "sardinepick_quarantine_total",
                "Requests that are not run, by what becomes of them",
                &["event"],
            ),
            part_changes: m.counters(
                "sardinepick_part_quarantine_total",
                "Prompt parts on which runners crash, by stage and by cause of the change",
                &["stage", "cause"],
            ),
            part_admissions: m.counters(
                "sardinepick_part_admissions_total",
                "Requests with a suspect prompt part, by what became of them",
                &["event"],
            ),
            caller_connections: m.gauges(
                "sardinepick_caller_connections",
                "Open connections of callers",
                &["port"],
            ),
            caller_connection_ends: m.counters(
                "sardinepick_caller_connection_ends_total",
                "Connections of callers that ended, by cause and by whether a response was incomplete",
                &["port", "cause", "state"],
            ),
            held_bytes: m.gauges(
                "sardinepick_held_bytes",
                "Bytes held for callers and other nodes, by purpose",
                &["purpose"],
            ),
            waiting_bodies: m
                .gauge("sardinepick_waiting_bodies", "Request bodies that wait for memory"),
            stalled_bodies: m
                .gauge("sardinepick_stalled_bodies", "Request bodies whose senders have stalled"),
            holding_refusals: m.counters(
                "sardinepick_holding_refusals_total",
                "Requests and relays refused because the node is full, by cause",
                &["cause"],
            ),
            holding_sheds: m.counters(
                "sardinepick_holding_sheds_total",
                "Answers and streams cut to release memory, by purpose",
                &["purpose"],
            ),
            holding_pauses: m.counters(
                "sardinepick_holding_pauses_total",
                "Pauses of reading from a runner because of memory, by purpose",
                &["purpose"],
            ),
            connections: m
                .counter("sardinepick_connections_total", "Connections made to runners and store"),
            relays: m.gauge(
                "sardinepick_relays",
                "Connections to runners that are forwarded for other nodes",
            ),
            relayed_connections: m.gauge(
                "sardinepick_relayed_connections",
                "Connections of this node to runners through other nodes",
            ),
            closed_paths: m.gauge(
                "sardinepick_closed_paths",
                "Runners that this node reaches only through other nodes",
            ),
            relays_opened: m.counters(
                "sardinepick_relays_opened_total",
                "Connections to runners through another node, by the role of this one and outcome",
                &["role", "outcome"],
            ),
            relay_bytes: m.counters(
                "sardinepick_relay_bytes_total",
                "Bytes forwarded between other nodes and runners",
                &["direction"],
            ),
            connect_failures: m.counters(
                "sardinepick_connect_failures_total",
                "Connections that could not be opened",
                &["address", "cause"],
            ),
            undelivered_reservations: m.gauge(
                "sardinepick_undelivered_reservations",
                "Reservations of runners whose request has not been sent",
            ),
            lease_changes: m.counters(
                "sardinepick_lease_changes_total",
                "Changes of the lease on the duties, by what became of it",
                &["outcome"],
            ),
            duty_calls: m.counters(
                "sardinepick_duty_calls_total",
                "Calls to the platform by the holder of the duties, by what came of them",
                &["call", "outcome"],
            ),
            scaled_runners: m.gauges(
                "sardinepick_scaled_runners",
                "Runners of services that are ordered: needed and load at the holder, and there by kind",
                &["service", "what"],
            ),
            plain_waits: m.counters(
                "sardinepick_plain_waits_total",
                "Plain requests that all usable runners had rejected, by whether they waited",
                &["outcome"],
            ),
            capacity_records: m.counters(
                "sardinepick_capacity_records_total",
                "Reads and writes of the records of required runners, by what came of them",
                &["outcome"],
            ),
            usage_windows: m.counters(
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
            heartbeat_bytes: m.counters(
                "sardinepick_beat_bytes_total",
                "Bytes of beats between nodes",
                &["direction"],
            ),
            schedule_bytes: m.counters(
                "sardinepick_schedule_bytes_total",
                "Bytes between nodes and schedulers",
                &["direction"],
            ),
            placements: m.counters(
                "sardinepick_decided_total",
                "Placements by who decided",
                &["by"],
            ),
            scheduler_latency: m.times(
                "sardinepick_asked_seconds",
                "Seconds until a scheduler's answer",
                &SCHEDULER_BUCKETS,
                &["step"],
            ),
            lines_dropped: m.counter("sardinepick_log_lines_dropped_total", "Log lines dropped"),
            in_progress: m.gauge("sardinepick_under_way", "Requests under way"),
            stop_requests: m.counters(
                "sardinepick_stop_requests_total",
                "Requests that were still in progress at a step of the node's stop, by their state",
                &["step", "state"],
            ),
            configuration_version: m
                .gauge("sardinepick_configuration_version", "Version of the configuration"),
            store_era: m.gauge("sardinepick_store_era", "Era of the store"),
            store_eras: m.counters(
                "sardinepick_store_eras_total",
                "Eras of the store that were new, or not believed",
                &["outcome"],
            ),
            register_revision: m.gauge(
                "sardinepick_register_revision",
                "Revision of the store that the register of runners is as new as",
            ),
            register_digest: m.gauge(
                "sardinepick_register_digest",
                "Low 32 bits of the digest of the register of runners",
            ),
            register_conflicts: m.counters(
                "sardinepick_register_conflicts_total",
                "Registers of nodes that differ although they should not, by how that was found",
                &["found"],
            ),
            runners: m.gauges("sardinepick_runners", "Runners known", &["state"]),
            stream_resumptions: m.counters(
                "sardinepick_stream_resumptions_total",
                "Streams taken up by what came of them and where their version was known from",
                &["outcome", "source"],
            ),
            stream_bindings: m
                .gauge("sardinepick_stream_bindings", "Streams whose version is remembered"),
            stream_bindings_evicted: m.counter(
                "sardinepick_stream_bindings_evicted_total",
                "Streams whose version was forgotten because there were too many",
            ),
            stream_bindings_shared: m.counters(
                "sardinepick_stream_bindings_shared_total",
                "Versions of streams sent to other nodes",
                &["outcome"],
            ),
            runner_versions: m.gauges(
                "sardinepick_runner_versions",
                "Runners known by the version of their software",
                &["service", "version"],
            ),
            nodes: m.gauge("sardinepick_nodes", "Other nodes heard lately"),
            nodes_heard: m.gauge(
                "sardinepick_nodes_heard",
                "Other nodes from which heartbeats have arrived in the last 600 ms",
            ),
            store_copy_age: m.gauges(
                "sardinepick_store_copy_age_milliseconds",
                "Time since the last answer of the store, to any node, that this node's copy reflects",
                &["what"],
            ),
            store_answered: m.gauges(
                "sardinepick_store_answered_timestamp_seconds",
                "When the store last answered",
                &["what"],
            ),
            configuration_copies: m.counters(
                "sardinepick_configuration_copies_total",
                "Configurations copied between nodes",
                &["direction", "outcome"],
            ),
            configuration_copy_bytes: m.counters(
                "sardinepick_configuration_copy_bytes_total",
                "Bytes of configurations copied between nodes",
                &["direction"],
            ),
            invalid_objects: m.counters(
                "sardinepick_foreign_objects_total",
                "Objects of other writers in the store",
                &["what", "reason"],
            ),
            dropped: DroppedLines::default(),
            registry: m.0,
        }
    }
}

impl Metrics {
    /// Creates metrics that include the number of dropped log lines.
    pub fn new(dropped: DroppedLines) -> Self {
        Self { dropped, ..Self::default() }
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let counted = self.lines_dropped.get();
        self.lines_dropped.inc_by(self.dropped.count().saturating_sub(counted));
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!(error:% = error; "cannot encode metrics");
        }
        out
    }
}
