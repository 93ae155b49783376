//! Figures and the bounds that hold them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

/// A measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name, with dots between its parts.
    pub name: String,
    /// Its value.
    pub value: f64,
}

impl Figure {
    /// A figure.
    pub fn new(name: impl Into<String>, value: f64) -> Self {
        Self { name: name.into(), value }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {:.4}", self.name, self.value)
    }
}

/// The values that a figure may have, written `least..most`; either may be left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    least: f64,
    most: f64,
}

/// Text that is not a bound.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a bound is written least..most, not {0:?}")]
pub struct BoundError(String);

impl FromStr for Bound {
    type Err = BoundError;

    fn from_str(text: &str) -> Result<Self, BoundError> {
        let wrong = || BoundError(text.to_owned());
        let (least, most) = text.split_once("..").ok_or_else(wrong)?;
        let part = |text: &str, open: f64| match text.trim() {
            "" => Ok(open),
            number => number.parse().map_err(|_| wrong()),
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

/// A figure that is out of its bound, or a bound without a figure.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Broken {
    /// The figure is out of its bound.
    #[error("{figure} is not within {bound}")]
    Out {
        /// The figure.
        figure: Figure,
        /// The bound.
        bound: Bound,
    },
    /// Nothing was measured under this name, so the bound would hold nothing.
    #[error("{0} has a bound and was not measured")]
    Unmeasured(String),
    /// The bounds cannot be read.
    #[error("the bounds cannot be read: {0}")]
    Unreadable(String),
}

/// Bounds by the names of their figures.
pub type Bounds = BTreeMap<String, Bound>;

/// Reads the bounds of one section.
///
/// # Errors
/// The text is not INI or a bound is not one.
pub fn read_bounds(text: &str, section: &str) -> Result<Bounds, Broken> {
    let ini = Ini::load_from_str(text).map_err(|e| Broken::Unreadable(e.to_string()))?;
    let Some(properties) = ini.section(Some(section)) else {
        return Err(Broken::Unreadable(format!("there is no section [{section}]")));
    };
    properties
        .iter()
        .map(|(name, text)| {
            let bound = text.parse().map_err(|e: BoundError| Broken::Unreadable(e.to_string()))?;
            Ok((name.to_owned(), bound))
        })
        .collect()
}

/// Holds figures against bounds and gives all that is broken.
pub fn check(figures: &[Figure], bounds: &Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    for (name, bound) in bounds {
        match figures.iter().find(|f| f.name == *name) {
            None => broken.push(Broken::Unmeasured(name.clone())),
            Some(figure) if !bound.holds(figure.value) => {
                broken.push(Broken::Out { figure: figure.clone(), bound: *bound });
            }
            Some(_) => {}
        }
    }
    broken
}

/// Prints figures, holds them against the section's bounds and tells what is broken; true if
/// nothing is.
pub fn report(figures: &[Figure], bounds: &str, section: &str) -> bool {
    for figure in figures {
        println!("{figure}");
    }
    let broken = match read_bounds(bounds, section) {
        Ok(bounds) => check(figures, &bounds),
        Err(broken) => vec![broken],
    };
    for one in &broken {
        eprintln!("out of bounds: {one}");
    }
    broken.is_empty()
}
