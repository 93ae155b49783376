//! Settings files as the platform makes them: the project's template, filled in for a VM.

use std::collections::HashMap;

use regex::{Captures, Regex};

/// The values of a template's placeholders, by name. Those without an entry have no value.
pub type Fields = HashMap<&'static str, String>;

/// Fills in a template. Sections are rendered if their name has a value, which `{{.}}` inside them
/// stands for. Other forms of the platform's templates are not supported.
///
/// # Panics
/// The template has a placeholder that is not supported.
pub fn render(template: &str, fields: &Fields) -> String {
    let section = Regex::new(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}").expect("an expression");
    let with_sections = section.replace_all(template, |found: &Captures<'_>| {
        let value = fields.get(&found[1]);
        value.map(|value| found[2].replace("{{.}}", value)).unwrap_or_default()
    });
    let placeholder = Regex::new(r"\{\{([\w.]+)\}\}").expect("an expression");
    let rendered = placeholder.replace_all(&with_sections, |found: &Captures<'_>| {
        fields.get(&found[1]).cloned().unwrap_or_default()
    });
    assert!(!rendered.contains("{{"), "unsupported placeholder: {rendered}");
    rendered.into_owned()
}
