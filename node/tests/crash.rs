//! One request ended 22 runners of a deployment with nine. It came again and again, at any node, with
//! the same path and body; whichever runner began to run it ended and was back three seconds later.
//! Each node took each end for the runner's failure, and sent the request on to the next runner
//! within the attempt; an attempt that came to another node started from nothing. Nothing but the
//! request was under way, without having passed on an event, at more than one of 14 ends that the
//! nodes wrote down:
//!
//!     stream broke off  i-8a39f9ed86  events 0  "error reading a body from connection"
//!     placed            attempt 3, decode i-921bb7ef81
//!     stream broke off  i-921bb7ef81  events 0  "error reading a body from connection"
//!     request refused   broken, 502, tries 4

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::{Ask, Told};
use sardinepick_testutils::fleet::deployment::Deployment;

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// How long an ended runner is away.
const AWAY: Duration = Duration::from_millis(300);
/// How many ends of runners it takes to know what a request does.
const ENDS: usize = 3;

fn ending() -> Bytes {
    Bytes::from_static(b"a brief that no engine survives")
}

fn ask<'a>(path: &'a str, id: &'a str, body: &Bytes) -> Ask<'a> {
    let headers: &[(&str, &str)] = if path.starts_with("/count") { &GENERATION } else { &[] };
    Ask { headers, body: body.clone(), ..Ask::new(path, id) }
}

/// Sends the request so often, at one node after the other.
async fn repeat(set: &Deployment, path: &str, times: usize) -> Vec<Told> {
    let mut all = Vec::new();
    for n in 0..times {
        let id = format!("again-{n}");
        all.push(set.send(n % set.nodes.len(), &ask(path, &id, &ending())).await);
    }
    all
}

/// Others' requests go on, with bodies of their own and at all nodes.
async fn others_served(set: &Deployment, path: &str) {
    for n in 0..set.nodes.len() * 2 {
        wait_until("another request is served", async || {
            let id = format!("other-{n}");
            let told =
                set.send(n % set.nodes.len(), &ask(path, &id, &Bytes::from(id.clone()))).await;
            told.status == Some(StatusCode::OK) && told.whole
        })
        .await;
    }
}

async fn ends_at_most_three(set: &Deployment, path: &str) {
    let told = repeat(set, path, 12).await;
    assert_eq!(set.ended_under(&ending()), ENDS, "runners ended");
    let last = told.last().expect("it was sent");
    assert_eq!(last.status, Some(StatusCode::BAD_REQUEST), "it is not to come back");
    assert_eq!(last.header("retry-after"), None);
    others_served(set, path).await;
}

#[tokio::test]
async fn stream_repeated_at_all_nodes_ends_three_runners() {
    let mut set = Deployment::new().await.with_engines(2, 0).await;
    set.add_supervised(Some("decode"), 6, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    ends_at_most_three(&set, "/count/a").await;
}

#[tokio::test]
async fn plain_repeated_at_all_nodes_ends_three_runners() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    ends_at_most_three(&set, "/board/a").await;
}
