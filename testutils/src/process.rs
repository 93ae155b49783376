//! Nodes as processes of their own, ended by their ids.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::NodeOptions;

/// A `sardinepickd` process.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    settings: PathBuf,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Its memory in kilobytes.
    pub rss_kb: u64,
    /// Its processor time in milliseconds.
    pub cpu_ms: u64,
}

impl Daemon {
    /// Starts the program at `exe` with the settings of `plan`.
    ///
    /// # Panics
    /// It cannot be started.
    pub fn start(exe: &Path, plan: &NodeOptions) -> Self {
        Self::run(exe, &plan.ini(), &[])
    }

    /// Starts the program at `exe` on the platform, with these settings.
    ///
    /// # Panics
    /// It cannot be started.
    pub fn serve(exe: &Path, ini: &str) -> Self {
        Self::run(exe, ini, &["--serve"])
    }

    fn run(exe: &Path, ini: &str, flags: &[&str]) -> Self {
        // A file for each start: the one before may be removed while this one is read.
        static STARTS: AtomicU32 = AtomicU32::new(0);
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("sardinepick-{}-{start}.ini", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, ini).expect("the settings can be written");
        let child = Command::new(exe)
            .args(flags)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output(start))
            .spawn()
            .expect("the program can be started");
        Self { child, settings }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).expect("a process has an id");
        // A process that has ended already needs no signal.
        let _ = kill_process(pid, signal);
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Stops it in its tracks, as a suspended VM is.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks it to end gracefully, and waits until it has.
    pub fn terminate_and_wait(&mut self) {
        self.terminate();
        let _ = self.child.wait();
    }

    /// Tells it that its settings have changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether it has ended, and with which code.
    pub fn exit_status(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }

    /// What it has used so far.
    pub fn usage(&self) -> Usage {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
        };
        let status = read("status");
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let rss_kb = rss.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        let stat = read("stat");
        // After the name in brackets, user and system time are the 12th and 13th fields, in
        // hundredths of a second.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let ticks: u64 =
            rest.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
        Usage { rss_kb, cpu_ms: ticks * 10 }
    }
}

/// Where a process writes its log: a file in the folder that `SARDINEPICK_LOG_DIR` names, or
/// nowhere.
fn output(start: u32) -> Stdio {
    let Some(folder) = std::env::var_os("SARDINEPICK_LOG_DIR") else { return Stdio::null() };
    let name = format!("sardinepickd-{}-{start}.log", std::process::id());
    match std::fs::File::create(PathBuf::from(folder).join(name)) {
        Ok(file) => Stdio::from(file),
        Err(error) => {
            eprintln!("no log is kept: {error}");
            Stdio::null()
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.resume();
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
