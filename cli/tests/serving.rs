//! Tables of a serving node's state.

use expect_test::expect;
use sardinepick_cli::client::{Outcome, Outcomes, Rows};
use sardinepick_cli::output::{Colour, Format, outcomes};
use sardinepick_cli::serving::{accounts, duties};
use serde_json::json;

fn table(rows: Rows) -> String {
    let outcome = Outcomes { results: vec![Outcome::Rows(rows)], generation: 0 };
    outcomes(&outcome, Format::Table, Colour::No)
}

#[test]
fn duties_holder_and_windows() {
    let state = json!({"duties": {"holder": "edge-1", "number": 4, "left_ms": 1_200, "windows": [
        {"window": 7, "outcome": "reported"}, {"window": 8, "outcome": "incomplete"}]}});
    expect![[r#"
        holder  number  left_ms  window  outcome
        edge-1  4       1200     7       reported
        edge-1  4       1200     8       incomplete
    "#]]
    .assert_eq(&table(duties(&state)));
    expect![[r#"
        holder  number  left_ms  window  outcome
        -       -       -        -       -
    "#]]
    .assert_eq(&table(duties(&json!({}))));
}

#[test]
fn accounts_names_and_ranks() {
    let state = json!({"accounts": [{"name": "kitchen", "rank": 1}, {"name": "cellar"}]});
    expect![[r#"
        account  rank
        kitchen  1
        cellar   -
    "#]]
    .assert_eq(&table(accounts(&state)));
}
