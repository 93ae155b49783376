//! Decimal numbers in text from outside: digits and at most one point, without sign or exponent.

use thiserror::Error;

/// Why a text is no such number.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecimalError {
    /// It is longer than any that is meant.
    #[error("a number of {0} bytes")]
    TooLong(usize),
    /// It is something else.
    #[error("{0:?} is no decimal number")]
    NotANumber(String),
}

/// The longest text that is read, in bytes.
const LONGEST: usize = 24;

/// Reads a number; spaces around it do not matter.
///
/// # Errors
/// It is none.
pub fn read(text: &str) -> Result<f64, DecimalError> {
    let text = text.trim();
    if text.len() > LONGEST {
        return Err(DecimalError::TooLong(text.len()));
    }
    let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let number = is_decimal.then(|| text.parse().ok()).flatten();
    number.ok_or_else(|| DecimalError::NotANumber(text.to_owned()))
}
