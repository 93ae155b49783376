//! Client accounts: keys, identification of requests, and freshness of the configuration.

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
fn directory_finds_account_by_any_key() {
    let directory = directory(vec![entry("a", Some(1), &["k1", "k2"]), entry("b", None, &["k3"])]);
    let found = ["k1", "k2", "k3", "k4"].map(|key| name(&directory, key));
    assert_eq!(found, [Some("a"), Some("a"), Some("b"), None]);
    assert!(directory.faults().is_empty());
}

/// A request whose key belongs to two accounts must not be served under either.
#[test]
fn directory_shared_key_belongs_to_no_account() {
    let directory = directory(vec![entry("a", None, &["k1", "k2"]), entry("b", None, &["k1"])]);
    assert_eq!([name(&directory, "k1"), name(&directory, "k2")], [None, Some("a")]);
    assert_eq!(directory.faults(), [Fault::Shared { first: id("a"), second: id("b") }]);
}

#[test]
fn directory_duplicate_name_one_account() {
    let directory = directory(vec![entry("a", Some(1), &["k1"]), entry("a", Some(7), &["k2"])]);
    assert_eq!([name(&directory, "k1"), name(&directory, "k2")], [Some("a"), Some("a")]);
    assert_eq!(directory.accounts().len(), 1);
    assert_eq!(directory.faults(), [Fault::NamedTwice { account: id("a") }]);
}

#[test]
fn digest_empty_or_too_long_none() {
    assert_eq!(digest(b""), None);
    assert_eq!(digest(&[b'k'; 257]), None);
    assert!(digest(&[b'k'; 256]).is_some());
}

#[test]
fn identify_by_route_and_key() {
    let accounts = directory(vec![entry("a", Some(1), &["k1"])]);
    let account = Identity::Account(Account { name: id("a"), rank: Some(1) });
    let result =
        |anonymous, key: Option<&str>| identify(Some(&accounts), anonymous, key.map(str::as_bytes));
    assert_eq!(result(false, Some("k1")), account);
    assert_eq!(result(true, Some("k1")), account);
    assert_eq!(result(false, Some("k2")), Identity::UnknownKey);
    assert_eq!(result(false, Some("")), Identity::UnknownKey);
    assert_eq!(result(false, None), Identity::NoKey);
    assert_eq!(result(true, None), Identity::Anonymous);
    assert_eq!(result(true, Some("k2")), Identity::Anonymous);
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

/// Requests with a removed key must not each cause a check of the store.
#[test]
fn inherit_retired_keys_removed_keys_retired() {
    let first = directory(vec![entry("a", None, &["k1", "k2"])]);
    let mut second = directory(vec![entry("a", None, &["k2"])]);
    second.inherit_retired_keys(&first);
    let mut third = directory(vec![entry("b", None, &["k1"])]);
    third.inherit_retired_keys(&second);
    let result = |directory, key: &str| identify(Some(directory), false, Some(key.as_bytes()));
    assert_eq!(result(&second, "k1"), Identity::RetiredKey);
    assert_eq!(result(&third, "k2"), Identity::RetiredKey);
    assert!(matches!(result(&third, "k1"), Identity::Account(_)));
    assert_eq!(result(&third, "k3"), Identity::UnknownKey);
}
