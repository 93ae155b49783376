//! Authentication of client accounts and operators.

use http::{HeaderMap, header};
use sardinepick_lib::config::object::{Account, Right};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::Name;

use super::error::ApiError;
use crate::node::Node;

const BEARER: &str = "Bearer ";

fn key_digest(headers: &HeaderMap) -> Result<Digest, ApiError> {
    let value = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(BEARER)).ok_or_else(ApiError::unauthorized)?;
    Ok(Digest::of(key.trim().as_bytes()))
}

/// Returns the account of a request.
///
/// # Errors
/// The request has no key, or one that belongs to no account.
pub fn authenticate(snapshot: &Snapshot, headers: &HeaderMap) -> Result<Account, ApiError> {
    let digest = key_digest(headers)?;
    snapshot.account_of_key(&digest).cloned().ok_or_else(ApiError::unauthorized)
}

/// An authenticated operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// Its right.
    pub right: Right,
}

/// The operator name of the bootstrap key.
const BOOTSTRAP_NAME: &str = "bootstrap";

/// Returns the operator of a request. The bootstrap key is valid only while no operator is
/// configured: it serves to set up a new system and is useless afterwards.
///
/// # Errors
/// The request has no key, or one that belongs to no operator.
pub fn authenticate_operator(
    node: &Node,
    snapshot: &Snapshot,
    headers: &HeaderMap,
) -> Result<Operator, ApiError> {
    let digest = key_digest(headers)?;
    if let Some(operator) = snapshot.operator_of_key(&digest) {
        return Ok(Operator { name: operator.name.clone(), right: operator.role });
    }
    let configured = snapshot
        .objects()
        .any(|o| matches!(o, sardinepick_lib::config::object::Object::Operator(_)));
    let bootstrap = node.settings.bootstrap_key.filter(|_| !configured);
    match bootstrap {
        Some(key) if key.matches(&digest) => {
            let name = BOOTSTRAP_NAME.parse().expect("the constant is a valid name");
            Ok(Operator { name, right: Right::Administer })
        }
        _ => Err(ApiError::unauthorized()),
    }
}
