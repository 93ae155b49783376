//! Tests of announced rate limits: parsing, applying announcements, and granting permits.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::decimal::DecimalError;
use sardinepick_lib::fleet::limit::{Announcement, Change, Limit, Rate};

const MS: Duration = Duration::from_millis(1);

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

#[test]
fn rate_decimal_read() {
    assert_eq!(rate("6.7").per_second(), 6.7);
    assert_eq!(rate(" 2 ").to_string(), "2/s");
}

/// Guards against losing a runner, or a node's process, to one malformed answer.
#[test]
fn rate_malformed_error() {
    for text in ["", "-1", "NaN", "inf", "1e9", "2, 3", "two", "1.2.3", "."] {
        assert_eq!(text.parse::<Rate>(), Err(DecimalError::NotANumber(text.to_owned())), "{text}");
    }
    let long = "9".repeat(5_000);
    assert_eq!(long.parse::<Rate>(), Err(DecimalError::TooLong(5_000)));
}

/// Guards against a runner that gets no request any more, and so can never announce the end of its
/// limit.
#[test]
fn rate_zero_some_requests() {
    assert!(rate("0").per_second() > 0.0);
    assert!(rate("99999999999999999999").per_second().is_finite());
}

#[test]
fn note_answer_without_limit_nothing() {
    let (mut limit, now) = (Limit::default(), Instant::now());
    assert_eq!(limit.note_answer(None, now, now), None);
    assert_eq!((limit.rate(), limit.announcement()), (None, None));
}

#[test]
fn note_answer_limit_announced_changed_lifted() {
    let (mut limit, now) = (Limit::default(), Instant::now());
    let two = rate("2");
    assert_eq!(limit.note_answer(Some(two), now, now + MS), Some(Change::Set(two)));
    assert_eq!(limit.note_answer(Some(two), now + MS, now + 2 * MS), None);
    let three = rate("3");
    assert_eq!(
        limit.note_answer(Some(three), now + 3 * MS, now + 4 * MS),
        Some(Change::Set(three))
    );
    assert_eq!(limit.note_answer(None, now + 5 * MS, now + 6 * MS), Some(Change::Lifted));
    assert!(limit.is_open(now + 6 * MS));
}

/// Guards against an answer that was written before the limit was announced but arrives after it.
#[test]
fn note_answer_overtaken_limit_stays() {
    let (mut limit, now) = (Limit::default(), Instant::now());
    limit.note_answer(Some(rate("2")), now, now + 10 * MS);
    assert_eq!(limit.note_answer(None, now + 5 * MS, now + 11 * MS), None);
    assert_eq!(limit.note_answer(Some(rate("9")), now + 5 * MS, now + 12 * MS), None);
    assert_eq!(limit.rate(), Some(rate("2")), "the lower one applies if the order is unknown");
}

#[test]
fn take_announcement_older_nothing() {
    let (mut limit, now) = (Limit::default(), Instant::now() + 10 * MS);
    limit.note_answer(Some(rate("2")), now, now);
    limit.note_answer(None, now + MS, now + 2 * MS);
    let old = Announcement { rate: Some(rate("2")), at: now };
    assert_eq!(limit.take_announcement(old), None);
    let new = Announcement { rate: Some(rate("2")), at: now + 3 * MS };
    assert_eq!(limit.take_announcement(new), Some(Change::Set(rate("2"))));
}

/// Guards against a limit that two nodes announce to each other for ever.
#[test]
fn take_announcement_same_rate_not_renewed() {
    let (mut limit, now) = (Limit::default(), Instant::now());
    limit.note_answer(Some(rate("2")), now, now);
    assert_eq!(
        limit.take_announcement(Announcement { rate: Some(rate("2")), at: now + 5 * MS }),
        None
    );
    assert_eq!(limit.announcement().map(|notice| notice.at), Some(now));
}

fn limited(text: &str, now: Instant) -> Limit {
    let mut limit = Limit::default();
    limit.note_answer(Some(rate(text)), now, now);
    limit
}

#[test]
fn grant_without_limit_granted() {
    assert_eq!(Limit::default().grant(1.0, Instant::now()), Ok(()));
}

/// Guards against another burst each time a different node starts to grant permits.
#[test]
fn grant_first_waits() {
    let now = Instant::now();
    let mut limit = limited("2", now);
    assert_eq!(limit.grant(1.0, now), Err(Duration::from_millis(500)));
    assert!(!limit.is_open(now + 499 * MS) && limit.is_open(now + 500 * MS));
    assert_eq!(limit.grant(1.0, now + 500 * MS), Ok(()));
    assert!(!limit.is_open(now + 999 * MS), "no permit is left");
}

/// Guards against nodes that all retry at the same time.
#[test]
fn grant_many_nodes_different_waits() {
    let now = Instant::now();
    let mut limit = limited("2", now);
    let waits: Vec<_> =
        (0..4).map(|_| limit.grant(1.0, now).expect_err("the bucket is empty")).collect();
    let millis: Vec<_> = waits.iter().map(Duration::as_millis).collect();
    assert_eq!(millis, [500, 1_000, 1_500, 2_000]);
    assert!(limit.grant(1.0, now).expect_err("the bucket is empty") <= Duration::from_secs(2));
}

#[test]
fn note_denied_closed_for_a_while() {
    let now = Instant::now();
    let mut limit = limited("2", now);
    limit.note_denied(300 * MS, now);
    assert!(!limit.is_open(now + 299 * MS) && limit.is_open(now + 300 * MS));
    limit.note_denied(Duration::from_secs(9_000), now);
    assert!(limit.is_open(now + Duration::from_secs(8)), "no denial lasts for hours");
}

/// Guards against prefilling a prompt for a decode runner that then accepts no request.
#[test]
fn reserve_token_kept_for_placed_request() {
    let now = Instant::now();
    let mut limit = limited("2", now);
    limit.reserve(1.0, now);
    assert!(!limit.has_reserved(now), "there is no token");
    limit.reserve(1.0, now + 500 * MS);
    assert!(limit.has_reserved(now + 500 * MS) && !limit.is_open(now + 900 * MS));
    assert_eq!(limit.grant(1.0, now + 900 * MS), Ok(()));
    assert!(limit.grant(1.0, now + 900 * MS).is_err());
    limit.reserve(1.0, now + 1_000 * MS);
    assert!(!limit.has_reserved(now + 2_000 * MS), "unused reservations expire");
}

proptest! {
    /// Guards against exceeding the platform's bound: in any 4 s at most one and a half times the
    /// rate, and five, whatever the sequence of requests, and while two nodes grant permits for
    /// 1 s.
    #[test]
    fn grant_any_requests_rate_kept(
        tenths in 3_u32..500,
        requests in prop::collection::vec((0_u64..12_000, 0_u64..3_000), 1..2_000),
        takes_over in 0_u64..12_000,
    ) {
        let now = Instant::now();
        let text = format!("{}.{}", tenths / 10, tenths % 10);
        let mut grantors = [limited(&text, now), limited(&text, now)];
        // Some tokens are reserved up to a second before they are used, or are never used.
        let request = |(n, (at, _)): (usize, &(u64, u64))| (*at, n, false);
        let reserve = |(n, (at, lead)): (usize, &(u64, u64))| {
            (*lead < 1_000).then(|| (at.saturating_sub(*lead), n, true))
        };
        let mut events: Vec<_> = requests.iter().enumerate().map(request).collect();
        events.extend(requests.iter().enumerate().filter_map(reserve));
        events.sort_unstable();
        let mut granted = Vec::new();
        for (at, n, reserves) in events {
            let both = (takes_over..takes_over + 1_000).contains(&at);
            let grantor = usize::from(at >= takes_over && (!both || n % 2 == 0));
            let (grantor, time) = (&mut grantors[grantor], now + Duration::from_millis(at));
            if reserves {
                grantor.reserve(1.0, time);
            } else if grantor.grant(1.0, time).is_ok() {
                granted.push(at);
            }
        }
        let most = f64::from(tenths) / 10.0 * 4.0 * 1.5 + 5.0;
        for from in &granted {
            let count = granted.iter().filter(|at| (*from..from + 4_000).contains(at)).count();
            prop_assert!(count as f64 <= most, "{count} of {most} in 4 s from {from}");
        }
    }
}

/// Guards against dividing a low rate into shares that most of many nodes never use, and against
/// queries that grow with the number of nodes: 550 nodes each want one request per second of a
/// runner that accepts two.
#[test]
fn grant_many_nodes_rate_used_few_queries() {
    const NODES: usize = 550;
    const SECONDS: u64 = 30;
    let now = Instant::now();
    let mut grantor = limited("2", now);
    let mut nodes = vec![limited("2", now); NODES];
    let (mut granted, mut queries) = (Vec::new(), 0);
    let mut rng = StdRng::seed_from_u64(1);
    for at in 0..SECONDS * 1_000 {
        let time = now + Duration::from_millis(at);
        for (number, node) in nodes.iter_mut().enumerate() {
            if !rng.random_bool(0.001) || !node.is_open(time) {
                continue;
            }
            queries += 1;
            match grantor.grant(1.0, time) {
                Ok(()) => granted.push(number),
                Err(wait) => node.note_denied(wait, time),
            }
        }
    }
    let most = (SECONDS as f64 * 2.0 + 2.0) as usize;
    assert!((most / 2..=most).contains(&granted.len()), "{} permits", granted.len());
    let each = queries as f64 / SECONDS as f64 / NODES as f64;
    assert!(each < 0.8, "{each} queries per second and node");
    let granted_nodes: std::collections::BTreeSet<_> = granted.iter().collect();
    assert!(granted_nodes.len() > granted.len() / 2, "{} nodes use the rate", granted_nodes.len());
}
