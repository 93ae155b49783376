//! The settings of a node, read from an INI file and checked as a whole.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use log::LevelFilter;
use sardinepick_lib::config::read::parse_duration;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::Name;
use sardinepick_lib::lease::Term;
use strum::{Display, EnumString};
use thiserror::Error;

/// A mistake in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{file}: [{section}] {key}: {problem}; accepted: {accepted}")]
pub struct Mistake {
    /// The file.
    pub file: String,
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// The accepted values.
    pub accepted: String,
}

/// An error that makes settings unusable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {source}")]
    Read {
        /// The file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not in INI format.
    #[error("{file}: line {line}, column {column}: {message}")]
    Form {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The column.
        column: usize,
        /// The parse error.
        message: String,
    },
    /// All mistakes in the file.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Mistakes(Vec<Mistake>),
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the node, as in the platform's VM list.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The address for clients and operators.
    pub front: SocketAddr,
    /// The address for other nodes, for datagrams and calls.
    pub peer: SocketAddr,
    /// The address of the platform's API.
    pub platform: SocketAddr,
    /// The addresses of nodes to contact until the VM list has been read.
    pub seeds: Vec<SocketAddr>,
    /// The digest of a key that has all rights as long as no operator is configured.
    pub bootstrap_key: Option<Digest>,
    /// The maximum size of a request body in bytes.
    pub max_body: usize,
    /// The space for all request bodies of this node in bytes; twice the largest body at least.
    pub body_space: usize,
    /// The maximum number of queued requests per service at this node.
    pub queue: usize,
    /// The timeout for receiving a request body.
    pub body_timeout: Duration,
    /// How long clients may cache the list of addresses.
    pub validity: Duration,
    /// How long a graceful shutdown may take before requests are aborted.
    pub shutdown_limit: Duration,
    /// How often the load of runners is queried.
    pub load_period: Duration,
    /// How long an upstream may send nothing for a request in progress.
    pub stall_timeout: Duration,
    /// The timeout for connecting to an upstream.
    pub connect_timeout: Duration,
    /// The timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// How often the VM list is read.
    pub list_period: Duration,
    /// The terms of leases on services.
    pub term: Term,
    /// The log level.
    pub log_level: LevelFilter,
    /// The log format.
    pub log_format: LogFormat,
}

const SECTIONS: [(&str, &[&str]); 6] = [
    ("node", &["name", "data_centre", "front", "peer", "seeds"]),
    ("platform", &["address", "timeout", "list_period"]),
    ("administration", &["bootstrap_key"]),
    ("limits", &["max_body", "body_space", "queue", "body_timeout", "validity", "shutdown_limit"]),
    ("upstream", &["load_period", "stall_timeout", "connect_timeout", "lease_ttl", "lease_margin"]),
    ("log", &["level", "format"]),
];

pub(crate) const NAME_FORM: &str = "a name of a-z, 0-9, '-', '_' and '.'";
pub(crate) const ADDRESS_FORM: &str = "an IP address and port such as 10.0.0.7:8000";
pub(crate) const DURATION_FORM: &str = "a time such as 500ms, 30s or 5m";
const BODY_SPACE_FORM: &str = "a number of bytes from 1048576 to 17179869184";
const BODY_BYTES_FORM: &str = "a number of bytes from 1024 to 67108864";
const QUEUE_FORM: &str = "a whole number from 1 to 1000000";
pub(crate) const LEVEL_FORM: &str = "off, error, warn, info, debug or trace";
pub(crate) const FORMAT_FORM: &str = "text or json";
const KEY_FORM: &str = "the SHA-256 of a key, 64 hexadecimal digits";

/// Reads values and collects mistakes.
pub(crate) struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
    mistakes: Vec<Mistake>,
}

/// The sections of a settings file and the keys of each.
pub(crate) type Sections = [(&'static str, &'static [&'static str])];

/// Parses the text of a settings file with `collect` and reports all mistakes at once.
pub(crate) fn parse_sections<T>(
    file: &str,
    text: &str,
    sections: &Sections,
    collect: impl FnOnce(&mut Reader<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let ini = Ini::load_from_str(text).map_err(|error| SettingsError::Form {
        file: file.to_owned(),
        line: error.line,
        column: error.col,
        message: error.msg.to_string(),
    })?;
    let mut r = Reader { file, ini: &ini, mistakes: Vec::new() };
    r.check_names(sections);
    match collect(&mut r) {
        Some(settings) if r.mistakes.is_empty() => Ok(settings),
        _ => Err(SettingsError::Mistakes(r.mistakes)),
    }
}

/// Reads a settings file. Returns its path as text and its content.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(source) => Err(SettingsError::Read { file, source }),
    }
}

impl Reader<'_> {
    pub(crate) fn mistake(&mut self, section: &str, key: &str, problem: String, accepted: &str) {
        self.mistakes.push(Mistake {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem,
            accepted: accepted.to_owned(),
        });
    }

    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.ini.get_from(Some(section), key)?.trim().to_owned();
        let parsed = parse(&value);
        if parsed.is_none() {
            self.mistake(section, key, format!("{value:?} is not accepted"), accepted);
        }
        parsed
    }

    /// Whether a key is set.
    pub(crate) fn has(&self, section: &str, key: &str) -> bool {
        self.ini.get_from(Some(section), key).is_some()
    }

    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.mistake(section, key, "is not set".to_owned(), accepted);
            return None;
        }
        self.optional(section, key, accepted, parse)
    }

    pub(crate) fn duration(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let accepted = |text: &str| parse_duration(text).filter(|s| !s.is_zero());
        self.optional(section, key, DURATION_FORM, accepted).unwrap_or(default)
    }

    fn check_names(&mut self, sections: &Sections) {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            let known = sections.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = known else {
                for (key, _) in properties {
                    let names: Vec<&str> = sections.iter().map(|(name, _)| *name).collect();
                    let accepted = format!("sections {}", names.join(", "));
                    self.mistake(section, key, "is in no known section".to_owned(), &accepted);
                }
                continue;
            };
            for (key, _) in properties {
                if !keys.contains(&key) {
                    let accepted = format!("keys {}", keys.join(", "));
                    self.mistake(section, key, "is not a known key".to_owned(), &accepted);
                }
            }
        }
    }
}

pub(crate) fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

pub(crate) fn usable_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let wildcard = match address.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    (!wildcard).then_some(address)
}

pub(crate) fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',').map(str::trim).filter(|t| !t.is_empty()).map(parsed).collect()
}

pub(crate) fn within<T: FromStr + PartialOrd + Display + Copy>(
    text: &str,
    min: T,
    max: T,
) -> Option<T> {
    parsed(text).filter(|value| *value >= min && *value <= max)
}

const MIN_BODY_BYTES: usize = 1024;
const MIN_BODY_SPACE_BYTES: usize = 1 << 20;
const MAX_BODY_SPACE_BYTES: usize = 16 << 30;
const MAX_BODY_BYTES: usize = 64 << 20;
const MAX_QUEUE: usize = 1_000_000;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// All mistakes in it, at once.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// All mistakes in it, at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        parse_sections(file, text, &SECTIONS, collect)
    }
}

fn collect(r: &mut Reader<'_>) -> Option<Settings> {
    let name = r.required("node", "name", NAME_FORM, parsed);
    let data_centre = r.required("node", "data_centre", NAME_FORM, parsed);
    let front = r.required("node", "front", ADDRESS_FORM, usable_address);
    let peer = r.required("node", "peer", ADDRESS_FORM, usable_address);
    let seeds = r.optional("node", "seeds", "addresses with ',' between them", addresses);
    let platform = r.required("platform", "address", ADDRESS_FORM, usable_address);
    let platform_timeout = r.duration("platform", "timeout", Duration::from_secs(2));
    let list_period = r.duration("platform", "list_period", Duration::from_secs(2));
    let bootstrap_key = r.optional("administration", "bootstrap_key", KEY_FORM, parsed);
    let max_body = r.optional("limits", "max_body", BODY_BYTES_FORM, |t| {
        within(t, MIN_BODY_BYTES, MAX_BODY_BYTES)
    });
    let body_space = r.optional("limits", "body_space", BODY_SPACE_FORM, |t| {
        within(t, MIN_BODY_SPACE_BYTES, MAX_BODY_SPACE_BYTES)
    });
    let queue = r.optional("limits", "queue", QUEUE_FORM, |t| within(t, 1, MAX_QUEUE));
    let body_timeout = r.duration("limits", "body_timeout", Duration::from_secs(20));
    let validity = r.duration("limits", "validity", sardinepick_lib::directory::VALIDITY);
    let shutdown_limit = r.duration("limits", "shutdown_limit", Duration::from_secs(120));
    let load_period = r.duration("upstream", "load_period", Duration::from_secs(1));
    let stall_timeout = r.duration("upstream", "stall_timeout", Duration::from_secs(10));
    let connect_timeout = r.duration("upstream", "connect_timeout", Duration::from_secs(1));
    let term = Term {
        ttl: r.duration("upstream", "lease_ttl", Term::default().ttl),
        margin: r.duration("upstream", "lease_margin", Term::default().margin),
    };
    let log_level = r.optional("log", "level", LEVEL_FORM, parsed);
    let log_format = r.optional("log", "format", FORMAT_FORM, parsed);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        front: front?,
        peer: peer?,
        platform: platform?,
        seeds: seeds.unwrap_or_default(),
        bootstrap_key,
        max_body: max_body.unwrap_or(1 << 20),
        body_space: body_space.unwrap_or(64 << 20),
        queue: queue.unwrap_or(10_000),
        body_timeout,
        validity,
        shutdown_limit,
        load_period,
        stall_timeout,
        connect_timeout,
        platform_timeout,
        list_period,
        term,
        log_level: log_level.unwrap_or(LevelFilter::Info),
        log_format: log_format.unwrap_or_default(),
    })
}
