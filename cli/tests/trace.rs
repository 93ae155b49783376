//! Traces of requests from log lines.

use expect_test::expect;
use sardinepick_cli::trace::{Trace, parse_lines};

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
fn for_request_own_lines_and_state_of_its_node() {
    let trace = Trace::for_request("r1", parse_lines("", LINES)).expect("a line mentions it");
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
fn for_request_unknown_none() {
    assert_eq!(Trace::for_request("r2", parse_lines("", LINES)), None);
}

/// The trace of a quarantined request shows the runner terminations during the same request at
/// other nodes.
#[test]
fn for_request_quarantined_terminations_that_caused_it() {
    let lines = r#"
edge-1 {"time":"2026-01-01T00:00:01.000Z","message":"runner ended under a request","request":"r1","fingerprint":"ab","runner":"i-1","events":0}
edge-1 {"time":"2026-01-01T00:00:01.500Z","message":"runner ended under a request","request":"r2","fingerprint":"cd","runner":"i-1","events":9}
edge-2 {"time":"2026-01-01T00:00:02.000Z","message":"quarantine changes","fingerprint":"ab","stage":"confirmed","ends":3}
edge-3 {"time":"2026-01-01T00:00:09.000Z","message":"quarantine refuses","request":"r9","fingerprint":"ab","ends":3}
edge-3 {"time":"2026-01-01T00:00:09.000Z","message":"request refused","request":"r9","reason":"quarantined","status":400}
"#;
    let trace = Trace::for_request("r9", parse_lines("", lines)).expect("a line mentions it");
    expect![[r#"
        the request's way:
          2026-01-01T00:00:09.000Z  edge-3  quarantine refuses  ends=3  fingerprint=ab
          2026-01-01T00:00:09.000Z  edge-3  request refused  reason=quarantined  status=400
        what its nodes had come to believe before:
        runners that ended under the same request, in any attempt:
          r1  2026-01-01T00:00:01.000Z  edge-1  runner ended under a request  events=0  fingerprint=ab  runner=i-1
          2026-01-01T00:00:02.000Z  edge-2  quarantine changes  ends=3  fingerprint=ab  stage=confirmed
    "#]]
    .assert_eq(&trace.to_string());
}

/// The trace of a refused request shows the announcements that made runners unavailable to it, at
/// other nodes too.
#[test]
fn for_request_runners_unavailable_announcements_that_caused_it() {
    let lines = r#"
edge-1 {"time":"2026-01-01T00:00:01.000Z","message":"rate limit set","request":"r1","runner":"i-1","rate":"2/s","source":"answer"}
edge-2 {"time":"2026-01-01T00:00:01.004Z","message":"rate limit set","request":"","runner":"i-1","rate":"2/s","source":"edge-1"}
edge-2 {"time":"2026-01-01T00:00:02.000Z","message":"request refused","request":"r9","reason":"rate_limited","status":503}
edge-1 {"time":"2026-01-01T00:00:03.000Z","message":"rate limit lifted","request":"r2","runner":"i-1","source":"answer"}
"#;
    let trace = Trace::for_request("r9", parse_lines("", lines)).expect("a line mentions it");
    expect![[r#"
        the request's way:
          2026-01-01T00:00:02.000Z  edge-2  request refused  reason=rate_limited  status=503
        what its nodes had come to believe before:
        what runners had said of themselves, in answers to other requests:
          r1  2026-01-01T00:00:01.000Z  edge-1  rate limit set  rate=2/s  runner=i-1  source=answer
          2026-01-01T00:00:01.004Z  edge-2  rate limit set  rate=2/s  runner=i-1  source=edge-1
    "#]]
    .assert_eq(&trace.to_string());
}
