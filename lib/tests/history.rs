//! Eras of the store: their order, their text, which are believed, and what the register makes of a
//! store that comes back from a copy.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::register::{Change, Register};
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::runner::{Entry, State};
use sardinepick_lib::history::{Era, LAST_ERA, Point, Present, Sight};
use sardinepick_lib::id::{Born, RunnerId};

const DOUBT: Duration = Duration::from_secs(2);

fn id() -> RunnerId {
    "i-1".parse().expect("an id")
}

/// An entry of a runner that has written so often.
fn entry(era: u32, revision: u64, writes: u64, state: State) -> Entry {
    Entry {
        id: id(),
        born: Some(Born(7)),
        service: "telraad".parse().expect("an id"),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "zaal-dom".parse().expect("an id"),
        state,
        stage: None,
        slots: 8,
        reclaimable: false,
        writes,
        at: Point::new(Era(era), revision),
    }
}

fn known(entry: Entry) -> Register {
    let mut register = Register::default();
    register.apply(entry);
    register
}

fn state(register: &Register) -> Option<State> {
    register.get(&id()).map(|runner| runner.entry.state)
}

#[test]
fn point_order_era_first() {
    assert!(Point::new(Era(2), 1) > Point::new(Era(1), 900));
    assert!(Point::new(Era(2), 2) > Point::new(Era(2), 1));
    assert!(
        RegisterVersion::of(Point::new(Era(2), 1))
            > RegisterVersion::of(Point::new(Era(1), 900)).next()
    );
}

/// Guards against fencing numbers that fall: the copy lacks the last changes of the era before.
#[test]
fn point_number_grows_over_eras() {
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
fn note_later_believed_former_not() {
    let now = Instant::now();
    let mut present = Present::default();
    assert_eq!(present.note(Era(4), now), Sight::First);
    assert_eq!(present.doubt(now, DOUBT), None, "nothing was known before it");
    assert_eq!(present.note(Era(5), now), Sight::Later { before: Era(4) });
    assert_eq!(present.note(Era(4), now), Sight::Former);
    assert_eq!((present.era(), present.note(Era(5), now)), (Era(5), Sight::Same));
    assert_eq!(present.doubt(now, DOUBT), Some(now + DOUBT));
    assert_eq!(present.doubt(now + DOUBT, DOUBT), None);
}

/// Guards against one torn header after which all answers are taken for old ones.
#[test]
fn note_leap_believed_when_shown_again() {
    let now = Instant::now();
    let mut present = Present::default();
    present.note(Era(1), now);
    assert_eq!(present.note(LAST_ERA, now), Sight::Unconfirmed);
    assert_eq!((present.note(Era(1), now), present.era()), (Sight::Same, Era(1)));
    assert_eq!(present.note(Era(3), now), Sight::Unconfirmed);
    assert_eq!(present.note(Era(3), now), Sight::Later { before: Era(1) });
}

/// Guards against a runner that leaves and is used again since a copy shows it as it was before.
#[test]
fn apply_copy_leaving_runner_leaves() {
    let mut register = known(entry(1, 90, 5, State::Draining));
    assert_eq!(register.apply(entry(2, 20, 3, State::Ready)), Change::None);
    assert_eq!(state(&register), Some(State::Draining));
    // Also where its own count does not tell.
    assert_eq!(register.apply(entry(3, 21, 9, State::Ready)), Change::None);
    assert_eq!(state(&register), Some(State::Draining));
}

/// Guards against a runner's leaving that is dropped as no newer than a copy.
#[test]
fn apply_copy_runner_leaves_after_it() {
    for writes in [5, 6] {
        let mut register = known(entry(1, 90, 5, State::Ready));
        assert_eq!(register.apply(entry(2, 20, 3, State::Ready)), Change::None);
        assert_eq!(register.apply(entry(2, 21, writes, State::Draining)), Change::Leaving);
    }
}

/// Guards against a runner that has left and is used again since a copy still has it.
#[test]
fn apply_copy_runner_that_left_not_added() {
    let mut register = known(entry(1, 90, 5, State::Ready));
    assert_eq!(register.remove(&id(), None), Change::Removed);
    assert_eq!(register.apply(entry(2, 20, 5, State::Ready)), Change::Outdated);
    assert_eq!(state(&register), None);
    // It has written since it was gone, so it is there.
    assert_eq!(register.apply(entry(2, 22, 6, State::Ready)), Change::Added);
}

/// Guards against a runner that a copy lacks and that is dropped, or doubted for good.
#[test]
fn apply_copy_lacks_runner_written_again_kept() {
    let now = Instant::now();
    let mut register = known(entry(1, 90, 5, State::Ready));
    assert_eq!(register.remove(&id(), Some(now + DOUBT)), Change::Missing);
    assert_eq!(register.apply(entry(2, 20, 5, State::Ready)), Change::Updated);
    assert_eq!(register.expire(now + DOUBT), []);
    assert_eq!(state(&register), Some(State::Ready));
}

/// Guards against a node that brings a former era back.
#[test]
fn apply_former_era_changes_nothing() {
    let mut register = known(entry(2, 20, 5, State::Ready));
    assert_eq!(register.apply(entry(1, 900, 9, State::Ready)), Change::None);
    assert_eq!(register.reject(&id(), Point::new(Era(1), 901)), Change::None);
}
