//! The headers with which a fake runner announces its own state in its responses.

use std::borrow::Cow;

use http::{HeaderName, HeaderValue, Response};

/// The signals of a runner: headers that all of its responses carry while they are set.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl Signals {
    /// No signals.
    pub fn none() -> Self {
        Self::default()
    }

    /// Announces a rate limit in requests per second. `rate` may be malformed.
    pub fn limit(rate: impl Into<Cow<'static, str>>) -> Self {
        Self::none().with("server-limit", rate)
    }

    /// Announces that the runner is leaving.
    pub fn leaving() -> Self {
        Self::none().with("server-leaving", "1")
    }

    /// Adds a header, which the protocol need not define.
    ///
    /// # Panics
    /// `value` is not a valid header value.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Cow<'static, str>>) -> Self {
        let value = HeaderValue::from_str(&value.into()).expect("a header value");
        self.headers.push((HeaderName::from_static(name), value));
        self
    }

    /// Adds the signals to a response.
    pub fn add_to<B>(&self, response: &mut Response<B>) {
        for (name, value) in &self.headers {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
}
