//! The endpoints for health, readiness, metrics and the state of a node.

use dropshot::{Body, HttpError, HttpResponseOk, RequestContext, endpoint};
use http::{HeaderValue, Response, StatusCode, header};

use super::{Context, HandlerResult, account};
use crate::dump::{Dump, dump};

fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Reports that the process is alive.
#[endpoint { method = GET, path = "/healthz" }]
pub async fn health(_context: RequestContext<Context>) -> HandlerResult {
    Ok(text_response(StatusCode::OK, "ok\n"))
}

/// Reports whether the node accepts requests.
#[endpoint { method = GET, path = "/readyz" }]
pub async fn readiness(context: RequestContext<Context>) -> HandlerResult {
    if context.context().is_ready() {
        Ok(text_response(StatusCode::OK, "ready\n"))
    } else {
        Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"))
    }
}

/// Returns the node's metrics.
#[endpoint { method = GET, path = "/metrics" }]
pub async fn metrics(context: RequestContext<Context>) -> HandlerResult {
    let node = context.context();
    node.metrics.members.set(node.members().active().count() as i64);
    let mut response = Response::new(Body::from(node.metrics.text()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

/// Returns the node's state, for operators.
#[endpoint { method = GET, path = "/admin/v1/state" }]
pub async fn state(context: RequestContext<Context>) -> Result<HttpResponseOk<Dump>, HttpError> {
    let node = context.context();
    let snapshot = node.config.load_full();
    if let Err(error) = account::authenticate_operator(node, &snapshot, context.request.headers()) {
        let status = dropshot::ClientErrorStatusCode::UNAUTHORIZED;
        return Err(HttpError::for_client_error(None, status, error.message));
    }
    Ok(HttpResponseOk(dump(node)))
}
