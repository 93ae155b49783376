//! The endpoint with the addresses that clients should use.

use dropshot::{HttpError, HttpResponseOk, Query, RequestContext, endpoint};
use sardinepick_lib::directory;
use sardinepick_lib::id::Name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Context;

/// The query parameters of an address request.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct AddressQuery {
    /// The data centre whose nodes are preferred; by default that of the node that answers.
    data_centre: Option<String>,
}

/// The addresses that a client should use.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Listing {
    /// IP addresses and ports, in order of preference.
    addresses: Vec<String>,
    /// How long the response may be cached, in milliseconds.
    valid_ms: u64,
    /// The value of `x-sardinepick-epoch` for requests that must not run twice.
    epoch: u64,
}

/// Lists the addresses to use and how long they are valid.
#[endpoint { method = GET, path = "/v1/addresses" }]
pub async fn list_addresses(
    context: RequestContext<Context>,
    query: Query<AddressQuery>,
) -> Result<HttpResponseOk<Listing>, HttpError> {
    let node = context.context();
    let preferred: Option<Name> =
        match query.into_inner().data_centre {
            Some(text) => Some(text.parse().map_err(|error| {
                HttpError::for_bad_request(None, format!("data_centre: {error}"))
            })?),
            None => Some(node.settings.data_centre.clone()),
        };
    let endpoints = node.client_endpoints();
    let picked = directory::pick_addresses(&endpoints, preferred.as_ref(), &mut *node.rng());
    Ok(HttpResponseOk(Listing {
        addresses: picked.iter().map(ToString::to_string).collect(),
        valid_ms: u64::try_from(node.settings.validity.as_millis()).unwrap_or(u64::MAX),
        epoch: node.table.load().newest().0,
    }))
}
