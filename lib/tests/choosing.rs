//! Checks runner choice against a simple implementation, and the accounting of the admission queue.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::admit::{AdmissionQueue, AdmissionRequest, Decision, Event, Limits};
use sardinepick_lib::baseline::best_of_all;
use sardinepick_lib::choose::{COMPARE_ALL, Settings, choose};
use sardinepick_lib::config::object::{Account, Admission, Priority};
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Name, RequestId};
use sardinepick_lib::runner::{Report, RunnerView, Work};
use sardinepick_lib::unit::{RequestRate, TokenRate, Tokens};

fn name(kind: &str, at: usize) -> Name {
    format!("{kind}-{at}").parse().expect("a valid name")
}

proptest! {
    #[test]
    fn choose_agrees_with_naive(
        loads in proptest::collection::vec((0..64_u32, 0..20_000_u32, any::<bool>()), 1..COMPARE_ALL),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let view = |(at, (running, backlog, drained)): (usize, &(u32, u32, bool))| {
            let state = if *drained { Admission::Drain } else { Admission::Ready };
            let mut view = RunnerView::new(name("runner", at), 16, state);
            let report = Report {
                running: *running,
                backlog: Tokens(*backlog),
                prefill_rate: TokenRate(9000),
                decode_rate: TokenRate(40),
                ..Report::default()
            };
            view.apply_report(now, report);
            view
        };
        let views: Vec<RunnerView> = loads.iter().enumerate().map(view).collect();
        let work = Work { prompt: Tokens(900), output: Tokens(90), ..Work::default() };
        let settings = Settings::default();
        // Both draw once per usable runner in the same order, so equal seeds give equal draws.
        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = choose(&views, &work, now, settings, &[], &mut rng).map(|c| c.at);
        let mut rng = StdRng::seed_from_u64(seed);
        let naive = best_of_all(&views, &work, now, settings, &mut rng);
        prop_assert_eq!(chosen, naive);
        prop_assert_eq!(chosen.is_none(), loads.iter().all(|(.., drained)| *drained));
    }

    #[test]
    fn choose_never_drained_in_large_fleet(seed in any::<u64>(), ready in 0..200_usize) {
        let now = Instant::now();
        let view = |at| {
            let state = if at == ready { Admission::Ready } else { Admission::Drain };
            RunnerView::new(name("runner", at), 16, state)
        };
        let views: Vec<RunnerView> = (0..200).map(view).collect();
        let mut rng = StdRng::seed_from_u64(seed);
        let work = Work::default();
        let chosen = choose(&views, &work, now, Settings::default(), &[], &mut rng);
        prop_assert_eq!(chosen.map(|c| c.at), Some(ready));
    }

    #[test]
    fn queue_ends_each_request_once(
        requests in proptest::collection::vec((0..5_usize, 1..4000_u64, 0..3000_u64), 1..60),
        max_concurrent in 1..6_u32,
    ) {
        let start = Instant::now();
        let mut queue = AdmissionQueue::new(Limits { max_concurrent, max_queued: 20, share: 1000 });
        let mut ended = std::collections::BTreeMap::new();
        let mut running: Vec<(u64, Name)> = Vec::new();
        let mut waiting = std::collections::BTreeMap::new();
        for (id, (who, cost, gap)) in requests.iter().enumerate() {
            let now = start + Duration::from_millis(id as u64 * gap);
            let account = Account {
                name: name("account", *who),
                key: Digest::default(),
                rate: RequestRate(1000),
                burst: 1000,
                concurrency: 1000,
                priority: Priority::Normal,
                weight: 1,
            };
            let request = AdmissionRequest {
                id: RequestId(id as u64),
                account: account.name.clone(),
                priority: Priority::Normal,
                deadline: now + Duration::from_secs(6),
                cost: Duration::from_millis(*cost),
            };
            match queue.submit(now, &account, request, 0.5) {
                Decision::Start => running.push((id as u64, account.name.clone())),
                Decision::Wait => {
                    waiting.insert(id as u64, account.name.clone());
                }
                Decision::Refuse(_) => *ended.entry(id as u64).or_insert(0) += 1,
            }
            if id % 2 == 0 && let Some((id, who)) = running.pop() {
                queue.end(&who, Duration::from_millis(10), None);
                *ended.entry(id).or_insert(0) += 1;
            }
            for event in queue.next(now, || 0.5) {
                match event {
                    Event::Start(RequestId(id)) => {
                        running.push((id, waiting.remove(&id).expect("only waiting requests start")));
                    }
                    Event::Refuse(RequestId(id), _) => {
                        waiting.remove(&id).expect("only waiting requests are refused");
                        *ended.entry(id).or_insert(0) += 1;
                    }
                }
            }
            prop_assert!(queue.under_way() <= max_concurrent);
            prop_assert_eq!(queue.under_way() as usize, running.len());
            prop_assert_eq!(queue.queue_len(), waiting.len());
        }
        for (id, _) in running {
            *ended.entry(id).or_insert(0) += 1;
        }
        for id in waiting.keys() {
            *ended.entry(*id).or_insert(0) += 1;
        }
        prop_assert_eq!(ended.len(), requests.len());
        prop_assert!(ended.values().all(|n| *n == 1));
    }
}
