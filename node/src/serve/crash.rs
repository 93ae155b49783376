//! Crash detection: whether the runner of a broken call has crashed.
//!
//! A call breaks for many reasons: the network resets its connection, the runner sends a malformed
//! answer, the runner leaves. Only a process that has ended refuses connections, so the runner's
//! address is probed, once for all calls of this node that broke there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::reachability::Path;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::RunProgress;
use strum::IntoStaticStr;
use tokio::sync::OnceCell;
use tokio::time::sleep;

use crate::serve::connection::Probe;
use crate::serve::request::Request;
use crate::serve::reservation::Reservation;
use crate::serve::shared::Shared;

/// How often a runner's address is probed: a process that ends closes its connections slightly
/// before or after it stops listening.
const MAX_PROBES: u32 = 2;
/// The pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(10);
/// How often a runner is checked again after the call of a trial has broken, whose result is lost if
/// the end of the runner is missed.
const MAX_TRIAL_CHECKS: u32 = 4;
/// The pause between two of these checks.
const TRIAL_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of runner incarnations whose end is remembered.
const MAX_REMEMBERED: usize = 256;

/// The incarnations of runners that are known to have crashed.
#[derive(Debug, Default)]
pub struct Detector(Mutex<HashMap<Tag, Arc<OnceCell<Check>>>>);

impl Detector {
    fn cell(&self, incarnation: Tag) -> Arc<OnceCell<Check>> {
        let mut cells = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if cells.len() >= MAX_REMEMBERED && !cells.contains_key(&incarnation) {
            // Evicted incarnations are probed again.
            cells.clear();
        }
        cells.entry(incarnation).or_default().clone()
    }

    /// Checks a runner again and again for a while, as it may end slightly after its call broke.
    async fn check_for_a_while(
        &self,
        shared: &Shared,
        incarnation: Tag,
        address: SocketAddr,
    ) -> Check {
        for _ in 0..MAX_TRIAL_CHECKS {
            let check = self.check(shared, incarnation, address).await;
            if check == Check::Refused {
                return check;
            }
            sleep(TRIAL_CHECK_PAUSE).await;
        }
        self.check(shared, incarnation, address).await
    }

    async fn check(&self, shared: &Shared, incarnation: Tag, address: SocketAddr) -> Check {
        let cell = self.cell(incarnation);
        let check = *cell.get_or_init(|| probe(shared, address)).await;
        if check != Check::Refused {
            // It may still end later.
            self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&incarnation);
        }
        check
    }
}

/// What a check of the runner of a broken call has found.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Check {
    /// Its address refuses connections: the process has ended.
    Refused,
    /// Its address accepts connections.
    Accepted,
    /// The probe got no reply.
    Unknown,
    /// The network refuses connections to the address.
    PathClosed,
    /// It was leaving, or its entry has been removed.
    Leaving,
}

async fn probe(shared: &Shared, address: SocketAddr) -> Check {
    for attempt in 1..=MAX_PROBES {
        match shared.connections.probe(address).await {
            Probe::Refused => return Check::Refused,
            Probe::Unknown => return Check::Unknown,
            Probe::Accepted if attempt < MAX_PROBES => sleep(PROBE_PAUSE).await,
            Probe::Accepted => {}
        }
    }
    Check::Accepted
}

/// Checks whether the runner of a broken call has crashed, and returns the incarnation that has. The
/// runner of a trial is checked for longer.
/// The end of a runner that was leaving, or whose entry was removed, was planned.
pub async fn detect(
    shared: &Shared,
    reservation: &Reservation,
    request: &Request,
    progress: RunProgress,
    is_trial: bool,
) -> Option<Tag> {
    let broken = shared.clock.now();
    let target = reservation
        .with_runner(|r| (!r.is_leaving()).then(|| (r.entry.tag(), r.entry.address)))
        .flatten();
    let check = match target {
        None => Check::Leaving,
        // A network that refuses connections looks like a runner that has ended.
        Some((_, address)) if shared.connector.path(address) == Path::Closed => Check::PathClosed,
        Some((incarnation, address)) if is_trial => {
            shared.crashes.check_for_a_while(shared, incarnation, address).await
        }
        Some((incarnation, address)) => shared.crashes.check(shared, incarnation, address).await,
    };
    let label: &'static str = check.into();
    shared.metrics.crash_checks.with_label_values(&[label]).inc();
    let message = match check {
        Check::Refused => "runner ended under a request",
        _ => "runner of a broken call has not ended",
    };
    let took = shared.clock.now().saturating_duration_since(broken);
    log::info!(
        request:% = request.id, fingerprint:% = request.fingerprint,
        parts:% = request.part_list(), runner:% = reservation.runner(), check = label,
        check_ms = took.as_millis() as u64, events = progress.events, begun = progress.begun,
        held_ms = reservation.held().as_millis() as u64; "{message}"
    );
    let (incarnation, _) = target.filter(|_| check == Check::Refused)?;
    shared.metrics.runner_crashes.inc();
    Some(incarnation)
}
