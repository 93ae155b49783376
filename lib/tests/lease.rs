//! The lease across a restore of the store from a backup.

use std::time::{Duration, Instant};

use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::{Epoch, Incarnation};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};

const TERM: Term = Term { ttl: Duration::from_secs(2), margin: Duration::from_millis(3_200) };
const MS: Duration = Duration::from_millis(1);

fn holder(name: &str) -> Holder {
    Holder { name: name.parse().expect("a name"), incarnation: Incarnation(1) }
}

/// Reads `found` and returns the write that follows, if any.
fn read_and_poll(
    lease: &mut Lease,
    now: Instant,
    found: Option<(Point, Record)>,
) -> Option<Action> {
    assert_eq!(lease.poll(now, TERM, true, |_| false), Some(Action::Read));
    lease.on_read(now, TERM, found);
    lease.poll(now, TERM, true, |_| false)
}

/// A lease acquired at `now` in era 1, with its record.
fn held_lease(now: Instant) -> (Lease, Record) {
    let mut lease = Lease::new(holder("edge-1"));
    lease.set_era(Era(1), now - TERM.ttl - TERM.margin);
    let Some(Action::Write { expected: None, record }) = read_and_poll(&mut lease, now, None)
    else {
        panic!("the lease is free");
    };
    lease.on_written(now, TERM, Written::Done(Point::new(Era(1), 30)));
    (lease, record)
}

/// The holder must neither stop nor fail to write its record again when the backup lacks it.
#[test]
fn poll_holder_keeps_lease_missing_from_backup() {
    let now = Instant::now();
    let (mut lease, record) = held_lease(now);
    let later = now + MS * 100;
    lease.set_era(Era(2), later);
    assert_eq!(lease.authority(later), Some(record.epoch));
    let write = read_and_poll(&mut lease, later, None);
    let Some(Action::Write { expected: None, record: rewritten }) = write else {
        panic!("the record was not rewritten: {write:?}");
    };
    assert_eq!((rewritten.epoch, rewritten.era), (record.epoch, Era(2)));
    lease.on_written(later, TERM, Written::Done(Point::new(Era(2), 12)));
    assert_eq!(lease.authority(later + MS * 1_900), Some(record.epoch));
}

/// A challenger must not take over early because the backup shows no holder, and must take over
/// once the term has expired.
#[test]
fn poll_challenger_waits_when_backup_lacks_record() {
    let now = Instant::now();
    let (_, record) = held_lease(now);
    let mut challenger = Lease::new(holder("edge-2"));
    challenger.set_era(Era(2), now);
    assert_eq!(read_and_poll(&mut challenger, now, None), None);
    let wait = TERM.ttl + TERM.margin;
    assert_eq!(challenger.poll(now + wait - MS, TERM, true, |_| false), None);
    let write = challenger.poll(now + wait, TERM, true, |_| false);
    let Some(Action::Write { record: next, .. }) = write else { panic!("{write:?}") };
    assert!(next.epoch > record.epoch, "fencing tokens must not be reused");
}

/// A fencing token must not be reused when the backup shows an earlier holder.
#[test]
fn poll_takeover_from_backup_increases_token() {
    let now = Instant::now();
    let mut challenger = Lease::new(holder("edge-2"));
    challenger.set_era(Era(2), now);
    let earlier = Record { holder: Some(holder("edge-3")), epoch: Epoch(4), ..Record::default() };
    let found = Some((Point::new(Era(2), 20), earlier));
    assert_eq!(read_and_poll(&mut challenger, now, found), None);
    let gone = challenger.poll(now + MS, TERM, true, |_| true);
    assert_eq!(gone, None, "holders missing from the backup may still be running");
    let write = challenger.poll(now + TERM.ttl + TERM.margin, TERM, true, |_| true);
    let Some(Action::Write { record, .. }) = write else { panic!("{write:?}") };
    assert_eq!(record.epoch, Epoch(Point::new(Era(2), 20).number()));
}

/// A write sent in an earlier era and applied in a later one must give no authority.
#[test]
fn on_read_own_write_across_eras_gives_no_authority() {
    let now = Instant::now();
    let (mut lease, record) = held_lease(now);
    let later = now + TERM.ttl;
    lease.set_era(Era(2), later);
    let found = Some((Point::new(Era(2), 40), Record { beat: 1, ..record }));
    assert_eq!(read_and_poll(&mut lease, later, found), None);
    assert_eq!(lease.authority(later), None);
    assert_eq!(lease.holding(later), None);
}

/// Releases a held lease at `now + after` and takes it again at once. Returns the lease and the
/// time at which it was taken.
fn released_and_taken(now: Instant, after: Duration) -> (Lease, Instant) {
    let (mut lease, _) = held_lease(now);
    let later = now + after;
    let release = lease.poll(later, TERM, false, |_| false);
    assert!(matches!(&release, Some(Action::Write { record, .. }) if record.holder.is_none()));
    lease.on_written(later, TERM, Written::Done(Point::new(Era(1), 40)));
    let take = lease.poll(later, TERM, true, |_| false);
    assert!(matches!(&take, Some(Action::Write { record, .. }) if record.holder.is_some()));
    lease.on_written(later, TERM, Written::Done(Point::new(Era(1), 41)));
    (lease, later)
}

/// Guards against a holder that waits for its own calls after an outage of the store: its last term
/// had ended seconds before, and duties were late by the gap between two holders.
#[test]
fn poll_own_lapsed_lease_taken_without_gap() {
    let (lease, taken) = released_and_taken(Instant::now(), TERM.ttl + TERM.margin);
    assert!(lease.authority(taken).is_some());
}

/// Renews a lease every second until `until`.
fn renew_until(lease: &mut Lease, taken: Instant, until: Instant) {
    let times = (1..).map(|seconds| taken + MS * 1_000 * seconds).take_while(|at| *at < until);
    for (beat, at) in times.enumerate() {
        let renewal = lease.poll(at, TERM, true, |_| false);
        assert!(matches!(renewal, Some(Action::Write { .. })), "{renewal:?}");
        lease.on_written(at, TERM, Written::Done(Point::new(Era(1), 50 + beat as u64)));
    }
}

/// A call of a term that has not ended, or ended a moment ago, may still be in flight.
#[test]
fn poll_own_lease_released_recently_taken_with_gap() {
    // Released within its term, and 100 ms after it.
    for (after, gap) in [(MS * 100, TERM.margin), (TERM.ttl + MS * 100, TERM.margin - MS * 100)] {
        let (mut lease, taken) = released_and_taken(Instant::now(), after);
        renew_until(&mut lease, taken, taken + gap);
        assert_eq!(lease.authority(taken + gap - MS), None);
        assert!(lease.authority(taken + gap).is_some());
    }
}
