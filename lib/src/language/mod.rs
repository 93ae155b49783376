//! The operators' language: queries and commands, parsed by a grammar and checked.

pub mod parse;
pub mod print;
pub mod statement;

pub use parse::{ParseError, parse};
pub use statement::Statement;
