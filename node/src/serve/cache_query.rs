//! Queries the prompt caches of runners once, when this node begins to schedule their pool.
//!
//! Nodes keep their view of these caches only in memory, so it is lost when they end. After a
//! restart of all nodes each prompt would seem to be uncached: requests would go to runners that
//! don't have their prompt, or be refused because processing it would take too long, until each
//! prompt had been processed once more. In a recorded day that ended so, the share of long prompts
//! that were processed again rose from a quarter to all, and recovered after eight seconds.
//!
//! Only the scheduler of a pool queries its runners, since answering delays their work.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::cache::{Part, Progress};
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::runner::{Entry, Registration};
use sardinepick_lib::id::ServiceId;
use sardinepick_platform::runner::{CachedPrefix, list_cached, read_cached};
use tokio::time::timeout;

use crate::serve::shared::Shared;

/// The timeout of a query; a later answer only says what other requests have shown by then.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of an answer: ten thousand parts.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// The maximum number of parts recorded per runner, largest first: as many prompts of 13,000 tokens
/// as fit into the memory of the larger engines in use.
const MAX_PARTS: usize = 64;
/// The minimum size of a recorded part, in tokens: what a runner processes in one chunk.
const MIN_TOKENS: u64 = 1_024;

/// Queries the runners of a pool that this node has begun to schedule.
pub async fn run(shared: Arc<Shared>, service: ServiceId, pool: Pool) {
    let entries: Vec<(Entry, Registration)> = {
        let register = shared.register();
        let engines = register.of(&service).filter(|r| r.entry.stage.is_some() && r.pool == pool);
        engines.map(|r| (r.entry.clone(), r.registration())).collect()
    };
    let queries = entries.into_iter().map(|(entry, registration)| {
        tokio::spawn(query_runner(shared.clone(), entry, registration))
    });
    for query in queries.collect::<Vec<_>>() {
        if let Err(error) = query.await {
            log::error!(error:% = error; "cache query failed");
        }
    }
}

async fn query_runner(shared: Arc<Shared>, entry: Entry, registration: Registration) {
    let query = async {
        let request = list_cached(&entry.id, entry.address);
        let sent = shared.connector.send(&entry.id, entry.address, request, None, || true);
        let answer = sent.await.map_err(|e| e.to_string())?;
        let (head, body) = answer.read(MAX_ANSWER_BYTES).await.map_err(|e| e.to_string())?;
        if !head.status.is_success() {
            return Err(format!("status {}", head.status));
        }
        read_cached(&body).map_err(|e| e.to_string())
    };
    let late = |_| Err(format!("no answer within {ANSWER_TIMEOUT:?}"));
    match timeout(ANSWER_TIMEOUT, query).await.unwrap_or_else(late) {
        Ok(cached) => record_parts(&shared, &registration, cached),
        Err(error) => log::info!(runner:% = entry.id, error = error; "not told what is kept"),
    }
}

fn record_parts(shared: &Shared, registration: &Registration, mut cached: Vec<CachedPrefix>) {
    let parts = cached.len();
    cached.retain(|cached| cached.tokens >= MIN_TOKENS);
    cached.sort_by_key(|cached| std::cmp::Reverse(cached.tokens));
    cached.truncate(MAX_PARTS);
    let now = shared.clock.now();
    let cached =
        cached.iter().map(|cached| Part::standalone(&cached.model, &cached.id, cached.tokens));
    let mut counted = 0;
    if let Some(runner) = shared.register().registered_mut(registration) {
        for part in cached {
            runner.cache.note_part(part, Progress::Prefilled, now);
            counted += 1;
        }
    }
    log::info!(runner:% = registration.id, parts = parts, counted = counted; "told what is kept");
}
