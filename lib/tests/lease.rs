//! The lease across a return of the store from a copy.

use std::time::{Duration, Instant};

use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::{Epoch, Incarnation};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};

const TERM: Term = Term { ttl: Duration::from_secs(2), margin: Duration::from_millis(3_200) };
const MS: Duration = Duration::from_millis(1);

fn holder(name: &str) -> Holder {
    Holder { name: name.parse().expect("a name"), incarnation: Incarnation(1) }
}

/// Reads what the store has and gives the write that follows, if one does.
fn read_and_poll(
    lease: &mut Lease,
    now: Instant,
    found: Option<(Point, Record)>,
) -> Option<Action> {
    assert_eq!(lease.poll(now, TERM, true, |_| false), Some(Action::Read));
    lease.on_read(now, TERM, found);
    lease.poll(now, TERM, true, |_| false)
}

/// A lease that is held since `now` in era 1, with its record.
fn held(now: Instant) -> (Lease, Record) {
    let mut lease = Lease::new(holder("edge-1"));
    lease.set_era(Era(1), now - TERM.ttl - TERM.margin);
    let Some(Action::Write { expected: None, record }) = read_and_poll(&mut lease, now, None)
    else {
        panic!("nobody holds it");
    };
    lease.on_written(now, TERM, Written::Done(Point::new(Era(1), 30)));
    (lease, record)
}

/// Guards against a pause of all that the holder does, and against a record that is not written again.
#[test]
fn poll_copy_lacks_record_holder_goes_on() {
    let now = Instant::now();
    let (mut lease, record) = held(now);
    let later = now + MS * 100;
    lease.set_era(Era(2), later);
    assert_eq!(lease.authority(later), Some(record.epoch));
    let write = read_and_poll(&mut lease, later, None);
    let Some(Action::Write { expected: None, record: again }) = write else {
        panic!("it is written again: {write:?}");
    };
    assert_eq!((again.epoch, again.era), (record.epoch, Era(2)));
    lease.on_written(later, TERM, Written::Done(Point::new(Era(2), 12)));
    assert_eq!(lease.authority(later + MS * 1_900), Some(record.epoch));
}

/// Guards against a second holder on the word of a copy, and against a lease that nobody takes again.
#[test]
fn poll_copy_lacks_record_challenger_waits_once() {
    let now = Instant::now();
    let (_, record) = held(now);
    let mut other = Lease::new(holder("edge-2"));
    other.set_era(Era(2), now);
    assert_eq!(read_and_poll(&mut other, now, None), None);
    let wait = TERM.ttl + TERM.margin;
    assert_eq!(other.poll(now + wait - MS, TERM, true, |_| false), None);
    let write = other.poll(now + wait, TERM, true, |_| false);
    let Some(Action::Write { record: next, .. }) = write else { panic!("{write:?}") };
    assert!(next.epoch > record.epoch, "a number is given out once");
}

/// Guards against a number that is given out twice: the copy shows an earlier holding.
#[test]
fn poll_copy_shows_earlier_holding_number_grows() {
    let now = Instant::now();
    let mut other = Lease::new(holder("edge-2"));
    other.set_era(Era(2), now);
    let earlier = Record { holder: Some(holder("edge-3")), epoch: Epoch(4), ..Record::default() };
    let found = Some((Point::new(Era(2), 20), earlier));
    assert_eq!(read_and_poll(&mut other, now, found), None);
    let gone = other.poll(now + MS, TERM, true, |_| true);
    assert_eq!(gone, None, "holders that the copy does not show may be at work");
    let write = other.poll(now + TERM.ttl + TERM.margin, TERM, true, |_| true);
    let Some(Action::Write { record, .. }) = write else { panic!("{write:?}") };
    assert_eq!(record.epoch, Epoch(Point::new(Era(2), 20).number()));
}

/// Guards against authority from a write that was sent in a former era and arrived in a later one.
#[test]
fn take_read_own_write_across_eras_gives_nothing() {
    let now = Instant::now();
    let (mut lease, record) = held(now);
    let later = now + TERM.ttl;
    lease.set_era(Era(2), later);
    let found = Some((Point::new(Era(2), 40), Record { beat: 1, ..record }));
    assert_eq!(read_and_poll(&mut lease, later, found), None);
    assert_eq!(lease.authority(later), None);
    assert_eq!(lease.holding(later), None);
}
