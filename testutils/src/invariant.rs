//! Invariant checks on what callers observed and what fakes did.

use std::fmt;

use crate::engine::expected_output;

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A complete response.
    Answer(String),
    /// A refusal with the statement that the request was not run.
    RefusedNotRun,
    /// A refusal with the statement that the request may have run.
    RefusedUnknown,
    /// The connection failed or the response had no closing frame, so the caller knows that the response
    /// is incomplete.
    Truncated,
}

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A response that looked complete had the wrong content.
    WrongAnswer {
        /// The prompt.
        prompt: String,
        /// The received content.
        got: String,
    },
    /// A request ran although the refusal stated that it did not.
    FalseRefusal {
        /// The request.
        request: String,
    },
    /// A request that must run at most once ran several times.
    Duplicate {
        /// The request.
        request: String,
        /// How often it ran.
        times: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::WrongAnswer { prompt, got } => {
                write!(f, "wrong answer to {prompt:?}: {got:?}")
            }
            Violation::FalseRefusal { request } => {
                write!(f, "{request} was refused as not run, but ran")
            }
            Violation::Duplicate { request, times } => write!(f, "{request} ran {times} times"),
        }
    }
}

/// Checks that a completion has the right output or was not run if it was refused as such. `starts` is
/// how often runners started it.
pub fn check_completion(
    request: &str,
    prompt: &str,
    tokens: u64,
    seen: &Observation,
    starts: u32,
) -> Option<Violation> {
    match seen {
        Observation::Answer(got) if *got != expected_output(prompt, tokens) => {
            Some(Violation::WrongAnswer { prompt: prompt.to_owned(), got: got.clone() })
        }
        Observation::RefusedNotRun if starts > 0 => {
            Some(Violation::FalseRefusal { request: request.to_owned() })
        }
        _ => None,
    }
}

/// Checks one call that must take effect at most once. `effects` is how often it did.
pub fn check_call(request: &str, seen: &[Observation], effects: u32) -> Option<Violation> {
    if effects > 1 {
        return Some(Violation::Duplicate { request: request.to_owned(), times: effects });
    }
    let all_not_run =
        !seen.is_empty() && seen.iter().all(|s| matches!(s, Observation::RefusedNotRun));
    if all_not_run && effects > 0 {
        return Some(Violation::FalseRefusal { request: request.to_owned() });
    }
    None
}
