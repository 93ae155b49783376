//! What runners keep of prompts, asked once when this node begins to schedule their pool.
//!
//! What nodes believe of it lives in their memory and goes with them. After all of them have started
//! anew every prompt looks as if it had to be read whole: requests are sent where their prompt is not
//! kept, or refused because reading it would take too long, until each has been read once more. On a
//! day that ends so, the part of long prompts that was read again went from a quarter to all, and was
//! back after eight seconds.
//!
//! Each runner is asked by the scheduler of its pool alone, since answering delays its work.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::cache::{Part, Progress};
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::runner::{Entry, Stay};
use sardinepick_lib::id::ServiceId;
use sardinepick_platform::runner::{CachedPrefix, list_cached, read_cached};
use tokio::time::timeout;

use crate::serve::connection::CONNECT_LIMIT;
use crate::serve::shared::Shared;

/// How long an answer may take; later it tells what other requests have shown by then.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// The largest answer that is read: ten thousand parts.
const LARGEST: usize = 1 << 20;
/// The most parts of one runner that are counted, the largest first: as many prompts of 13,000 tokens
/// as fit into the memory of the users' larger engines.
const MOST_PARTS: usize = 64;
/// The smallest part that is counted, in tokens: what a runner reads in one piece.
const LEAST_TOKENS: u64 = 1_024;

/// Asks the runners of a pool that this node has begun to schedule.
pub async fn run(shared: Arc<Shared>, service: ServiceId, pool: Pool) {
    let entries: Vec<(Entry, Stay)> = {
        let register = shared.register();
        let engines = register.of(&service).filter(|r| r.entry.stage.is_some() && r.pool == pool);
        engines.map(|r| (r.entry.clone(), r.stay())).collect()
    };
    let asked =
        entries.into_iter().map(|(entry, stay)| tokio::spawn(ask(shared.clone(), entry, stay)));
    for one in asked.collect::<Vec<_>>() {
        if let Err(error) = one.await {
            log::error!(error:% = error; "asking what a runner keeps");
        }
    }
}

async fn ask(shared: Arc<Shared>, entry: Entry, stay: Stay) {
    let asked = async {
        let request = list_cached(&entry.id, entry.address);
        let sent = shared.connections.send(entry.address, request, CONNECT_LIMIT);
        let answer = sent.await.map_err(|e| e.to_string())?;
        let (head, body) = answer.read(LARGEST).await.map_err(|e| e.to_string())?;
        if !head.status.is_success() {
            return Err(format!("status {}", head.status));
        }
        read_cached(&body).map_err(|e| e.to_string())
    };
    let late = |_| Err(format!("no answer within {ANSWER_LIMIT:?}"));
    match timeout(ANSWER_LIMIT, asked).await.unwrap_or_else(late) {
        Ok(kept) => take(&shared, &stay, kept),
        Err(error) => log::info!(runner:% = entry.id, error = error; "not told what is kept"),
    }
}

fn take(shared: &Shared, stay: &Stay, mut kept: Vec<CachedPrefix>) {
    let parts = kept.len();
    kept.retain(|kept| kept.tokens >= LEAST_TOKENS);
    kept.sort_by_key(|kept| std::cmp::Reverse(kept.tokens));
    kept.truncate(MOST_PARTS);
    let now = shared.clock.now();
    let kept = kept.iter().map(|kept| Part::kept(&kept.model, &kept.id, kept.tokens));
    let mut counted = 0;
    if let Some(runner) = shared.register().in_stay_mut(stay) {
        for part in kept {
            runner.cache.note_part(part, Progress::Read, now);
            counted += 1;
        }
    }
    log::info!(runner:% = stay.id, parts = parts, counted = counted; "told what is kept");
}
