//! Client accounts: keys, whose a request is, and when a configuration counts as the newest.

use std::time::{Duration, Instant};

use sardinepick_lib::account::directory::{
    Account, Directory, Entry, Fault, Identity, digest, identify,
};
use sardinepick_lib::account::freshness::{CHECK_VALIDITY, Freshness};
use sardinepick_lib::id::{AccountId, ConfigVersion};

fn id(name: &str) -> AccountId {
    name.parse().expect("an account")
}

fn entry(name: &str, rank: Option<u8>, keys: &[&str]) -> Entry {
    let keys = keys.iter().map(|key| digest(key.as_bytes()).expect("a key")).collect();
    Entry { account: Account { name: id(name), rank }, keys }
}

fn directory(entries: Vec<Entry>) -> Directory {
    Directory::new(entries, Vec::new())
}

fn name<'a>(directory: &'a Directory, key: &str) -> Option<&'a str> {
    directory.find(&digest(key.as_bytes())?).map(|account| account.name.as_str())
}

#[test]
fn directory_several_keys_found() {
    let directory = directory(vec![entry("a", Some(1), &["k1", "k2"]), entry("b", None, &["k3"])]);
    let found = ["k1", "k2", "k3", "k4"].map(|key| name(&directory, key));
    assert_eq!(found, [Some("a"), Some("a"), Some("b"), None]);
    assert!(directory.faults().is_empty());
}

/// Guards against a request served under a wrong account where two accounts claim its key.
#[test]
fn directory_key_of_two_accounts_of_none() {
    let directory = directory(vec![entry("a", None, &["k1", "k2"]), entry("b", None, &["k1"])]);
    assert_eq!([name(&directory, "k1"), name(&directory, "k2")], [None, Some("a")]);
    assert_eq!(directory.faults(), [Fault::Shared { first: id("a"), second: id("b") }]);
}

#[test]
fn directory_name_twice_one_account() {
    let directory = directory(vec![entry("a", Some(1), &["k1"]), entry("a", Some(7), &["k2"])]);
    assert_eq!([name(&directory, "k1"), name(&directory, "k2")], [Some("a"), Some("a")]);
    assert_eq!(directory.accounts().len(), 1);
    assert_eq!(directory.faults(), [Fault::NamedTwice { account: id("a") }]);
}

#[test]
fn digest_empty_and_overlong_none() {
    assert_eq!(digest(b""), None);
    assert_eq!(digest(&[b'k'; 257]), None);
    assert!(digest(&[b'k'; 256]).is_some());
}

#[test]
fn identify_by_route_and_key() {
    let known = directory(vec![entry("a", Some(1), &["k1"])]);
    let account = Identity::Account(Account { name: id("a"), rank: Some(1) });
    let of =
        |anonymous, key: Option<&str>| identify(Some(&known), anonymous, key.map(str::as_bytes));
    assert_eq!(of(false, Some("k1")), account);
    assert_eq!(of(true, Some("k1")), account);
    assert_eq!(of(false, Some("k2")), Identity::UnknownKey);
    assert_eq!(of(false, Some("")), Identity::UnknownKey);
    assert_eq!(of(false, None), Identity::NoKey);
    assert_eq!(of(true, None), Identity::Anonymous);
    assert_eq!(of(true, Some("k2")), Identity::Anonymous);
    assert_eq!(identify(None, false, None), Identity::Anonymous);
    assert_eq!(identify(Some(&Directory::default()), false, Some(b"k1")), Identity::UnknownKey);
}

#[test]
fn freshness_by_version_and_time() {
    let (at, version) = (Instant::now(), ConfigVersion(7));
    let mut freshness = Freshness::default();
    assert!(!freshness.covers(version, at));
    freshness.record_check(version, at);
    assert!(freshness.covers(version, at - Duration::from_millis(1)));
    assert!(freshness.covers(version, at + CHECK_VALIDITY - Duration::from_millis(1)));
    assert!(!freshness.covers(version, at + CHECK_VALIDITY));
    assert!(!freshness.covers(ConfigVersion(8), at));
}

/// Guards against a check of the store for each request with a key that was taken away.
#[test]
fn succeed_keys_taken_away_retired() {
    let first = directory(vec![entry("a", None, &["k1", "k2"])]);
    let mut second = directory(vec![entry("a", None, &["k2"])]);
    second.inherit_retired_keys(&first);
    let mut third = directory(vec![entry("b", None, &["k1"])]);
    third.inherit_retired_keys(&second);
    let of = |directory, key: &str| identify(Some(directory), false, Some(key.as_bytes()));
    assert_eq!(of(&second, "k1"), Identity::RetiredKey);
    assert_eq!(of(&third, "k2"), Identity::RetiredKey);
    assert!(matches!(of(&third, "k1"), Identity::Account(_)));
    assert_eq!(of(&third, "k3"), Identity::UnknownKey);
}
