//! Parsing of decimal numbers from external text: digits and at most one point, without a sign or
//! an exponent.

use thiserror::Error;

/// An error from parsing a decimal number.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecimalError {
    /// The text is longer than the accepted maximum.
    #[error("number of {0} bytes is longer than {MAX_LEN} bytes")]
    TooLong(usize),
    /// The text is not a decimal number.
    #[error("{0:?} is not a decimal number")]
    NotANumber(String),
}

/// The maximum length of the text in bytes.
const MAX_LEN: usize = 24;

/// Parses a number and ignores surrounding whitespace.
///
/// # Errors
/// The text is too long or not a decimal number.
pub fn read(text: &str) -> Result<f64, DecimalError> {
    let text = text.trim();
    if text.len() > MAX_LEN {
        return Err(DecimalError::TooLong(text.len()));
    }
    let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let number = is_decimal.then(|| text.parse().ok()).flatten();
    number.ok_or_else(|| DecimalError::NotANumber(text.to_owned()))
}
