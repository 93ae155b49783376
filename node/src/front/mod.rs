//! What callers and operators reach over HTTP.

pub mod account;
pub mod addresses;
pub mod admin;
pub mod body;
pub mod completions;
pub mod fault;
pub mod plain;
pub mod status;

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, ConfigDropshot, HandlerTaskMode, HttpError,
    HttpServer, Path, RawRequest, RequestContext, ServerBuilder,
};
use http::{Method, Response};
use schemars::JsonSchema;
use serde::Deserialize;
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

/// The path of a plain service's request.
#[derive(Debug, Deserialize, JsonSchema)]
struct PlainPath {
    /// The service.
    service: String,
    /// The rest of the path.
    #[serde(rename = "path")]
    _path: Vec<String>,
}

/// The path of a plain service's root.
#[derive(Debug, Deserialize, JsonSchema)]
struct RootPath {
    /// The service.
    service: String,
}

async fn plain_handler(
    context: RequestContext<Context>,
    path: Path<PlainPath>,
    request: RawRequest,
) -> Answer {
    let service = path.into_inner().service;
    plain::answer(context, &service, request).await
}

async fn root_handler(
    context: RequestContext<Context>,
    path: Path<RootPath>,
    request: RawRequest,
) -> Answer {
    let service = path.into_inner().service;
    plain::answer(context, &service, request).await
}

const PLAIN_METHODS: [Method; 7] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
    Method::OPTIONS,
];

/// The API with all of its handlers.
///
/// # Errors
/// Two handlers have the same path.
pub fn api() -> Result<ApiDescription<Context>, FrontError> {
    let mut api = ApiDescription::new();
    let failed =
        |error: dropshot::ApiDescriptionRegisterError| FrontError::Register(error.to_string());
    api.register(addresses::list_addresses).map_err(failed)?;
    api.register(completions::create_completion).map_err(failed)?;
    api.register(completions::create_chat_completion).map_err(failed)?;
    api.register(completions::list_models).map_err(failed)?;
    api.register(status::health).map_err(failed)?;
    api.register(status::readiness).map_err(failed)?;
    api.register(status::metrics).map_err(failed)?;
    api.register(status::state).map_err(failed)?;
    api.register(admin::run_command).map_err(failed)?;
    api.register(admin::find_change).map_err(failed)?;
    api.register(admin::openapi).map_err(failed)?;
    for method in PLAIN_METHODS {
        let id = |kind: &str| format!("{kind}_{}", method.as_str().to_lowercase());
        let below = ApiEndpoint::new(
            id("plain"),
            plain_handler,
            method.clone(),
            "application/octet-stream",
            "/services/{service}/{path:.*}",
            ApiEndpointVersions::All,
        );
        api.register(below.visible(false)).map_err(failed)?;
        let root = ApiEndpoint::new(
            id("plain_root"),
            root_handler,
            method.clone(),
            "application/octet-stream",
            "/services/{service}",
            ApiEndpointVersions::All,
        );
        api.register(root.visible(false)).map_err(failed)?;
    }
    Ok(api)
}

/// Starts to listen for callers.
///
/// # Errors
/// The address cannot be listened at.
pub fn start(node: &Arc<Node>) -> Result<HttpServer<Context>, FrontError> {
    let config = ConfigDropshot {
        bind_address: node.settings.front,
        default_request_body_max_bytes: node.settings.max_body,
        // A caller that hangs up must free its place in the queue and its runner at once. Calls that
        // may not be repeated go on in tasks of their own, see `plain`.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(crate::logging::Bridge, slog::o!());
    ServerBuilder::new(api()?, node.clone(), log)
        .config(config)
        .start()
        .map_err(|error| FrontError::Listen(format!("{}: {error}", node.settings.front)))
}
