//! The example settings of both deployments, and the errors for invalid settings.

use std::path::{Path, PathBuf};

use expect_test::expect;
use sardinepick_lib::config::change::prepare;
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::language::{Statement, parse};
use sardinepick_lib::scale::need::Policy;
use sardinepick_node::serve::settings::Settings as ServeSettings;
use sardinepick_node::settings::Settings;

fn deployment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings").join(name)
}

fn check_deployment(name: &str, services: [&str; 2], runners: [usize; 2]) {
    for at in 1..=8 {
        let file = deployment(name).join(format!("entry-{at}.ini"));
        let settings = Settings::read(&file).expect("the example settings are valid");
        assert_eq!(settings.name.as_str(), format!("entry-{at}"));
    }
    let text =
        std::fs::read_to_string(deployment(name).join("first.txt")).expect("the example exists");
    let statements = parse(&text).expect("the example parses");
    let [Statement::Change(edits)] = statements.as_slice() else {
        panic!("one batch, not {statements:?}");
    };
    let snapshot = prepare(&Snapshot::default(), edits).expect("the example is valid").snapshot;
    for (service, count) in services.into_iter().zip(runners) {
        let service = service.parse().expect("the service name is valid");
        assert_eq!(snapshot.runners(&service).count(), count);
    }
}

#[test]
fn example_settings_van_houtkamp() {
    check_deployment("van-houtkamp", ["telraad", "ontbijtbord"], [9, 4]);
}

#[test]
fn example_settings_profiltryckeri() {
    check_deployment("profiltryckeri", ["tryckassistent", "orderdisk"], [18, 4]);
}

#[test]
fn parse_reports_all_mistakes() {
    let text = "[node]\nname = Entry 1\nfront = somewhere\npeer = 0.0.0.0:1\ncolour = red\n\
                [limits]\nqueue = 0\n[kitchen]\neggs = 12\n";
    let error = Settings::parse("wrong.ini", text).expect_err("the settings are invalid");
    expect![[r#"
        wrong.ini: [node] colour: is not a known key; accepted: keys name, data_centre, front, peer, seeds
        wrong.ini: [kitchen] eggs: is in no known section; accepted: sections node, platform, administration, limits, upstream, log
        wrong.ini: [node] name: "Entry 1" is not accepted; accepted: a name of a-z, 0-9, '-', '_' and '.'
        wrong.ini: [node] data_centre: is not set; accepted: a name of a-z, 0-9, '-', '_' and '.'
        wrong.ini: [node] front: "somewhere" is not accepted; accepted: an IP address and port such as 10.0.0.7:8000
        wrong.ini: [node] peer: "0.0.0.0:1" is not accepted; accepted: an IP address and port such as 10.0.0.7:8000
        wrong.ini: [platform] address: is not set; accepted: an IP address and port such as 10.0.0.7:8000
        wrong.ini: [limits] queue: "0" is not accepted; accepted: a whole number from 1 to 1000000"#]]
    .assert_eq(&error.to_string());
}

fn parse_with_capacity(section: &str) -> Result<ServeSettings, String> {
    let text = format!(
        "[node]\nname = n1\ndata_centre = zaal-dom\nfront = 10.0.0.7:1\nready = 10.0.0.7:2\n\
         lookup = 10.0.0.7:3\npeer = 10.0.0.7:4\nmetrics = 10.0.0.7:5\n\
         [store]\naddress = 10.0.0.8:1\n{section}"
    );
    ServeSettings::parse("node.ini", &text).map_err(|error| error.to_string())
}

/// Guards against a policy that is enabled without its section, or by a misspelt value.
#[test]
fn parse_capacity_policy() {
    let policy = |section| parse_with_capacity(section).map(|settings| settings.capacity_policy);
    assert_eq!(policy(""), Ok(Policy::Initial));
    assert_eq!(policy("[capacity]\npolicy = initial\n"), Ok(Policy::Initial));
    assert_eq!(policy("[capacity]\npolicy = measured\n"), Ok(Policy::Measured));
    let rejected =
        "node.ini: [capacity] policy: \"peak\" is not accepted; accepted: initial or measured";
    assert_eq!(policy("[capacity]\npolicy = peak\n"), Err(rejected.to_owned()));
}
