//! Measured figures and their bounds.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

/// A measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The name, whose parts are separated by dots.
    pub name: String,
    /// The measured value.
    pub value: f64,
}

impl Figure {
    /// A figure with a name and a value.
    pub fn new(name: impl Into<String>, value: f64) -> Self {
        Self { name: name.into(), value }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {:.4}", self.name, self.value)
    }
}

/// The allowed range of a figure, written `least..most`; either may be omitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    least: f64,
    most: f64,
}

/// An error in the text of a bound.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("malformed bound {0:?}, expected least..most")]
pub struct BoundError(String);

impl FromStr for Bound {
    type Err = BoundError;

    fn from_str(text: &str) -> Result<Self, BoundError> {
        let malformed = || BoundError(text.to_owned());
        let (least, most) = text.split_once("..").ok_or_else(malformed)?;
        let part = |text: &str, default: f64| match text.trim() {
            "" => Ok(default),
            number => number.parse().map_err(|_| malformed()),
        };
        Ok(Self { least: part(least, f64::NEG_INFINITY)?, most: part(most, f64::INFINITY)? })
    }
}

impl Bound {
    /// Whether a value is within the bound.
    pub fn holds(&self, value: f64) -> bool {
        value >= self.least && value <= self.most
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.least, self.most)
    }
}

/// A failed check of figures against bounds.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BoundViolation {
    /// The figure is out of its bound.
    #[error("{figure} is not within {bound}")]
    OutOfBounds {
        /// The figure.
        figure: Figure,
        /// The bound.
        bound: Bound,
    },
    /// There is a bound but no figure of this name.
    #[error("{0} has a bound and was not measured")]
    Unmeasured(String),
    /// The bounds cannot be parsed.
    #[error("cannot read the bounds: {0}")]
    Unreadable(String),
}

/// Bounds by the names of their figures.
pub type Bounds = BTreeMap<String, Bound>;

/// Parses the bounds of one section.
///
/// # Errors
/// The text is not INI, the section is missing, or a bound is malformed.
pub fn read_bounds(text: &str, section: &str) -> Result<Bounds, BoundViolation> {
    let ini = Ini::load_from_str(text).map_err(|e| BoundViolation::Unreadable(e.to_string()))?;
    let Some(properties) = ini.section(Some(section)) else {
        return Err(BoundViolation::Unreadable(format!("no section [{section}]")));
    };
    properties
        .iter()
        .map(|(name, text)| {
            let bound =
                text.parse().map_err(|e: BoundError| BoundViolation::Unreadable(e.to_string()))?;
            Ok((name.to_owned(), bound))
        })
        .collect()
}

/// Checks figures against bounds and returns all violations.
pub fn check(figures: &[Figure], bounds: &Bounds) -> Vec<BoundViolation> {
    let mut violations = Vec::new();
    for (name, bound) in bounds {
        match figures.iter().find(|f| f.name == *name) {
            None => violations.push(BoundViolation::Unmeasured(name.clone())),
            Some(figure) if !bound.holds(figure.value) => {
                violations
                    .push(BoundViolation::OutOfBounds { figure: figure.clone(), bound: *bound });
            }
            Some(_) => {}
        }
    }
    violations
}

/// Prints the figures, checks them against the bounds of a section and prints all violations. Returns
/// whether there were none.
pub fn report(figures: &[Figure], bounds: &str, section: &str) -> bool {
    for figure in figures {
        println!("{figure}");
    }
    let violations = match read_bounds(bounds, section) {
        Ok(bounds) => check(figures, &bounds),
        Err(violations) => vec![violations],
    };
    for violation in &violations {
        eprintln!("out of bounds: {violation}");
    }
    violations.is_empty()
}
