//! What streams are bound to: the memory, the history of versions, and what both prove.

use std::ops::Range;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::stream_binding::history::History;
use sardinepick_lib::fleet::stream_binding::memory::{Added, CAPACITY, Memory};
use sardinepick_lib::fleet::stream_binding::{
    Binding, Evidence, HOLDERS, Seen, StreamKey, Versions, holders,
};
use sardinepick_lib::fleet::version::{MAX_VERSION_LEN, Version};
use sardinepick_lib::id::{AccountId, NodeId, ServiceId};

const SECOND: Duration = Duration::from_secs(1);

fn version(text: &str) -> Version {
    text.parse().expect("a version")
}

fn service() -> ServiceId {
    "telraad".parse().expect("an id")
}

fn binding(of: &str) -> Binding {
    Binding { service: service(), version: version(of) }
}

fn account(name: &str) -> AccountId {
    name.parse().expect("an account")
}

#[test]
fn version_too_long_rejected() {
    assert!("v".repeat(MAX_VERSION_LEN).parse::<Version>().is_ok());
    assert!("v".repeat(MAX_VERSION_LEN + 1).parse::<Version>().is_err());
}

/// Guards against an account that names the streams of another.
#[test]
fn stream_key_of_other_account_differs() {
    let (one, other) = (account("one"), account("other"));
    let keys = [Some(&one), Some(&other), None].map(|account| StreamKey::new(account, "r1"));
    assert!(keys[0] != keys[1] && keys[1] != keys[2] && keys[0] != keys[2]);
}

#[test]
fn holders_same_for_all_orders_of_nodes() {
    let nodes: Vec<NodeId> = (0..9).map(|n| format!("edge-{n}").parse().expect("a name")).collect();
    for id in 0..50 {
        let key = StreamKey::new(None, &format!("r{id}"));
        let forth = holders(key, nodes.iter());
        assert_eq!(forth, holders(key, nodes.iter().rev()));
        assert_eq!(forth.len(), HOLDERS);
    }
}

#[test]
fn memory_binding_ends_at_deadline() {
    let (mut memory, now) = (Memory::default(), Instant::now());
    let key = StreamKey::new(None, "r1");
    assert_eq!(memory.add(key, binding("v1"), now, now + SECOND * 5, now), Added::New);
    let later = now + SECOND * 2;
    assert_eq!(memory.get(key, later), Some((&binding("v1"), SECOND * 2)));
    assert_eq!(memory.get(key, now + SECOND * 5), None);
    let other = StreamKey::new(None, "r2");
    memory.add(other, binding("v1"), now, now + SECOND * 9, now + SECOND * 6);
    assert_eq!(memory.len(), 1, "an ended binding is dropped");
}

/// Guards against a stream that is bound again, to another version.
#[test]
fn memory_first_binding_stays() {
    let (mut memory, now) = (Memory::default(), Instant::now());
    let key = StreamKey::new(None, "r1");
    memory.add(key, binding("v1"), now, now + SECOND, now);
    assert_eq!(memory.add(key, binding("v2"), now, now + SECOND * 9, now), Added::Conflicting);
    assert_eq!(memory.add(key, binding("v1"), now, now + SECOND * 3, now), Added::Known);
    assert_eq!(memory.get(key, now + SECOND * 2).map(|(b, _)| b.clone()), Some(binding("v1")));
}

/// Guards against an account that displaces the streams of others.
#[test]
fn memory_full_account_with_most_streams_evicted() {
    let (mut memory, now) = (Memory::default(), Instant::now());
    let (small, large) = (account("small"), account("large"));
    let mine: Vec<StreamKey> =
        (0..50).map(|n| StreamKey::new(Some(&small), &format!("r{n}"))).collect();
    for key in &mine {
        memory.add(*key, binding("v1"), now, now + SECOND, now);
    }
    let mut evicted = 0;
    for n in 0..CAPACITY + 100 {
        let key = StreamKey::new(Some(&large), &format!("r{n}"));
        let added = memory.add(key, binding("v1"), now, now + SECOND * 9, now);
        evicted += usize::from(added == Added::Evicting);
    }
    assert_eq!((memory.len(), evicted), (CAPACITY, 150));
    assert!(mine.iter().all(|key| memory.get(*key, now).is_some()));
}

/// Observes versions once a second.
fn observe(history: &mut History, began: Instant, seconds: Range<u32>, of: &[&str]) {
    let versions: Vec<Version> = of.iter().map(|text| version(text)).collect();
    let service = service();
    for second in seconds {
        history.observe(versions.iter().map(|v| (&service, v)), began + SECOND * second);
    }
}

#[test]
fn history_one_version_conclusive_after_horizon() {
    let (mut history, began) = (History::default(), Instant::now());
    observe(&mut history, began, 0..30, &["v1"]);
    let now = began + SECOND * 30;
    assert!(history.is_conclusive(&service(), now));
    assert_eq!(history.seen(&service(), Duration::ZERO, now), seen(Some("v1"), true));
    let long = history.seen(&service(), SECOND * 60, now);
    assert_eq!(long, seen(Some("v1"), false), "a stream may be older than the node");
}

/// Guards against a version that is forgotten while its streams can be taken up.
#[test]
fn history_departed_version_seen_until_horizon() {
    let (mut history, began) = (History::default(), Instant::now());
    observe(&mut history, began, 0..20, &["v1"]);
    observe(&mut history, began, 20..25, &["v1", "v2"]);
    observe(&mut history, began, 25..60, &["v2"]);
    let seen = |at| history.seen(&service(), Duration::ZERO, began + SECOND * at).versions;
    assert_eq!(seen(20), Versions::One(version("v1")), "no node uses it yet");
    assert!(!history.is_conclusive(&service(), began + SECOND * 20), "bindings are shared");
    assert_eq!(seen(21), Versions::Several);
    assert_eq!(seen(30), Versions::Several);
    assert_eq!(seen(50), Versions::One(version("v2")));
    history.note_deadline(&service(), SECOND * 40);
    let seen = history.seen(&service(), Duration::ZERO, began + SECOND * 59).versions;
    assert_eq!(seen, Versions::Several, "callers wait longer");
}

/// Guards against a node that has not read the register yet, as while the store is away, and takes
/// that time for one in which it has seen all versions.
#[test]
fn history_before_first_runner_not_covered() {
    let (mut history, began) = (History::default(), Instant::now());
    observe(&mut history, began, 0..20, &[]);
    observe(&mut history, began, 20..21, &["v1", "v2"]);
    let seen_at = |at| history.seen(&service(), Duration::ZERO, began + SECOND * at);
    assert_eq!(seen_at(20), Seen { versions: Versions::Several, covers: false });
}

/// Guards against a node that was suspended and takes its history for whole.
#[test]
fn history_after_gap_not_conclusive() {
    let (mut history, began) = (History::default(), Instant::now());
    observe(&mut history, began, 0..30, &["v1"]);
    observe(&mut history, began, 40..45, &["v1"]);
    assert!(!history.is_conclusive(&service(), began + SECOND * 45));
    observe(&mut history, began, 45..70, &["v1"]);
    assert!(history.is_conclusive(&service(), began + SECOND * 69));
    assert!(!history.is_conclusive(&service(), began + SECOND * 80));
}

fn seen(of: Option<&str>, covers: bool) -> Seen {
    let versions = of.map_or(Versions::None, |text| Versions::One(version(text)));
    Seen { versions, covers }
}

#[test]
fn evidence_only_version_if_all_agree() {
    let several = Seen { versions: Versions::Several, covers: true };
    let cases = [
        (seen(Some("v1"), true), vec![seen(Some("v1"), false)], 1, Some("v1")),
        (seen(Some("v1"), false), vec![seen(Some("v1"), true)], 1, Some("v1")),
        (seen(None, false), vec![seen(Some("v1"), true)], 1, Some("v1")),
        (seen(Some("v1"), false), vec![seen(Some("v1"), false)], 1, None),
        (seen(Some("v1"), true), vec![seen(Some("v2"), false)], 1, None),
        (seen(Some("v1"), true), vec![several.clone()], 1, None),
        (several, vec![seen(Some("v1"), true)], 1, None),
        (seen(Some("v1"), true), vec![], 0, Some("v1")),
        // A node that is partitioned from most others may not know the newest version.
        (seen(Some("v1"), true), vec![seen(Some("v1"), true)], 4, None),
        (seen(Some("v1"), true), vec![seen(Some("v1"), true); 2], 4, Some("v1")),
    ];
    for (at, (own, replies, asked, expected)) in cases.into_iter().enumerate() {
        let mut evidence = Evidence::new(own, asked);
        replies.into_iter().for_each(|reply| evidence.add(reply));
        assert_eq!(evidence.only_version(), expected.map(version), "case {at}");
    }
}
