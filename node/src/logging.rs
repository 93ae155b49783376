//! Log lines with key-value fields on standard output, and the bridge from dropshot's logger.
//!
//! A line is handed to a thread that writes; where that thread's reader is slow, lines are dropped
//! and counted, so that no request ever waits for the reader of the log.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};

use crate::settings::LogFormat;

/// How many lines may wait for the thread that writes. At 40 lines a second of 300 bytes, and ten
/// times that under load, this is ten seconds and 1.2 MB.
const LINES_AHEAD: usize = 4_096;

/// Bytes after which waiting lines are written: some 50 lines of 300 bytes a system call.
const FULL_BATCH: usize = 16 << 10;

/// Lines that were dropped since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// How many.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The end of the queue at which lines go in.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines as they come, those that wait together in one go, and says how many were dropped
/// as soon as there is room again.
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &Dropped, mut out: impl Write) {
    let mut told = 0;
    while let Ok(mut batch) = lines.recv() {
        // Without a bound nothing is written, nor dropped, as long as lines come quickly.
        while batch.len() < FULL_BATCH
            && let Ok(more) = lines.try_recv()
        {
            batch.extend_from_slice(&more);
        }
        let count = dropped.count();
        if count > told {
            let line =
                json!({"level": "WARN", "message": "log lines dropped", "lines": count - told});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
            told = count;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; the lines have nowhere to go.
            return;
        }
    }
}

/// A writer that never blocks, over a thread that writes to `out`.
///
/// # Errors
/// The thread cannot be started.
pub fn queue(out: impl Write + Send + 'static) -> io::Result<(impl Write + Send, Dropped)> {
    let (sender, receiver) = sync_channel(LINES_AHEAD);
    let dropped = Dropped::default();
    let counted = dropped.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &counted, out))?;
    Ok((Queue { lines: sender, dropped: dropped.clone() }, dropped))
}

/// Starts logging to standard output. A second start in one process is left out. Gives the count of
/// lines that are dropped.
pub fn start(level: LevelFilter, format: LogFormat) -> Dropped {
    start_to(level, format, io::stdout())
}

/// Starts logging to `out`, as [`start`] does to standard output.
pub fn start_to(
    level: LevelFilter,
    format: LogFormat,
    out: impl Write + Send + 'static,
) -> Dropped {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).write_style(env_logger::WriteStyle::Never);
    let dropped = match queue(out) {
        Ok((queue, dropped)) => {
            builder.target(env_logger::Target::Pipe(Box::new(queue)));
            dropped
        }
        Err(error) => {
            eprintln!("sardinepickd: no thread for the log, it goes to standard error: {error}");
            Dropped::default()
        }
    };
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
    dropped
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
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
