//! Log lines with key-value fields, and the bridge from dropshot's logger.

use std::io::Write as _;

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};

use crate::settings::LogFormat;

/// Starts logging to standard error. A second start in one process is left out.
pub fn start(level: LevelFilter, format: LogFormat) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    // Libraries speak at their own levels; of the chatty ones only warnings are wanted.
    for chatty in ["hyper", "h2", "tower", "tonic", "hyper_util", "dropshot"] {
        builder.filter_module(chatty, level.min(LevelFilter::Warn));
    }
    if format == LogFormat::Json {
        builder.format(write_json);
    }
    if builder.try_init().is_err() {
        log::debug!("logging was started before");
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

fn write_json(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields.0.insert("fields_error".to_owned(), json!(error.to_string()));
    }
    let mut line = fields.0;
    line.insert("time".to_owned(), json!(out.timestamp_millis().to_string()));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("target".to_owned(), json!(record.target()));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    writeln!(out, "{}", serde_json::Value::Object(line))
}

/// Passes dropshot's records on to `log`. Its record for each request is left at debug.
pub struct Bridge;

impl slog::Drain for Bridge {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let level = match record.level() {
            slog::Level::Critical | slog::Level::Error => log::Level::Error,
            slog::Level::Warning => log::Level::Warn,
            slog::Level::Info | slog::Level::Debug => log::Level::Debug,
            slog::Level::Trace => log::Level::Trace,
        };
        log::log!(target: "dropshot", level, "{}", record.msg());
        Ok(())
    }
}
