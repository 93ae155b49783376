//! Tables of the state of a node that serves on the platform.

use serde_json::Value;

use crate::client::Rows;

/// The path of a serving node's state at its metrics address.
pub const STATE_PATH: &str = "/state";

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn rows<'a>(columns: &[&str], lines: impl Iterator<Item = Vec<&'a Value>>) -> Rows {
    Rows {
        columns: columns.iter().map(|&column| column.to_owned()).collect(),
        rows: lines.map(|line| line.into_iter().map(cell).collect()).collect(),
        missing: Vec::new(),
    }
}

/// Returns the holder of the duties' lease, with a row for each of the last usage windows.
pub fn duties(state: &Value) -> Rows {
    let duties = &state["duties"];
    let holder = [&duties["holder"], &duties["number"], &duties["left_ms"]];
    let windows = duties["windows"].as_array().map_or(&[][..], Vec::as_slice);
    let nothing = [Value::Null];
    let windows = if windows.is_empty() { &nothing[..] } else { windows };
    let line = |window| {
        let window: &Value = window;
        holder.into_iter().chain([&window["window"], &window["outcome"]]).collect()
    };
    rows(&["holder", "number", "left_ms", "window", "outcome"], windows.iter().map(line))
}

/// Returns a row for each client account.
pub fn accounts(state: &Value) -> Rows {
    let accounts = state["accounts"].as_array().map_or(&[][..], Vec::as_slice);
    rows(&["account", "rank"], accounts.iter().map(|a| vec![&a["name"], &a["rank"]]))
}
