//! Reports of crashes to the nodes that count them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_lib::fleet::part_quarantine::{Crash, Prompt, Report, Reports, SOUND_DELAY};
use sardinepick_wire::part_quarantine::{CrashReport, Message};
use tokio::time::{sleep, timeout};

use super::PartQuarantine;

/// How long a counting node has to acknowledge a report, for each attempt.
const REPLY_TIMEOUT: Duration = Duration::from_millis(15);
/// How often a report is sent. A datagram can be lost; duplicates count once.
const SEND_ATTEMPTS: u32 = 2;

impl PartQuarantine {
    /// Counts a crash against the parts of a prompt, here and at the counting nodes of each part.
    pub async fn note_crash(self: &Arc<Self>, prompt: &Prompt, crash: &Crash) {
        let now = self.handles.clock.now();
        let Reports { now, later } = self.state().core.reports(prompt, crash, now);
        if !later.is_empty() {
            tokio::spawn(self.clone().count_later(later));
        }
        join_all(now.iter().map(|report| self.count(report))).await;
    }

    /// Counts a crash against parts that have just been sound, unless they prove to be sound still.
    async fn count_later(self: Arc<Self>, mut reports: Vec<Report>) {
        sleep(SOUND_DELAY).await;
        reports.retain(|report| !self.state().core.is_refuted(report));
        join_all(reports.iter().map(|report| self.count(report))).await;
    }

    /// Reports a crash to the nodes that count it. This node counts it too if it is one of them, or
    /// if none of them answers.
    async fn count(&self, report: &Report) {
        let nodes = self.counting_nodes(&report.subject);
        let is_counter = nodes.contains(&None);
        if is_counter {
            self.count_here(report);
        }
        let acknowledged = nodes.into_iter().flatten().map(|peer| self.send_report(peer, report));
        let acknowledged = join_all(acknowledged).await;
        if !is_counter && !acknowledged.contains(&true) {
            self.count_here(report);
        }
    }

    fn count_here(&self, report: &Report) {
        let now = self.handles.clock.now();
        let change = self.state().core.note_report(report, now);
        self.note_changes(change);
    }

    /// Sends a report to a counting node. Returns whether it was acknowledged.
    async fn send_report(&self, peer: SocketAddr, report: &Report) -> bool {
        for _ in 0..SEND_ATTEMPTS {
            let (number, acknowledged) = self.state().reports.register();
            let report = CrashReport::new(report, self.handles.clock.now());
            self.send(peer, Message::Crash { number, report }).await;
            let acknowledged = timeout(REPLY_TIMEOUT, acknowledged).await;
            self.state().reports.cancel(number);
            if let Ok(Ok(())) = acknowledged {
                return true;
            }
        }
        log::info!(peer:% = peer, part:% = report.subject; "no reply to a report of a crash");
        false
    }
}
