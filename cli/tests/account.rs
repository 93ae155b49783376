//! Summaries of the requests in log lines.

use expect_test::expect;
use sardinepick_cli::account::RequestSummary;
use sardinepick_cli::trace::parse_lines;

const LINES: &str = r#"
0.2 edge-1 {"time":"2026-01-01T00:00:03.100Z","message":"request answered","request":"r1","route":"count","status":200,"reason":""}
0.1 edge-1 {"time":"2026-01-01T00:00:02.000Z","message":"placed","request":"r1","class":1,"first_ms":100,"prompt":9000,"fresh":3000}
0.1 edge-1 {"time":"2026-01-01T00:00:02.150Z","message":"prompt read","request":"r1","predicted_ms":80,"held_ms":120}
0.1 edge-1 {"time":"2026-01-01T00:00:02.200Z","message":"first event","request":"r1","first_ms":200}
0.1 edge-2 {"time":"2026-01-01T00:00:03.999Z","message":"placed","request":"r2","class":9,"first_ms":400,"prompt":100,"fresh":100}
0.1 edge-2 {"time":"2026-01-01T00:00:04.000Z","message":"runner did not run it","request":"r2","status":503}
0.1 edge-2 {"time":"2026-01-01T00:00:04.010Z","message":"request refused","request":"r2","route":"tally","status":503,"reason":"budget"}
0.1 edge-2 {"time":"2026-01-01T00:00:04.500Z","message":"request left","request":"r3","route":"tally","status":0,"reason":""}
0.1 edge-2 {"time":"soon","message":"request left","request":"r4","route":"tally"}
0.1 edge-2 {"time":"2026-01-01T00:00:04.000Z","message":"store lost","what":"register"}
"#;

#[test]
fn from_lines_three_tables() {
    expect![[r#"
        route                     requests  answered  others
        count                            1         1  
        tally                            2         0  left 1, refused:budget 1

        class    placed  first ms p50     seen/predicted     read/predicted
        1             1           200      2.00 p95 2.00      1.50 p95 1.50
        9             1             -            - p95 -            - p95 -

        from                  ended  refused  placed  late  turned away  read again
        2026-01-01T00:00:02       1        0       2  0.50            0        0.33
        2026-01-01T00:00:04       2        1       0     -            1           -
    "#]]
    .assert_eq(&RequestSummary::from_lines(parse_lines("", LINES)).to_string());
}

#[test]
fn from_lines_without_requests_empty() {
    assert!(RequestSummary::from_lines(parse_lines("", "no line of ours\n{}")).is_empty());
}
