//! Eras of the store: order, text form, which reported eras are accepted, and how the register
//! handles a restored backup.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::register::{Change, Register};
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::runner::{Entry, State};
use sardinepick_lib::history::{CurrentEra, Era, EraChange, MAX_ERA, Point};
use sardinepick_lib::id::{RunnerId, StartTime};

const GRACE: Duration = Duration::from_secs(2);

fn id() -> RunnerId {
    "i-1".parse().expect("an id")
}

/// An entry of a runner at the given position and after `writes` writes.
fn entry(era: u32, revision: u64, writes: u64, state: State) -> Entry {
    Entry {
        id: id(),
        born: Some(StartTime(7)),
        service: "telraad".parse().expect("an id"),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "zaal-dom".parse().expect("an id"),
        state,
        stage: None,
        slots: 8,
        version: Default::default(),
        reclaimable: false,
        writes,
        at: Point::new(Era(era), revision),
    }
}

fn register_with(entry: Entry) -> Register {
    let mut register = Register::default();
    register.apply(entry);
    register
}

fn state(register: &Register) -> Option<State> {
    register.get(&id()).map(|runner| runner.entry.state)
}

#[test]
fn point_orders_by_era_first() {
    assert!(Point::new(Era(2), 1) > Point::new(Era(1), 900));
    assert!(Point::new(Era(2), 2) > Point::new(Era(2), 1));
    assert!(
        RegisterVersion::of(Point::new(Era(2), 1))
            > RegisterVersion::of(Point::new(Era(1), 900)).next()
    );
}

/// Fencing tokens must not decrease when a backup lacks the last changes of the previous era.
#[test]
fn point_number_increases_across_eras() {
    let lost = 400 * 60;
    for revision in [lost, 1 << 20, 1 << 36] {
        let before = Point::new(Era(1), revision);
        assert!(Point::new(Era(1), revision + 1).number() > before.number());
        assert!(Point::new(Era(2), revision - lost).number() > before.number());
    }
    assert_eq!(Point::without_era(41).number(), 41);
}

#[test]
fn point_text_round_trip() {
    let point = Point::new(Era(3), 55);
    assert_eq!(point.to_string().parse(), Ok(point));
    for wrong in ["", "55", "3.", ".55", "3.-1", "a.1", "4096.1", "99999999999.1", "3.1.2"] {
        assert!(wrong.parse::<Point>().is_err(), "{wrong:?}");
    }
}

#[test]
fn observe_accepts_later_era_only() {
    let now = Instant::now();
    let mut current_era = CurrentEra::default();
    assert_eq!(current_era.observe(Era(4), now), EraChange::First);
    assert_eq!(current_era.grace_until(now, GRACE), None, "no era was known before");
    assert_eq!(current_era.observe(Era(5), now), EraChange::Later { before: Era(4) });
    assert_eq!(current_era.observe(Era(4), now), EraChange::Earlier);
    assert_eq!((current_era.era(), current_era.observe(Era(5), now)), (Era(5), EraChange::Same));
    assert_eq!(current_era.grace_until(now, GRACE), Some(now + GRACE));
    assert_eq!(current_era.grace_until(now + GRACE, GRACE), None);
}

/// A single corrupted header must not make all later answers look out of date.
#[test]
fn observe_accepts_skipped_era_on_second_report() {
    let now = Instant::now();
    let mut current_era = CurrentEra::default();
    current_era.observe(Era(1), now);
    assert_eq!(current_era.observe(MAX_ERA, now), EraChange::Unconfirmed);
    assert_eq!((current_era.observe(Era(1), now), current_era.era()), (EraChange::Same, Era(1)));
    assert_eq!(current_era.observe(Era(3), now), EraChange::Unconfirmed);
    assert_eq!(current_era.observe(Era(3), now), EraChange::Later { before: Era(1) });
}

/// A draining runner must not be used again because a backup contains its earlier state.
#[test]
fn apply_backup_keeps_runner_draining() {
    let mut register = register_with(entry(1, 90, 5, State::Draining));
    assert_eq!(register.apply(entry(2, 20, 3, State::Ready)), Change::Reverted);
    assert_eq!(state(&register), Some(State::Draining));
    // A higher write count of the runner makes no difference.
    assert_eq!(register.apply(entry(3, 21, 9, State::Ready)), Change::Reverted);
    assert_eq!(state(&register), Some(State::Draining));
}

/// A runner's change to draining must not be ignored as no newer than the backup.
#[test]
fn apply_draining_after_restore() {
    for writes in [5, 6] {
        let mut register = register_with(entry(1, 90, 5, State::Ready));
        assert_eq!(register.apply(entry(2, 20, 3, State::Ready)), Change::None);
        assert_eq!(register.apply(entry(2, 21, writes, State::Draining)), Change::Leaving);
    }
}

/// A removed runner must not be used again because a backup still contains it.
#[test]
fn apply_backup_does_not_add_removed_runner() {
    let mut register = register_with(entry(1, 90, 5, State::Ready));
    assert_eq!(register.remove(&id(), None), Change::Removed);
    assert_eq!(register.apply(entry(2, 20, 5, State::Ready)), Change::Outdated);
    assert_eq!(state(&register), None);
    // It has written since its removal, so it exists.
    assert_eq!(register.apply(entry(2, 22, 6, State::Ready)), Change::Added);
}

/// A runner that a backup lacks must neither be dropped nor stay doubted after it has written
/// again.
#[test]
fn apply_rewritten_entry_keeps_runner() {
    let now = Instant::now();
    let mut register = register_with(entry(1, 90, 5, State::Ready));
    assert_eq!(register.remove(&id(), Some(now + GRACE)), Change::Missing);
    assert_eq!(register.apply(entry(2, 20, 5, State::Ready)), Change::Updated);
    assert_eq!(register.expire(now + GRACE), []);
    assert_eq!(state(&register), Some(State::Ready));
}

/// A node that is behind must not restore entries of an earlier era.
#[test]
fn apply_ignores_earlier_era() {
    let mut register = register_with(entry(2, 20, 5, State::Ready));
    assert_eq!(register.apply(entry(1, 900, 9, State::Ready)), Change::None);
    assert_eq!(register.reject(&id(), Point::new(Era(1), 901)), Change::None);
}
