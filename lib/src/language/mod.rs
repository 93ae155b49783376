//! The operators' query language: queries and commands, parsed with a PEG grammar.

pub mod parse;
pub mod print;
pub mod statement;

pub use parse::{ParseError, parse};
pub use statement::Statement;
