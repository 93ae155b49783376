//! The query language: round trips, error positions and arbitrary input.

use expect_test::expect;
use proptest::prelude::*;
use sardinepick_lib::config::change::Edit;
use sardinepick_lib::config::record::{Assignment, Key, Kind};
use sardinepick_lib::language::statement::{Condition, Operator, Order, Query, Subject};
use sardinepick_lib::language::{Statement, parse};
use smol_str::SmolStr;
use strum::IntoEnumIterator as _;

fn error(text: &str) -> String {
    parse(text).expect_err("invalid text").to_string()
}

#[test]
fn parse_error_names_offending_word() {
    expect![[r#"line 1, column 6: at "runer": expected one of models, services, runners, accounts, policies, operators, nodes, leases"#]]
        .assert_eq(&error("show runer"));
    expect![[r#"line 1, column 20: at "colour": expected one of name, service, address, data_centre, role, state, fencing, slots, in_flight, queue, load, age"#]]
        .assert_eq(&error("show runners where colour = red"));
    expect![[r#"line 2, column 7: at "telraad-3": expected 'runner'"#]]
        .assert_eq(&error("begin\ndrain telraad-3\ncommit"));
    expect![[r#"line 1, column 23: at "": expected a value"#]]
        .assert_eq(&error("set policy a deadline="));
}

#[test]
fn parse_statements_of_each_kind() {
    let texts = [
        "show runners where service = telraad and state != ready order by load desc limit 5",
        "show nodes (name, generation)",
        "count runners where role = decode by service",
        "drain runner telraad-3",
        "resume runner telraad-3",
        "set policy night priority = high, deadline = 15s",
        "begin; create model m version = 1; create service s model = m; commit",
        "plan begin; delete account a; commit",
        "plan drain runner x",
        "history limit 3",
        "undo",
        "undo 12",
        "explain service telraad prompt 1200 output 30 account hotel",
        "explain roles telraad",
        "# only a comment",
    ];
    for text in texts {
        let statements = parse(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        assert_eq!(statements.len(), usize::from(!text.starts_with('#')), "{text}");
    }
}

fn names() -> impl Strategy<Value = sardinepick_lib::id::Name> {
    "[a-z][a-z0-9_.-]{0,12}".prop_map(|text| text.parse().expect("a valid name"))
}

fn values() -> impl Strategy<Value = SmolStr> {
    "[ -!#-~]{0,20}".prop_map(SmolStr::new)
}

fn edits() -> impl Strategy<Value = Edit> {
    let kind = proptest::sample::select(Kind::iter().collect::<Vec<_>>());
    (kind, names(), proptest::collection::vec(values(), 1..4), 0..3).prop_map(
        |(kind, name, values, form)| {
            let key = Key { kind, name };
            let fields = kind.fields().iter().zip(values);
            let fields: Vec<Assignment> =
                fields.map(|(field, value)| Assignment { field: *field, value }).collect();
            match form {
                0 => Edit::Create { key, fields },
                1 => Edit::Set { key, fields },
                _ => Edit::Delete { key },
            }
        },
    )
}

fn queries() -> impl Strategy<Value = Query> {
    let subject = proptest::sample::select(Subject::iter().collect::<Vec<_>>());
    let operator = proptest::sample::select(Operator::iter().collect::<Vec<_>>());
    (subject, proptest::collection::vec((0..20_usize, operator, values()), 0..3), any::<bool>())
        .prop_map(|(subject, conditions, descending)| {
            let column = |at: usize| subject.columns()[at % subject.columns().len()];
            let condition =
                |(at, operator, value)| Condition { column: column(at), operator, value };
            Query {
                subject,
                columns: subject.columns().iter().take(2).copied().collect(),
                conditions: conditions.into_iter().map(condition).collect(),
                order: Some(Order { column: column(1), descending }),
                limit: Some(7),
            }
        })
}

proptest! {
    #[test]
    fn print_parse_round_trip(edits in proptest::collection::vec(edits(), 2..5), query in queries()) {
        for statement in [Statement::Change(edits), Statement::Show(query)] {
            let text = statement.to_string();
            let back = parse(&text).map_err(|e| TestCaseError::fail(format!("{text}: {e}")))?;
            prop_assert_eq!(back, vec![statement]);
        }
    }

    #[test]
    fn parse_arbitrary_text_no_panic(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn chunk_arbitrary_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let chunk = sardinepick_lib::config::chunk::Chunk::new(bytes);
        let _ = sardinepick_lib::config::chunk::join(&[chunk]);
    }
}
