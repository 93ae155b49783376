//! Which addresses callers should use.

use dropshot::{HttpError, HttpResponseOk, Query, RequestContext, endpoint};
use sardinepick_lib::directory;
use sardinepick_lib::id::Name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Context;

/// What a caller says of itself.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Asked {
    /// The data centre whose nodes it prefers; that of the node asked, if not given.
    data_centre: Option<String>,
}

/// The addresses to use.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Listing {
    /// IP addresses and ports, the preferred first.
    addresses: Vec<String>,
    /// For how long the answer may be kept, in milliseconds.
    valid_ms: u64,
    /// The value to send as `x-sardinepick-epoch` with requests that must not run twice.
    epoch: u64,
}

/// Which addresses to use, for how long.
#[endpoint { method = GET, path = "/v1/addresses" }]
pub async fn list_addresses(
    context: RequestContext<Context>,
    asked: Query<Asked>,
) -> Result<HttpResponseOk<Listing>, HttpError> {
    let node = context.context();
    let near: Option<Name> =
        match asked.into_inner().data_centre {
            Some(text) => Some(text.parse().map_err(|error| {
                HttpError::for_bad_request(None, format!("data_centre: {error}"))
            })?),
            None => Some(node.settings.data_centre.clone()),
        };
    let fronts = node.fronts();
    let picked = directory::pick_addresses(&fronts, near.as_ref(), &mut *node.rng());
    Ok(HttpResponseOk(Listing {
        addresses: picked.iter().map(ToString::to_string).collect(),
        valid_ms: u64::try_from(node.settings.validity.as_millis()).unwrap_or(u64::MAX),
        epoch: node.table.load().newest().0,
    }))
}
