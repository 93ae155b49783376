//! Health, readiness, metrics and the dump of a node's state.

use dropshot::{Body, HttpError, HttpResponseOk, RequestContext, endpoint};
use http::{HeaderValue, Response, StatusCode, header};

use super::{Answer, Context, account};
use crate::dump::{Dump, dump};

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Whether the process lives.
#[endpoint { method = GET, path = "/healthz" }]
pub async fn health(_context: RequestContext<Context>) -> Answer {
    Ok(text(StatusCode::OK, "ok\n"))
}

/// Whether the node takes requests.
#[endpoint { method = GET, path = "/readyz" }]
pub async fn readiness(context: RequestContext<Context>) -> Answer {
    if context.context().is_ready() {
        Ok(text(StatusCode::OK, "ready\n"))
    } else {
        Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"))
    }
}

/// The node's metrics.
#[endpoint { method = GET, path = "/metrics" }]
pub async fn metrics(context: RequestContext<Context>) -> Answer {
    let node = context.context();
    node.metrics.members.set(node.members().active().count() as i64);
    let mut response = Response::new(Body::from(node.metrics.text()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

/// The node's state, for operators.
#[endpoint { method = GET, path = "/admin/v1/state" }]
pub async fn state(context: RequestContext<Context>) -> Result<HttpResponseOk<Dump>, HttpError> {
    let node = context.context();
    let snapshot = node.config.load_full();
    if let Err(fault) = account::operator(node, &snapshot, context.request.headers()) {
        let status = dropshot::ClientErrorStatusCode::UNAUTHORIZED;
        return Err(HttpError::for_client_error(None, status, fault.message));
    }
    Ok(HttpResponseOk(dump(node)))
}
