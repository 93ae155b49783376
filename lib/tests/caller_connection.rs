//! When a caller's connection is closed.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::caller_connection::eviction::{Candidate, MIN_EVICTION_AGE, choose};
use sardinepick_lib::fleet::caller_connection::{Action, Cause, Close, Progress, State};
use sardinepick_lib::fleet::route::Limits;

const LIMITS: Limits = Limits {
    head: 1 << 10,
    body: 1 << 10,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Longer than an expired connection is kept.
const RECHECK: Duration = Duration::from_millis(10);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The action for a state that is found to have lasted until `now`, and is the same after that.
fn settle(close: &mut Close, progress: &Progress, limits: Limits, now: Instant) -> Action {
    match close.poll(progress.state(), limits, now) {
        Action::Wait => close.poll(progress.state(), limits, now + RECHECK),
        action => action,
    }
}

#[test]
fn close_idle_for_timeout_in_force() {
    let start = Instant::now();
    let (progress, mut close) = (Progress::new(start), Close::default());
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(14)), Action::Wait);
    let raised = Limits { idle_timeout: seconds(30), ..LIMITS };
    assert_eq!(settle(&mut close, &progress, raised, start + seconds(16)), Action::Wait);
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(16)), Action::Shutdown);
    assert_eq!(close.cause(), Cause::IdleTimeout);
}

#[test]
fn close_bytes_found_after_pause_kept() {
    let start = Instant::now();
    let (mut progress, mut close) = (Progress::new(start), Close::default());
    let late = start + seconds(60);
    assert_eq!(close.poll(progress.state(), LIMITS, late), Action::Wait);
    progress.note_read(late);
    assert_eq!(close.poll(progress.state(), LIMITS, late + RECHECK), Action::Wait);
}

#[test]
fn close_half_read_head_waits_for_head_timeout() {
    let start = Instant::now();
    let (mut progress, mut close) = (Progress::new(start), Close::default());
    progress.note_read(start + seconds(14));
    close.request();
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(16)), Action::Wait);
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(18)), Action::Drop);
    assert_eq!(close.cause(), Cause::HeadTimeout);
}

/// Guards against a request that is lost because its connection is closed before it has arrived.
#[test]
fn close_requested_after_connect_waits_for_request() {
    let start = Instant::now();
    let (mut progress, mut close) = (Progress::new(start), Close::default());
    close.request();
    assert_eq!(close.poll(progress.state(), LIMITS, start + RECHECK), Action::Wait);
    progress.note_read(start + 2 * RECHECK);
    assert_eq!(close.poll(progress.state(), LIMITS, start + 3 * RECHECK), Action::Wait);
}

#[test]
fn close_requested_without_request_ends() {
    let start = Instant::now();
    let (progress, mut close) = (Progress::new(start), Close::default());
    close.request();
    assert_eq!(close.poll(progress.state(), LIMITS, start + seconds(1)), Action::Shutdown);
    assert_eq!(close.cause(), Cause::Stopping);
}

#[test]
fn close_requested_once() {
    let start = Instant::now();
    let (mut progress, mut close) = (Progress::new(start), Close::default());
    let number = progress.begin("r1".into(), start);
    close.request();
    assert_eq!(close.poll(progress.state(), LIMITS, start), Action::Shutdown);
    assert_eq!(close.poll(progress.state(), LIMITS, start + seconds(60)), Action::Wait);
    progress.end(number, start + seconds(60));
    assert_eq!(close.poll(progress.state(), LIMITS, start + seconds(60)), Action::Wait);
    assert_eq!(close.cause(), Cause::Stopping);
}

/// Guards against a request that counts as ended because an earlier one has.
#[test]
fn progress_late_end_of_earlier_request_ignored() {
    let start = Instant::now();
    let mut progress = Progress::new(start);
    let first = progress.begin("r1".into(), start);
    progress.note_answered(first);
    progress.begin("r2".into(), start);
    progress.end(first, start);
    assert_eq!(progress.state(), State::Busy);
    assert_eq!(progress.unanswered(start).expect("r2").0.request, "r2");
}

/// Guards against a connection that counts as idle with a half read head.
#[test]
fn progress_head_begun_during_response_kept() {
    let start = Instant::now();
    let mut progress = Progress::new(start);
    let number = progress.begin("r1".into(), start);
    progress.note_read(start);
    progress.note_body_read(number);
    progress.note_read(start + seconds(1));
    progress.end(number, start + seconds(2));
    assert_eq!(progress.state(), State::ReadingHead(start + seconds(1)));
}

/// Guards against a response that counts as delivered while it waits for its caller.
#[test]
fn progress_unsent_response_unanswered() {
    let start = Instant::now();
    let (mut progress, mut close) = (Progress::new(start), Close::default());
    let number = progress.begin("r1".into(), start);
    progress.note_answered(number);
    progress.end(number, start);
    progress.note_blocked(start);
    assert!(progress.unanswered(start).is_some());
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(14)), Action::Wait);
    progress.note_sent(start + seconds(14));
    progress.note_blocked(start + seconds(14));
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(28)), Action::Wait);
    assert_eq!(settle(&mut close, &progress, LIMITS, start + seconds(30)), Action::Drop);
    assert_eq!(close.cause(), Cause::NotReading);
}

fn candidate(number: u64, host: u8, state: State) -> Candidate {
    Candidate { number, address: [10, 0, 0, host].into(), state }
}

/// Guards against a listener that is full and closes connections in use, those of callers with few,
/// or young ones while older ones are idle.
#[test]
fn choose_idlest_of_caller_with_most() {
    let now = Instant::now() + Duration::from_secs(60);
    let ago = |seconds| now - Duration::from_secs(seconds);
    let open = [
        candidate(1, 1, State::Idle(ago(50))),
        candidate(2, 2, State::Busy),
        candidate(3, 2, State::Idle(ago(5))),
        candidate(4, 2, State::ReadingHead(ago(9))),
        candidate(6, 2, State::Blocked(ago(7))),
    ];
    assert_eq!(choose(&open, now), Some(4));
    assert_eq!(choose(&open[..2], now), Some(1));
    assert_eq!(choose(&open[1..2], now), None);
    let young = candidate(7, 1, State::Idle(now - MIN_EVICTION_AGE / 2));
    assert_eq!(choose(&[young], now), None);
}
