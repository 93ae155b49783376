//! Exact sizes of stored and sent data at different deployment sizes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::assignment;
use sardinepick_lib::config::chunk::{Chunk, split};
use sardinepick_lib::config::record::{Assignment, Field, Key, Kind, Record};
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Incarnation, Name};
use sardinepick_lib::owner::{KEPT_VERSIONS, Member, Table};
use sardinepick_lib::runner::Report;
use sardinepick_lib::unit::{TokenRate, Tokens};
use sardinepick_wire::gossip::Datagram;
use sardinepick_wire::load::{Load, MAX_LOADS_PER_DATAGRAM, RunnerHash};
use smol_str::{SmolStr, ToSmolStr};

use super::figure::Figure;

/// The size of the UDP and IP headers in bytes.
const HEADER_BYTES: usize = 28;

/// The default interval between load messages in a small deployment.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// The numbers of nodes, runners and accounts of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of runners.
    pub runners: usize,
    /// The number of accounts.
    pub accounts: usize,
}

/// The measured sizes, from the current one to the largest supported one.
pub const SIZES: [Size; 4] = [
    Size { nodes: 9, runners: 18, accounts: 100 },
    Size { nodes: 50, runners: 150, accounts: 600 },
    Size { nodes: 150, runners: 450, accounts: 1900 },
    Size { nodes: 550, runners: 1600, accounts: 6800 },
];

/// The name `{kind}-{at}`.
pub fn name(kind: &str, at: usize) -> Name {
    format!("{kind}-{at}").parse().expect("letters and digits make a name")
}

fn set(record: &mut Record, field: Field, value: impl Into<SmolStr>) {
    let Assignment { field, value } = Assignment { field, value: value.into() };
    record.set(field, value);
}

/// The configuration records of a deployment.
pub fn records(size: Size) -> BTreeMap<Key, Arc<Record>> {
    let mut records = BTreeMap::new();
    let mut add = |kind, name: Name, fill: &dyn Fn(&mut Record)| {
        let key = Key { kind, name };
        let mut record = Record::new(key.clone());
        fill(&mut record);
        records.insert(key, Arc::new(record));
    };
    for at in 0..5 {
        add(Kind::Model, name("model", at), &|r| set(r, Field::Version, "1"));
        add(Kind::Service, name("service", at), &|r| {
            set(r, Field::Model, format!("model-{at}"));
        });
    }
    for at in 0..size.runners {
        add(Kind::Runner, name("runner", at), &|r| {
            set(r, Field::Service, format!("service-{}", at % 5));
            set(r, Field::Address, format!("10.{}.{}.7:8000", at / 250, at % 250));
            set(r, Field::DataCentre, format!("dc-{}", at % 5));
            set(r, Field::Fencing, "checked");
            set(r, Field::Slots, "32");
        });
    }
    for at in 0..size.accounts {
        add(Kind::Account, name("account", at), &|r| {
            set(r, Field::Key, Digest::of(&at.to_le_bytes()).to_smolstr());
            set(r, Field::Rate, "20");
            set(r, Field::Concurrency, "64");
        });
    }
    records
}

/// An owner table of `nodes` members with a full history.
pub fn table(nodes: usize) -> Table {
    let member = |at: usize| Member {
        name: name("entry", at),
        incarnation: Incarnation(1_764_000_000_000_000 + at as u64),
        address: format!("10.9.{}.{}:8081", at / 250, at % 250 + 1).parse().expect("an address"),
    };
    let mut members: Vec<Member> = (0..nodes).map(member).collect();
    let mut table = Table::default();
    for version in 0..KEPT_VERSIONS {
        members[version % nodes].incarnation.0 += 1000;
        table = table.with_next_version(members.clone());
    }
    table
}

fn load(runner: &Name) -> Load {
    Load {
        runner: RunnerHash::from(runner),
        age: Duration::from_millis(3),
        report: Report {
            running: 27,
            waiting: 2,
            backlog: Tokens(4300),
            prefill_rate: TokenRate(11_000),
            decode_rate: TokenRate(48),
            ..Report::default()
        },
    }
}

/// The bytes per second that a node sends and receives for load messages, on average and at most, and
/// the largest number of runners that one node uses.
fn load_bytes(size: Size) -> (f64, f64, f64) {
    let nodes: Vec<Name> = (0..size.nodes).map(|at| name("entry", at)).collect();
    let index: BTreeMap<&Name, usize> = nodes.iter().zip(0..).collect();
    let mut messages: BTreeMap<(usize, usize), Vec<Load>> = BTreeMap::new();
    let mut used = vec![0_u32; size.nodes];
    let mut sharing = Vec::new();
    for at in 0..size.runners {
        let runner = name("runner", at);
        assignment::assign_nodes(&runner, &nodes, &mut sharing);
        let observer = index[sharing[0]];
        for sharer in &sharing {
            used[index[sharer]] += 1;
        }
        for sharer in &sharing[1..] {
            messages.entry((observer, index[sharer])).or_default().push(load(&runner));
        }
    }
    let mut bytes = vec![0_usize; size.nodes];
    for ((from, to), loads) in messages {
        for part in loads.chunks(MAX_LOADS_PER_DATAGRAM) {
            let len = Datagram::Loads(part.to_vec()).encode().len() + HEADER_BYTES;
            bytes[from] += len;
            bytes[to] += len;
        }
    }
    let period = assignment::load_period(size.nodes, LOAD_PERIOD).as_secs_f64();
    let total: usize = bytes.iter().sum();
    let mean = total as f64 / size.nodes as f64 / period;
    let most = bytes.iter().max().copied().unwrap_or(0) as f64 / period;
    (mean, most, f64::from(used.iter().max().copied().unwrap_or(0)))
}

/// A linear fit, with the largest relative deviation of a point from it.
struct Line {
    slope: f64,
    residual: f64,
}

fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x) * (p.0 - x)).sum();
    let slope = covariance / variance;
    let deviation = |p: &(f64, f64)| ((y + slope * (p.0 - x)) - p.1).abs() / p.1;
    Line { slope, residual: points.iter().map(deviation).fold(0.0, f64::max) }
}

/// Linear fits of the quantities that should be proportional to one parameter.
fn fit_all(figures: &[Figure]) -> Vec<Figure> {
    let nodes: fn(&Size) -> usize = |s| s.nodes;
    let objects: fn(&Size) -> usize = |s| s.accounts + s.runners;
    let cases = [
        ("table_bytes", "node", nodes),
        ("table_step_bytes", "node", nodes),
        ("config_bytes", "object", objects),
    ];
    let mut fitted = Vec::new();
    for (what, per, of) in cases {
        let value = |size: &Size| {
            let name = format!("scale.{}.{what}", size.nodes);
            figures.iter().find(|f| f.name == name).map_or(0.0, |f| f.value)
        };
        let points: Vec<(f64, f64)> = SIZES.iter().map(|s| (of(s) as f64, value(s))).collect();
        let line = fit(&points);
        fitted.push(Figure::new(format!("scale.fit.{what}.per_{per}"), line.slope));
        fitted.push(Figure::new(format!("scale.fit.{what}.residual"), line.residual));
    }
    fitted
}

/// The figures about sizes.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for size in SIZES {
        let mut add = |name: &str, value: f64| {
            figures.push(Figure::new(format!("scale.{}.{name}", size.nodes), value));
        };
        let (mean, most, used) = load_bytes(size);
        add("loads_bytes_per_s", mean);
        add("loads_bytes_per_s_most", most);
        add("runners_used_most", used);
        let table = table(size.nodes);
        let stored = serde_json::to_vec(&table).expect("a table is serializable as JSON").len();
        add("table_bytes", stored as f64);
        let newest = table.since(sardinepick_lib::id::Version(KEPT_VERSIONS as u64 - 1));
        let delta = serde_json::to_vec(&newest).expect("a table is serializable as JSON").len();
        add("table_step_bytes", delta as f64);
        let (root, chunks) = split(&records(size));
        let sizes = chunks.iter().map(|c| c.bytes.len());
        add("config_bytes", sizes.clone().sum::<usize>() as f64);
        add("config_chunk_bytes_most", sizes.max().unwrap_or(0) as f64);
        add("config_root_bytes", Chunk::write(&root).bytes.len() as f64);
    }
    let fitted = fit_all(&figures);
    figures.extend(fitted);
    figures
}
