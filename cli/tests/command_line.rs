//! The command line: exit codes, key digests and output formats.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

use expect_test::expect;
use sardinepick_cli::client::{Applied, Outcome, Outcomes, Rows};
use sardinepick_cli::output::{Colour, Format, outcomes};

fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinepick"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("program should start");
    let mut stdin = child.stdin.take().expect("stdin should be piped");
    // The write fails if the program has already exited.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("program should exit")
}

#[test]
fn run_exit_codes() {
    let cases: [(&[&str], i32, &str); 6] = [
        (&[], 64, "a command is needed"),
        (&["fry"], 64, "\"fry\" is not a command"),
        (&["--colour"], 64, "Unrecognized option"),
        (&["run", "show nodes"], 64, "--node ADDR is needed"),
        (&["--node", "kitchen", "run", "show nodes"], 64, "no IP address"),
        // Port 1 of a loopback address has no listener.
        (&["--node", "127.0.0.1:1", "run", "show nodes"], 69, "not reached"),
    ];
    for (arguments, code, message) in cases {
        let output = run(arguments, "");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), text.contains(message)), (Some(code), true), "{text}");
    }
}

#[test]
fn key_digest_of_input() {
    let output = run(&["key"], "my secret\n");
    expect![[r#"
        b9d1d013f600ec1bf16bae6a3634cad15dcc490c9f2835764201a41a1d70de44
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stdout));
}

#[test]
fn outcomes_table_and_json() {
    let text = |cells: &[&str]| cells.iter().map(ToString::to_string).collect();
    let results = vec![
        Outcome::Rows(Rows {
            columns: text(&["name", "state"]),
            rows: vec![text(&["telraad-1", "ready"]), text(&["telraad-10", "drain"])],
            missing: text(&["entry-4"]),
        }),
        Outcome::Applied(Applied {
            change_id: "7.abc".to_owned(),
            generation: 8,
            applied: 8,
            nodes: 9,
            waiting_for: text(&["entry-4"]),
        }),
    ];
    let all = Outcomes { results, generation: 8 };
    expect![[r#"
        name        state
        telraad-1   ready
        telraad-10  drain
        did not answer: entry-4

        generation 8 applied on 8 of 9 nodes (change 7.abc)
        not yet reached: entry-4
    "#]]
    .assert_eq(&outcomes(&all, Format::Table, Colour::No));
    let json = outcomes(&all, Format::Json, Colour::No);
    let parsed: Outcomes = serde_json::from_str(&json).expect("output should be JSON");
    assert_eq!(parsed, all);
}
