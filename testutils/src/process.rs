//! Nodes as child processes.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::NodeOptions;

/// The state of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// A `sardinepickd` process.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    /// Set to false before the process is waited for, as its id may be used again after that.
    is_running: Arc<AtomicBool>,
}

/// Pauses and resumes a process.
#[derive(Clone, Debug)]
pub struct Switch {
    pid: Pid,
    is_running: Arc<AtomicBool>,
}

impl Switch {
    fn signal(&self, signal: Signal) {
        if self.is_running.load(Ordering::Relaxed) {
            // This fails if the process has already exited.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Suspends the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory in kilobytes.
    pub rss_kb: u64,
    /// CPU time in milliseconds.
    pub cpu_ms: u64,
}

impl Daemon {
    /// Starts the program at `exe` with the settings from `options`.
    ///
    /// # Panics
    /// The program cannot be started.
    pub fn start(exe: &Path, plan: &NodeOptions) -> Self {
        Self::run(exe, &plan.ini(), &[], None)
    }

    /// Starts the program at `exe` with these settings; its log goes to `log`.
    ///
    /// # Panics
    /// The program cannot be started.
    pub fn start_to(exe: &Path, ini: &str, log: impl Into<Stdio>) -> Self {
        Self::run(exe, ini, &[], Some(log.into()))
    }

    /// Starts the program at `exe` in platform mode with these settings.
    ///
    /// # Panics
    /// The program cannot be started.
    pub fn serve(exe: &Path, ini: &str) -> Self {
        Self::run(exe, ini, &["--serve"], None)
    }

    /// Starts the program like [`Daemon::serve`]; its log goes to `log`.
    ///
    /// # Panics
    /// The program cannot be started.
    pub fn serve_to(exe: &Path, ini: &str, log: impl Into<Stdio>) -> Self {
        Self::run(exe, ini, &["--serve"], Some(log.into()))
    }

    fn run(exe: &Path, ini: &str, flags: &[&str], log: Option<Stdio>) -> Self {
        // Each start has its own file, since dropping an earlier process removes that one's file.
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
            .stdout(log.unwrap_or_else(|| log_output(start)))
            .spawn()
            .expect("the program can be started");
        Self { child, settings, is_running: Arc::new(AtomicBool::new(true)) }
    }

    fn signal(&self, signal: Signal) {
        self.switch().signal(signal);
    }

    /// A handle that pauses and resumes the process, also from another task.
    pub fn switch(&self) -> Switch {
        let pid = Pid::from_raw(self.child.id().cast_signed()).expect("a process has an id");
        Switch { pid, is_running: self.is_running.clone() }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.is_running.store(false, Ordering::Relaxed);
        let _ = self.child.wait();
    }

    /// Suspends the process, as when its VM is suspended.
    pub fn pause(&self) {
        self.switch().pause();
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.switch().resume();
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Requests a graceful shutdown and waits for the end of the process.
    pub fn terminate_and_wait(&mut self) {
        self.terminate();
        self.is_running.store(false, Ordering::Relaxed);
        let _ = self.child.wait();
    }

    /// Requests a reload of the settings.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// The exit code if the process has exited; the inner value is `None` if a signal ended it.
    pub fn exit_status(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }

    /// The number of open descriptors; 0 if the process has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// The bytes that its sockets at these addresses have received and it has not read.
    pub fn unread(&self, addresses: &[SocketAddr]) -> u64 {
        let path = format!("/proc/{}/net/tcp", self.child.id());
        let table = std::fs::read_to_string(path).unwrap_or_default();
        let local = |address: &SocketAddr| match address.ip() {
            IpAddr::V4(ip) => {
                format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port())
            }
            IpAddr::V6(_) => String::new(),
        };
        let local: Vec<String> = addresses.iter().map(local).collect();
        let unread = |line: &str| {
            let mut fields = line.split_whitespace().skip(1);
            let (address, state) = (fields.next()?, fields.nth(1)?);
            let (_, received) = fields.next()?.split_once(':')?;
            // For a listener the column is the length of its queue.
            let counts = state != LISTENING && local.iter().any(|local| local == address);
            u64::from_str_radix(received, 16).ok().filter(|_| counts)
        };
        table.lines().filter_map(unread).sum()
    }

    /// The resource usage so far.
    pub fn usage(&self) -> Usage {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
        };
        let status = read("status");
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let rss_kb = rss.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        let stat = read("stat");
        // After the name in parentheses, user and system time are the 12th and 13th fields, in
        // hundredths of a second.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let ticks: u64 =
            rest.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
        Usage { rss_kb, cpu_ms: ticks * 10 }
    }
}

/// The log output of a process: a file in the directory `SARDINEPICK_LOG_DIR` if that is set, otherwise
/// discarded.
fn log_output(start: u32) -> Stdio {
    let Some(folder) = std::env::var_os("SARDINEPICK_LOG_DIR") else { return Stdio::null() };
    let name = format!("sardinepickd-{}-{start}.log", std::process::id());
    match std::fs::File::create(PathBuf::from(folder).join(name)) {
        Ok(file) => Stdio::from(file),
        Err(error) => {
            eprintln!("cannot create the log file, discarding the log: {error}");
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
