//! Who a request is from.

use http::{HeaderMap, header};
use sardinepick_lib::config::object::{Account, Right};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::Name;

use super::fault::Fault;
use crate::node::Node;

const BEARER: &str = "Bearer ";

fn digest(headers: &HeaderMap) -> Result<Digest, Fault> {
    let value = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(BEARER)).ok_or_else(Fault::unauthorized)?;
    Ok(Digest::of(key.trim().as_bytes()))
}

/// The account of a request.
///
/// # Errors
/// The request has no key of an account.
pub fn of(snapshot: &Snapshot, headers: &HeaderMap) -> Result<Account, Fault> {
    let digest = digest(headers)?;
    snapshot.account_of_key(&digest).cloned().ok_or_else(Fault::unauthorized)
}

/// An operator with what it may do.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// What it may do.
    pub right: Right,
}

/// The name under which the bootstrap key acts.
const BOOTSTRAP: &str = "bootstrap";

/// The operator of a request. The bootstrap key is taken as long as no operator is configured, so
/// that a new system can be set up and the key is of no use afterwards.
///
/// # Errors
/// The request has no key of an operator.
pub fn operator(node: &Node, snapshot: &Snapshot, headers: &HeaderMap) -> Result<Operator, Fault> {
    let digest = digest(headers)?;
    if let Some(operator) = snapshot.operator_of_key(&digest) {
        return Ok(Operator { name: operator.name.clone(), right: operator.role });
    }
    let configured = snapshot
        .objects()
        .any(|o| matches!(o, sardinepick_lib::config::object::Object::Operator(_)));
    let bootstrap = node.settings.bootstrap_key.filter(|_| !configured);
    match bootstrap {
        Some(key) if key.matches(&digest) => {
            let name = BOOTSTRAP.parse().expect("a fixed name is a name");
            Ok(Operator { name, right: Right::Administer })
        }
        _ => Err(Fault::unauthorized()),
    }
}
