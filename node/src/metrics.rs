//! Prometheus metrics.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

/// The metrics of one node.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Tokens forwarded to clients.
    pub tokens: IntCounter,
    /// Attempts beyond the first, by kind.
    pub retries: IntCounterVec,
    /// Frames of older attempts that were dropped.
    pub dropped_frames: IntCounter,
    /// Seconds until the first token, by service.
    pub first_token: HistogramVec,
    /// Seconds between tokens.
    pub token_gap: Histogram,
    /// Claims of idempotency keys by verdict.
    pub claims: IntCounterVec,
    /// Calls to the platform by operation.
    pub store_calls: IntCounterVec,
    /// Bytes to and from other nodes, by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Orders to engines by response.
    pub orders: IntCounterVec,
    /// The configuration generation in force.
    pub generation: IntGauge,
    /// Active nodes.
    pub members: IntGauge,
    /// Requests in progress at this node.
    pub under_way: IntGauge,
}

const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 15.0];
const TOKEN_GAP_BUCKETS: [f64; 9] = [0.001, 0.005, 0.01, 0.02, 0.04, 0.076, 0.15, 0.5, 2.0];

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that are all zero.
    ///
    /// # Panics
    /// Never: all names are valid and unique.
    pub fn new() -> Self {
        let registry = Registry::new();
        let name = |n: &str| format!("sardinepick_{n}");
        let vec = |n: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name(n), help), labels).expect("opts");
            registry.register(Box::new(counter.clone())).expect("registered once");
            counter
        };
        let counter = |n: &str, help: &str| {
            let counter = IntCounter::new(name(n), help).expect("opts");
            registry.register(Box::new(counter.clone())).expect("registered once");
            counter
        };
        let gauge = |n: &str, help: &str| {
            let gauge = IntGauge::new(name(n), help).expect("opts");
            registry.register(Box::new(gauge.clone())).expect("registered once");
            gauge
        };
        let first_token = HistogramVec::new(
            HistogramOpts::new(name("first_token_seconds"), "Seconds until the first token")
                .buckets(FIRST_TOKEN_BUCKETS.to_vec()),
            &["service"],
        )
        .expect("opts");
        let token_gap = Histogram::with_opts(
            HistogramOpts::new(name("token_gap_seconds"), "Seconds between tokens")
                .buckets(TOKEN_GAP_BUCKETS.to_vec()),
        )
        .expect("opts");
        registry.register(Box::new(first_token.clone())).expect("registered once");
        registry.register(Box::new(token_gap.clone())).expect("registered once");
        Self {
            requests: vec("requests_total", "Requests by how they ended", &["service", "end"]),
            tokens: counter("tokens_total", "Tokens passed to callers"),
            retries: vec("retries_total", "Attempts beyond the first", &["kind"]),
            dropped_frames: counter("dropped_frames_total", "Frames of older attempts dropped"),
            claims: vec("claims_total", "Claims of request keys by verdict", &["verdict"]),
            store_calls: vec("store_calls_total", "Calls to the platform", &["step"]),
            peer_bytes: vec("peer_bytes_total", "Bytes between nodes", &["kind", "direction"]),
            orders: vec("orders_total", "Orders to engines by answer", &["answer"]),
            generation: gauge("generation", "The configuration generation in force"),
            members: gauge("members", "Nodes that take part"),
            under_way: gauge("under_way", "Requests under way"),
            first_token,
            token_gap,
            registry,
        }
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!("failed to encode metrics: {error}");
        }
        out
    }
}
