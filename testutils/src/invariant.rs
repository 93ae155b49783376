//! Checks of what must always hold, over what callers saw and what stand-ins did.

use std::fmt;

use crate::engine::expected_output;

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A whole answer.
    Answer(String),
    /// A refusal that says that the request was not run.
    RefusedNotRun,
    /// A refusal that says that the request may have run.
    RefusedUnknown,
    /// The connection broke off or the answer had no closing frame: the caller knows that the
    /// answer is not whole.
    Truncated,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A caller took something for the whole answer that is not.
    WrongAnswer {
        /// The prompt.
        prompt: String,
        /// What came.
        got: String,
    },
    /// A request that was said not to have run has run.
    FalseRefusal {
        /// The request.
        request: String,
    },
    /// A request that must run at most once ran more often.
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
                write!(f, "{request} was said not to have run, and has")
            }
            Violation::Duplicate { request, times } => write!(f, "{request} ran {times} times"),
        }
    }
}

/// Checks one completion: right and whole, or truly refused. `starts` is how often runners started
/// it.
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

/// Checks one call that must have an effect at most once. `effects` is how often it had one.
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
