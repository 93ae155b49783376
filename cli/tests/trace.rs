//! Explaining a request from log lines.

use expect_test::expect;
use sardinepick_cli::trace::{Trace, read};

const LINES: &str = r#"
starting up
  -1.2 edge-1 {"time":"2026-01-01T00:00:01.000Z","level":"WARN","target":"t","message":"store lost","what":"register"}
  0.2 edge-1 {"time":"2026-01-01T00:00:03.000Z","level":"INFO","target":"t","message":"request refused","request":"r1","status":503,"reason":"late"}
  0.1 edge-1 {"time":"2026-01-01T00:00:02.000Z","level":"INFO","target":"t","message":"gate refuses","request":"r1","first_ms":1207}
  0.1 edge-2 {"time":"2026-01-01T00:00:02.500Z","level":"INFO","target":"t","message":"store regained"}
  0.3 edge-1 {"time":"2026-01-01T00:00:04.000Z","level":"INFO","target":"t","message":"runner gone","runner":"i-1"}
{"half":
"#;

#[test]
fn of_request_way_and_beliefs_of_its_node() {
    let trace = Trace::of("r1", read("", LINES)).expect("it is named");
    expect![[r#"
        the request's way:
          2026-01-01T00:00:02.000Z  edge-1  gate refuses  first_ms=1207
          2026-01-01T00:00:03.000Z  edge-1  request refused  reason=late  status=503
        what its nodes had come to believe before:
          2026-01-01T00:00:01.000Z  edge-1  store lost  what=register
    "#]]
    .assert_eq(&trace.to_string());
}

#[test]
fn of_unknown_request_none() {
    assert_eq!(Trace::of("r2", read("", LINES)), None);
}
