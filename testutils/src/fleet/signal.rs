//! What a stand-in for a runner says of itself in its answers, beside the answer to the request.

use std::borrow::Cow;

use http::{HeaderName, HeaderValue, Response};

/// The signals of a runner: headers that all of its answers carry while they are set.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl Signals {
    /// No signals.
    pub fn none() -> Self {
        Self::default()
    }

    /// Announces a rate limit, in requests a second; `rate` may also be no number.
    pub fn limit(rate: impl Into<Cow<'static, str>>) -> Self {
        Self::none().with("server-limit", rate)
    }

    /// Says that the runner leaves.
    pub fn leaving() -> Self {
        Self::none().with("server-leaving", "1")
    }

    /// Adds a header, as the protocol has it or not.
    ///
    /// # Panics
    /// `value` cannot stand in a header at all.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Cow<'static, str>>) -> Self {
        let value = HeaderValue::from_str(&value.into()).expect("a header value");
        self.headers.push((HeaderName::from_static(name), value));
        self
    }

    /// Adds the signals to an answer.
    pub fn sign<B>(&self, response: &mut Response<B>) {
        for (name, value) in &self.headers {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
}
