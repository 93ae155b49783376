//! The settings of a serving node.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use sardinepick_lib::decimal;
use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_lib::fleet::holding::{Rate, Resources, Size};
use sardinepick_lib::fleet::shutdown;
use sardinepick_lib::id::{DataCentre, NodeId};
use sardinepick_lib::scale::need::Policy;

use crate::settings::{
    ADDRESS_FORM, FORMAT_FORM, LEVEL_FORM, LogFormat, Reader, Sections, SettingsError, addresses,
    parse_sections, parsed, read_file, usable_address, within,
};

/// The settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The address for look-ups.
    pub lookup: SocketAddr,
    /// The address for other nodes.
    pub peer: SocketAddr,
    /// The address for metrics and state.
    pub metrics: SocketAddr,
    /// Peer addresses of nodes to join, also while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The bounds of a service's retry budget, across all nodes.
    pub budget: Bounds,
    /// How long a node may take to shut down.
    pub grace: Duration,
    /// The longest time for which callers may cache a look-up answer.
    pub max_lookup_ttl: Duration,
    /// The minimum time between the calls of two successive holders of the duties lease.
    pub call_gap: Duration,
    /// The address for platform calls by the holder of the duties lease; `None` if there are none.
    pub platform: Option<SocketAddr>,
    /// The length of usage windows; `None` if usage is not reported.
    pub usage_window: Option<Duration>,
    /// Whether the time of work on runners is predicted by what is learned of them.
    pub runner_model: bool,
    /// How the required number of runners is determined.
    pub capacity_policy: Policy,
    /// What the node has, from which the bounds of what it holds are derived.
    pub limits: Resources,
    /// Whether the capacity of pools is shared fairly among client accounts.
    pub fair_shares: bool,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// The log format.
    pub log_format: LogFormat,
}

const SECTIONS: [(&str, &[&str]); 12] = [
    ("node", &["name", "data_centre", "front", "ready", "lookup", "peer", "metrics", "seeds"]),
    ("store", &["address"]),
    ("retry", &["ratio", "allowance", "window_s"]),
    ("stop", &["grace_s", "longest_validity_s"]),
    ("orders", &["turns_ms"]),
    ("platform", &["address"]),
    ("usage", &["window_s"]),
    ("runner_model", &["enabled"]),
    ("capacity", &["policy"]),
    ("limits", &LIMIT_KEYS),
    ("fair_shares", &["enabled"]),
    ("log", &["level", "format"]),
];
/// The keys of the section `[limits]`.
const LIMIT_KEYS: [&str; 3] = ["memory_mb", "descriptors", "link_mbps"];

const ID_FORM: &str = "text of 1 to 256 bytes";
const SWITCH_FORM: &str = "true or false";
const RATIO_FORM: &str = "a number from 0 to 10";
const ALLOWANCE_FORM: &str = "a number from 0 to 1000000";
const MILLIS_FORM: &str = "a whole number of milliseconds from 1 to 3600000";
const POLICY_FORM: &str = "initial or measured";
const AMOUNT_FORM: &str = "a number from 1 to 10000000";
const SECONDS_FORM: &str = "a number of seconds from 0.1 to 3600";

/// The default retry budget: a fifth of the requests plus ten, per ten seconds.
const DEFAULT_RETRY_BUDGET: Bounds =
    Bounds { ratio: 0.2, allowance: 10.0, window: Duration::from_secs(10) };
/// The default shutdown time.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The default time between the calls of two holders of the duties lease.
const DEFAULT_CALL_GAP: Duration = Duration::from_secs(3);
/// The default limit for caching look-up answers.
const DEFAULT_MAX_LOOKUP_TTL: Duration = Duration::from_secs(5);

fn seconds(text: &str) -> Option<Duration> {
    within(text, 0.1, 3600.0).map(Duration::from_secs_f64)
}

/// An amount of a resource. The platform may write a whole number with a decimal point.
fn amount(text: &str) -> Option<f64> {
    decimal::read(text).ok().filter(|number| (1.0..=1e7).contains(number))
}

fn parse_value<T: FromStr>(text: &str) -> Option<T> {
    parsed(text)
}

impl Settings {
    /// How long callers may cache a look-up answer.
    pub fn lookup_ttl(&self) -> Duration {
        shutdown::lookup_ttl(self.grace, self.max_lookup_ttl)
    }

    /// The seeds other than this node.
    pub fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied().filter(|seed| *seed != self.peer)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// All errors in the file, at once.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    /// All errors in the text, at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let sections: &Sections = &SECTIONS;
        parse_sections(file, text, sections, collect)
    }
}

/// Reads the section `[limits]`, whose keys belong together.
fn limits(r: &mut Reader<'_>) -> Option<Resources> {
    if LIMIT_KEYS.iter().all(|key| !r.has("limits", key)) {
        return Some(Resources::default());
    }
    let [memory, descriptors, link] =
        LIMIT_KEYS.map(|key| r.required("limits", key, AMOUNT_FORM, amount));
    Some(Resources {
        memory: Size::of_megabytes(memory?),
        descriptors: descriptors? as u32,
        link: Rate::of_megabits(link?),
    })
}

fn collect(r: &mut Reader<'_>) -> Option<Settings> {
    let name = r.required("node", "name", ID_FORM, parse_value);
    let data_centre = r.required("node", "data_centre", ID_FORM, parse_value);
    let mut address = |key| r.required("node", key, ADDRESS_FORM, usable_address);
    let (front, ready, lookup) = (address("front"), address("ready"), address("lookup"));
    let (peer, metrics) = (address("peer"), address("metrics"));
    let seeds = r.optional("node", "seeds", "addresses with ',' between them", addresses);
    let store = r.required("store", "address", ADDRESS_FORM, usable_address);
    let ratio = r.optional("retry", "ratio", RATIO_FORM, |t| within(t, 0.0, 10.0));
    let allowance = r.optional("retry", "allowance", ALLOWANCE_FORM, |t| within(t, 0.0, 1e6));
    let window = r.optional("retry", "window_s", SECONDS_FORM, seconds);
    let grace = r.optional("stop", "grace_s", SECONDS_FORM, seconds);
    let max_lookup_ttl = r.optional("stop", "longest_validity_s", SECONDS_FORM, seconds);
    let call_gap = r.optional("orders", "turns_ms", MILLIS_FORM, |t| within(t, 1, 3_600_000));
    let platform = r.optional("platform", "address", ADDRESS_FORM, usable_address);
    let usage_window = r.optional("usage", "window_s", SECONDS_FORM, seconds);
    let runner_model = r.optional("runner_model", "enabled", SWITCH_FORM, parse_value);
    let capacity_policy = r.optional("capacity", "policy", POLICY_FORM, parse_value);
    let limits = limits(r);
    let fair_shares = r.optional("fair_shares", "enabled", SWITCH_FORM, parse_value);
    let log_level = r.optional("log", "level", LEVEL_FORM, parsed);
    let log_format = r.optional("log", "format", FORMAT_FORM, parsed);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        front: front?,
        ready: ready?,
        lookup: lookup?,
        peer: peer?,
        metrics: metrics?,
        seeds: seeds.unwrap_or_default(),
        store: store?,
        budget: Bounds {
            ratio: ratio.unwrap_or(DEFAULT_RETRY_BUDGET.ratio),
            allowance: allowance.unwrap_or(DEFAULT_RETRY_BUDGET.allowance),
            window: window.unwrap_or(DEFAULT_RETRY_BUDGET.window),
        },
        grace: grace.unwrap_or(DEFAULT_GRACE_PERIOD),
        max_lookup_ttl: max_lookup_ttl.unwrap_or(DEFAULT_MAX_LOOKUP_TTL),
        call_gap: call_gap.map_or(DEFAULT_CALL_GAP, Duration::from_millis),
        platform,
        usage_window,
        runner_model: runner_model.unwrap_or(false),
        capacity_policy: capacity_policy.unwrap_or_default(),
        limits: limits?,
        fair_shares: fair_shares.unwrap_or(false),
        log_level: log_level.unwrap_or(LevelFilter::Info),
        log_format: log_format.unwrap_or(LogFormat::Json),
    })
}
