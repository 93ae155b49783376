//! What callers and operators reach over HTTP.
//!
//! Look-ups, administration, health and metrics are dropshot's. Completions and plain services are
//! served by hyper-util on the callers' own listener: dropshot leaves Nagle's algorithm on, which
//! held single tokens back for 43 ms at the 99th percentile where a direct call had 3.5 ms, and its
//! listener cannot be given the option. Everything else is passed on to dropshot from there.

pub mod account;
pub mod addresses;
pub mod admin;
pub mod body;
pub mod completions;
pub mod fault;
pub mod listener;
pub mod plain;
pub mod status;

use std::net::Ipv4Addr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, ServerBuilder,
};
use http::Response;
use thiserror::Error;

use crate::node::Node;

/// The context of every handler.
pub type Context = Arc<Node>;

/// The answer of a handler. Errors that callers should understand are answers too.
pub type Answer = Result<Response<dropshot::Body>, HttpError>;

/// Why the front does not start.
#[derive(Debug, Error)]
pub enum FrontError {
    /// Two handlers have the same path.
    #[error("registering the API: {0}")]
    Register(String),
    /// The address cannot be listened at.
    #[error("listening for callers: {0}")]
    Listen(String),
}

/// The API with all of its handlers.
///
/// # Errors
/// Two handlers have the same path.
pub fn api() -> Result<ApiDescription<Context>, FrontError> {
    let mut api = ApiDescription::new();
    let failed =
        |error: dropshot::ApiDescriptionRegisterError| FrontError::Register(error.to_string());
    api.register(addresses::list_addresses).map_err(failed)?;
    api.register(completions::list_models).map_err(failed)?;
    api.register(status::health).map_err(failed)?;
    api.register(status::readiness).map_err(failed)?;
    api.register(status::metrics).map_err(failed)?;
    api.register(status::state).map_err(failed)?;
    api.register(admin::run_command).map_err(failed)?;
    api.register(admin::find_change).map_err(failed)?;
    api.register(admin::openapi).map_err(failed)?;
    Ok(api)
}

/// Starts the API's own server, at a port of this machine that only [`listener`] uses.
///
/// # Errors
/// No port can be had.
pub fn start(node: &Arc<Node>) -> Result<HttpServer<Context>, FrontError> {
    let config = ConfigDropshot {
        bind_address: (Ipv4Addr::LOCALHOST, 0).into(),
        default_request_body_max_bytes: node.settings.max_body,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(crate::logging::Bridge, slog::o!());
    ServerBuilder::new(api()?, node.clone(), log)
        .config(config)
        .start()
        .map_err(|error| FrontError::Listen(error.to_string()))
}
