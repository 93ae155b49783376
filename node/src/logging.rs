//! Structured logging to standard output, and the adapter for dropshot's logger.
//!
//! Lines are written by a separate thread. If the reader of the output is slow, lines are dropped
//! and counted, so that no request waits for the reader of the log. At the exit of the process,
//! [`Output::flush`] waits for the lines that are still queued.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};

use crate::lock::lock;
use crate::settings::LogFormat;

/// The maximum number of lines queued for the writer thread. At 40 lines of 300 bytes per second,
/// and ten times that under load, this is ten seconds or 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// The size at which a batch of lines is written: about 50 lines of 300 bytes per system call.
const BATCH_BYTES: usize = 16 << 10;

/// The number of lines dropped since the process started.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How many lines the writer thread has written, and whether it will write more.
#[derive(Debug, Default)]
struct Written {
    lines: u64,
    is_ended: bool,
}

/// What the queue and its writer thread share.
#[derive(Debug, Default)]
struct Progress {
    /// The number of lines queued since the process started.
    queued: AtomicU64,
    written: Mutex<Written>,
    /// Signals that `written` has changed.
    changed: Condvar,
}

impl Progress {
    fn update(&self, change: impl FnOnce(&mut Written)) {
        change(&mut lock(&self.written));
        self.changed.notify_all();
    }
}

/// The output of the log.
#[derive(Clone, Debug, Default)]
pub struct Output {
    dropped: DroppedLines,
    progress: Arc<Progress>,
}

impl Output {
    /// Returns the counter of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }

    /// Waits until all lines that have been queued before are written, up to `limit`: the reader of
    /// the output may have stopped reading. Returns whether they are. A failure is not reported:
    /// standard error may have the same reader.
    pub fn flush(&self, limit: Duration) -> bool {
        let target = self.progress.queued.load(Ordering::Acquire);
        let is_pending = |written: &mut Written| written.lines < target && !written.is_ended;
        let written = lock(&self.progress.written);
        let waited = self.progress.changed.wait_timeout_while(written, limit, is_pending);
        let (written, _) = waited.unwrap_or_else(PoisonError::into_inner);
        written.lines >= target
    }
}

/// The sending end of the queue of lines.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    output: Output,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.lines.try_send(bytes.to_vec()) {
            Ok(()) => &self.output.progress.queued,
            Err(_) => &self.output.dropped.0,
        };
        count.fetch_add(1, Ordering::Release);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines in batches, and reports how many were dropped as soon as there is room again.
fn write_lines(lines: &Receiver<Vec<u8>>, output: &Output, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(mut batch) = lines.recv() {
        let mut size = 1;
        // Without a limit, a fast writer would keep this loop from ever writing the batch.
        while batch.len() < BATCH_BYTES
            && let Ok(more) = lines.try_recv()
        {
            batch.extend_from_slice(&more);
            size += 1;
        }
        let count = output.dropped.count();
        if count > reported {
            let line =
                json!({"level": "WARN", "message": "log lines dropped", "lines": count - reported});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
            reported = count;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The output is closed.
            break;
        }
        output.progress.update(|written| written.lines += size);
    }
    output.progress.update(|written| written.is_ended = true);
}

/// Returns a writer that never blocks, backed by a thread that writes to `out`.
///
/// # Errors
/// The thread cannot be started.
pub fn queue(out: impl Write + Send + 'static) -> io::Result<(impl Write + Send, Output)> {
    let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
    let output = Output::default();
    let written = output.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &written, out))?;
    Ok((QueueWriter { lines, output: output.clone() }, output))
}

/// Starts logging to standard output. Only the first call in a process has an effect.
pub fn start(level: LevelFilter, format: LogFormat) -> Output {
    start_to(level, format, io::stdout())
}

/// Starts logging to `out`, as [`start`] does to standard output.
pub fn start_to(level: LevelFilter, format: LogFormat, out: impl Write + Send + 'static) -> Output {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).write_style(env_logger::WriteStyle::Never);
    let output = match queue(out) {
        Ok((queue, output)) => {
            builder.target(env_logger::Target::Pipe(Box::new(queue)));
            output
        }
        Err(error) => {
            eprintln!(
                "sardinepickd: cannot start the log thread, logging to standard error: {error}"
            );
            Output::default()
        }
    };
    // These libraries log too much at their lower levels.
    for module in ["hyper", "h2", "tower", "tonic", "hyper_util", "dropshot"] {
        builder.filter_module(module, level.min(LevelFilter::Warn));
    }
    if format == LogFormat::Json {
        builder.format(write_json);
    }
    if builder.try_init().is_err() {
        log::debug!("logging has already been started");
    }
    output
}

struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), ..) => json!(number),
            (None, Some(number), _) => json!(number),
            (None, None, Some(flag)) => json!(flag),
            (None, None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn write_json(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = FieldCollector(Map::new());
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

/// Forwards dropshot's records to `log`. Its per-request records at info level become debug
/// records.
pub struct SlogBridge;

impl slog::Drain for SlogBridge {
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
