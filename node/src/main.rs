//! `sardinepickd`, the node daemon of sardinepick.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use getopts::Options;
use sardinepick_node::clock::BootClock;
use sardinepick_node::settings::Settings;
use sardinepick_node::{logging, run, serve};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code for wrong usage, as in BSD's sysexits.
const EXIT_USAGE: u8 = 64;
/// The exit code for invalid settings.
const EXIT_CONFIG: u8 = 78;
/// The exit code for an unavailable address.
const EXIT_UNAVAILABLE: u8 = 69;
/// The exit code after requests were aborted.
const EXIT_ABORTED_REQUESTS: u8 = 75;

/// How long the exit waits at most until the last log lines are written.
const MAX_LOG_FLUSH: Duration = Duration::from_millis(300);
/// The fraction of the grace period after which the exit no longer waits for the log.
const LOG_FLUSH_END: f64 = 0.99;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file", "FILE");
    options.optflag("", "serve", "serve on a platform that keeps configuration and runners");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("sardinepickd: {error}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: sardinepickd --settings FILE"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("sardinepickd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("sardinepickd: --settings FILE is needed; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    if matches.opt_present("serve") {
        return serve_on_platform(&file, matches.opt_present("check"));
    }
    let settings = match Settings::read(Path::new(&file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: the settings are right");
        return ExitCode::SUCCESS;
    }
    let log = logging::start(settings.log_level, settings.log_format);
    let code = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => {
            eprintln!("sardinepickd: failed to start the runtime: {error}");
            ExitCode::FAILURE
        }
    };
    log.flush(MAX_LOG_FLUSH);
    code
}

/// Runs a node on a platform that manages configuration and runners. It uses a single-threaded
/// runtime: an entry VM has a fraction of one core, so more threads would only add context
/// switches.
fn serve_on_platform(file: &str, check: bool) -> ExitCode {
    let settings = match serve::settings::Settings::read(Path::new(file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if check {
        println!("{file}: the settings are right");
        return ExitCode::SUCCESS;
    }
    let log = logging::start(settings.log_level, settings.log_format);
    let metrics = serve::metrics::Metrics::new(log.dropped());
    let flush_time = settings.grace.mul_f64(LOG_FLUSH_END);
    let mut stopping = None;
    let code = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(run_on_platform(file, settings, metrics, &mut stopping)),
        Err(error) => {
            eprintln!("sardinepickd: failed to start the runtime: {error}");
            ExitCode::FAILURE
        }
    };
    // The platform kills the process at the end of the grace period.
    let left = stopping.map(|began: Instant| flush_time.saturating_sub(began.elapsed()));
    log.flush(left.map_or(MAX_LOG_FLUSH, |left| left.min(MAX_LOG_FLUSH)));
    code
}

/// Runs a node until it is stopped. `stopping` is set to the time of the signal.
async fn run_on_platform(
    file: &str,
    settings: serve::settings::Settings,
    metrics: serve::metrics::Metrics,
    stopping: &mut Option<Instant>,
) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        eprintln!("sardinepickd: cannot listen for signals");
        return ExitCode::FAILURE;
    };
    let clock = Arc::new(BootClock::default());
    let running = match serve::run::start(settings, clock, metrics).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("sardinepickd: {error}");
            return ExitCode::from(EXIT_UNAVAILABLE);
        }
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => running.reload(Path::new(file)),
            () = stop_signal(&mut terminate, &mut interrupt) => break,
        }
    }
    *stopping = Some(Instant::now());
    let cut = tokio::select! {
        cut = running.stop() => cut,
        _ = interrupt.recv() => 1,
    };
    if cut > 0 { ExitCode::from(EXIT_ABORTED_REQUESTS) } else { ExitCode::SUCCESS }
}

/// Waits for the next signal to terminate.
async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn serve(settings: Settings) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("sardinepickd: cannot listen for signals");
        return ExitCode::FAILURE;
    };
    let running = match run::start(settings, Arc::new(BootClock::default())).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("sardinepickd: {error}");
            return ExitCode::from(EXIT_UNAVAILABLE);
        }
    };
    stop_signal(&mut terminate, &mut interrupt).await;
    let stopped = running.stop(stop_signal(&mut terminate, &mut interrupt)).await;
    if stopped.cut > 0 { ExitCode::from(EXIT_ABORTED_REQUESTS) } else { ExitCode::SUCCESS }
}
