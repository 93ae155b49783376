//! The crash detector: whether the runner of a call that broke off has crashed.
//!
//! A call breaks off for many reasons: the network resets its connection, the runner spoils its
//! answer, the runner leaves. Only a process that has ended refuses connections, so the runner's address
//! is probed, once for all calls of this node that broke off there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::RunProgress;
use tokio::sync::OnceCell;
use tokio::time::sleep;

use crate::serve::connection::Probe;
use crate::serve::request::Request;
use crate::serve::shared::Shared;
use crate::serve::ticket::Ticket;

/// How often a runner's address is tried: a process that ends closes its connections a moment before
/// or after it stops listening.
const TRIES: u32 = 2;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(10);
/// The most lives of runners whose end is remembered.
const MOST: usize = 256;

/// The lives of runners that are known to have crashed.
#[derive(Debug, Default)]
pub struct Detector(Mutex<HashMap<Tag, Arc<OnceCell<bool>>>>);

impl Detector {
    fn cell(&self, life: Tag) -> Arc<OnceCell<bool>> {
        let mut cells = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if cells.len() >= MOST && !cells.contains_key(&life) {
            // What is forgotten is probed again.
            cells.clear();
        }
        cells.entry(life).or_default().clone()
    }

    async fn has_ended(&self, shared: &Shared, life: Tag, address: SocketAddr) -> bool {
        let cell = self.cell(life);
        let ended = *cell.get_or_init(|| is_refused(shared, address)).await;
        if !ended {
            // It may end later.
            self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&life);
        }
        ended
    }
}

async fn is_refused(shared: &Shared, address: SocketAddr) -> bool {
    for attempt in 1..=TRIES {
        match shared.connections.probe(address).await {
            Probe::Refused => return true,
            Probe::Unknown => return false,
            Probe::Accepted if attempt < TRIES => sleep(PAUSE).await,
            Probe::Accepted => {}
        }
    }
    false
}

/// Detects whether the runner of a call that broke off has crashed, and gives the life that has. The
/// end of one that was leaving, or whose entry was gone, was planned.
pub async fn detect(
    shared: &Shared,
    ticket: &Ticket,
    request: &Request,
    reach: RunProgress,
) -> Option<Tag> {
    let (life, address) = ticket
        .with_runner(|r| (!r.is_leaving()).then(|| (r.entry.tag(), r.entry.address)))
        .flatten()?;
    if !shared.crashes.has_ended(shared, life, address).await {
        return None;
    }
    shared.metrics.ends.inc();
    log::info!(
        request:% = request.id, fingerprint:% = request.fingerprint, runner:% = ticket.runner(),
        events = reach.events, begun = reach.begun,
        held_ms = ticket.held().as_millis() as u64; "runner ended under a request"
    );
    Some(life)
}
