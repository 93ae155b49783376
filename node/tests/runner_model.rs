//! The runner model in whole nodes.

use sardinepick_lib::fleet::engine::Stage;
use sardinepick_node::serve::settings::Settings;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, MODEL_SERVICE};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

async fn serve(set: &Deployment) {
    for n in 0..30 {
        let id = format!("m{n}");
        let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", &id) };
        assert!(set.send(n % set.nodes.len(), &ask).await.complete);
    }
}

/// Guards against a basis that is lost on its way to the asking node or back, and against a
/// scheduler that hands over nothing.
#[tokio::test]
async fn report_prefill_scheduler_and_successor_learn() {
    let set = Deployment::new().await.with_runner_model().with_engines(1, 2).await;
    let set = set.with_nodes(3).await;
    serve(&set).await;
    let service = MODEL_SERVICE.parse().expect("an id");
    let evidence = || {
        let nodes = set.nodes.iter().map(|node| {
            let register = node.shared.register();
            let model = register.models().and_then(|models| models.get(&service, Stage::Prefill));
            model.map_or(0.0, |model| model.state(&service, Stage::Prefill, Vec::new()).evidence)
        });
        let mut evidence: Vec<f32> = nodes.collect();
        evidence.sort_by(f32::total_cmp);
        evidence
    };
    // Each node learns from its own third, the scheduler from all, and its successor from the
    // scheduler.
    wait_until("two nodes know what all have observed", async || {
        let evidence = evidence();
        evidence[1] > 15.0 && evidence[2] > 15.0
    })
    .await;
}

/// Guards against a part that takes effect without its setting.
#[tokio::test]
async fn report_prefill_disabled_nothing_learned() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(2).await;
    serve(&set).await;
    for node in &set.nodes {
        let register = node.shared.register();
        assert!(register.models().is_none());
        assert!(register.runners().all(|runner| runner.rates.is_none()));
    }
}

/// Guards against a misspelt value that disables the model without a word.
#[test]
fn parse_runner_model_invalid_value_rejected() {
    let platform = include_str!("../../platform/node.ini");
    assert!(platform.contains("[runner_model]\nenabled = false\n"));
    let text = |value: &str| {
        let addresses = ["front", "ready", "lookup", "peer", "metrics"];
        let addresses = addresses.iter().enumerate();
        let lines = addresses.map(|(n, key)| format!("{key} = 10.0.0.7:{}\n", 9_000 + n));
        let node: String = lines.collect();
        format!(
            "[node]\nname = edge-1\ndata_centre = zaal-dom\n{node}\
             [store]\naddress = 10.0.0.8:80\n[runner_model]\n{value}\n"
        )
    };
    let enabled = |value| Settings::parse("node.ini", &text(value)).map(|s| s.runner_model);
    assert_eq!(enabled("enabled = true").ok(), Some(true));
    assert_eq!(enabled("enabled = false").ok(), Some(false));
    assert_eq!(enabled("").ok(), Some(false));
    let error = enabled("enabled = yes").expect_err("not a value").to_string();
    assert!(error.contains("[runner_model] enabled") && error.contains("true or false"), "{error}");
}
