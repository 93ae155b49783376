//! The times of a planned stop, and which requests a stopping node accepts.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::shutdown::{Claim, Durations, Schedule, lookup_ttl};

const GRACE_PERIODS: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(30),
];
/// The longest time for which the platform lets callers cache a look-up answer.
const MAX_TTL: Duration = Duration::from_secs(5);
/// How many times as long some callers cache it (platform protocol).
const STRETCH: u32 = 3;

fn schedule(began: Instant, grace: Duration) -> Schedule {
    Schedule::new(began, grace, lookup_ttl(grace, MAX_TTL))
}

fn claim(allowed: Duration) -> Claim {
    Claim { allowed, longest: None, is_stream: true }
}

/// Guards against a listener that closes while callers still have its address, or so late that no time
/// is left to serve what has been accepted.
#[test]
fn close_any_grace_period_after_cached_lookups() {
    let began = Instant::now();
    for grace in GRACE_PERIODS {
        let schedule = schedule(began, grace);
        assert!(schedule.close() > began + lookup_ttl(grace, MAX_TTL) * STRETCH, "{grace:?}");
        assert!(schedule.close() <= began + grace / 2, "{grace:?}");
        let ends = [schedule.close(), schedule.service_end(), schedule.response_due()];
        let last = [schedule.abort(), schedule.exit(), began + grace];
        assert!([ends, last].concat().is_sorted(), "{grace:?}");
        // No run is cut before the last sixth of the grace period.
        assert!(schedule.service_end() >= began + grace * 5 / 6, "{grace:?}");
    }
}

/// Guards against cut streams: without knowledge of others, a request is accepted only if its deadline
/// is within the service time.
#[test]
fn accepts_unknown_duration_only_within_service() {
    let began = Instant::now();
    for grace in GRACE_PERIODS {
        let schedule = schedule(began, grace);
        for step in 0..100 {
            let now = began + grace * step / 100;
            for allowed in [600, 3_000, 6_000, 60_000].map(Duration::from_millis) {
                let fits = now + allowed <= schedule.service_end();
                assert_eq!(schedule.accepts(&claim(allowed), now), fits, "{grace:?} {step}");
            }
        }
    }
}

/// Guards against refusals of short requests because their callers would wait for a long time.
#[test]
fn accepts_short_duration_with_long_deadline() {
    let (began, grace) = (Instant::now(), Duration::from_secs(8));
    let schedule = schedule(began, grace);
    let claim = |longest, is_stream| Claim {
        allowed: Duration::from_secs(60),
        longest: Some(Duration::from_millis(longest)),
        is_stream,
    };
    let at = |ms| began + Duration::from_millis(ms);
    assert!(schedule.accepts(&claim(1_500, true), at(2_500)));
    assert!(!schedule.accepts(&claim(2_600, true), at(2_500)));
    // Callers should be gone soon: a stream could only be cut.
    assert!(!schedule.accepts(&claim(100, true), at(2_800)));
    assert!(!schedule.accepts(&claim(100, true), at(3_100)));
    assert!(schedule.accepts(&claim(1_500, false), at(3_100)));
    assert!(!schedule.accepts(&claim(1_500, false), at(5_000)));
}

/// Guards against an estimate by times that are long past, or only by the last request.
#[test]
fn durations_longest_of_recent_windows() {
    let (began, mut durations) = (Instant::now(), Durations::default());
    assert_eq!(durations.longest(began), None);
    let [long, short] = [900, 100].map(Duration::from_millis);
    for (at, took, longest) in
        [(0, long, long), (5, short, long), (12, short, long), (23, short, short)]
    {
        let now = began + Duration::from_secs(at);
        durations.note(took, now);
        assert_eq!(durations.longest(now), Some(longest), "at {at} s");
    }
    let longest = |at| durations.longest(began + Duration::from_secs(at));
    assert_eq!((longest(42), longest(43)), (Some(short), None));
}
