//! Copying a configuration from nodes of which some do not do their part.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::System;
use sardinepick_lib::id::ConfigVersion;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::serve::run::{self, Running};
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::beat;
use sardinepick_testutils::fleet::deployment::{Deployment, large_configuration, settings};
use sardinepick_testutils::fleet::store::Fault;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status as Refusal};

/// What a node does when it is asked for a copy.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    /// It answers nothing.
    Silent,
    /// It says for ever that the other has to wait.
    Delaying,
    /// It sends the other to this node.
    Referring(SocketAddr),
    /// It gives bytes that are no configuration.
    Garbling,
    /// Its copy does not end.
    Endless,
    /// It breaks off in the middle.
    Breaking,
}

#[derive(Debug)]
struct Bad(Conduct);

type Parts = mpsc::Sender<Result<pb::CopyPart, Refusal>>;

fn content(bytes: Vec<u8>) -> pb::CopyPart {
    pb::CopyPart { content: bytes, ..Default::default() }
}

impl Bad {
    async fn answer(conduct: Conduct, parts: &Parts) {
        let send = async |part: pb::CopyPart| parts.send(Ok(part)).await.is_ok();
        match conduct {
            Conduct::Silent => sleep(Duration::from_secs(60)).await,
            Conduct::Delaying => {
                while send(pb::CopyPart::default()).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            Conduct::Referring(next) => {
                let elsewhere = Some(next.to_string());
                send(pb::CopyPart { elsewhere, ..Default::default() }).await;
            }
            Conduct::Garbling => {
                let end = Some(pb::CopyEnd { name: "main".to_owned(), revision: 9, era: None });
                send(pb::CopyPart { end, ..content(vec![7; 100]) }).await;
            }
            Conduct::Endless => while send(content(vec![7; 16 << 10])).await {},
            Conduct::Breaking => {
                send(content(vec![7; 100])).await;
            }
        }
    }
}

#[tonic::async_trait]
impl Fleet for Bad {
    type TellStream = ReceiverStream<Result<pb::Knowledge, Refusal>>;
    type CopyStream = ReceiverStream<Result<pb::CopyPart, Refusal>>;

    async fn meet(&self, _: Request<pb::Nodes>) -> Result<Response<pb::Nodes>, Refusal> {
        Err(Refusal::unimplemented("it knows nobody"))
    }

    async fn tell(
        &self,
        _: Request<pb::KnowledgeRequest>,
    ) -> Result<Response<Self::TellStream>, Refusal> {
        Err(Refusal::unavailable("nothing is told here"))
    }

    async fn copy(
        &self,
        _: Request<pb::CopyRequest>,
    ) -> Result<Response<Self::CopyStream>, Refusal> {
        let (parts, receiver) = mpsc::channel(1);
        let conduct = self.0;
        tokio::spawn(async move { Self::answer(conduct, &parts).await });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

/// A node that says by beats to `other` that it has version 2.
async fn add_bad(name: &str, address: SocketAddr, conduct: Conduct, other: SocketAddr) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let server = tonic::transport::Server::builder().add_service(FleetServer::new(Bad(conduct)));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let beat = beat::ready(name.parse().expect("a name"), address, ConfigVersion(2));
    let socket = UdpSocket::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        while socket.send_to(&beat.encode(), other).await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A node whose store is silent and that hears others.
async fn cut_off(set: &Deployment, others: Vec<SocketAddr>) -> Running {
    let away = Deployment::new().await;
    away.store.set_fault(Fault::Silent);
    let settings = settings("edge-9", away.store.address(), others);
    let node = run::start(settings, Arc::new(System), Metrics::default()).await;
    assert!(set.nodes.iter().all(|node| node.shared.is_ready()));
    node.expect("free addresses")
}

/// A node asks one of those that say that they have a newer configuration. If that one is dead, cut
/// off or wrong, it must not hold the node up: another is asked.
#[tokio::test]
async fn learn_most_holders_bad_copied_from_good() {
    let mut set = Deployment::new().await;
    set.store.put("config", "main", &large_configuration(2, 200));
    set.add_node("edge-0", Vec::new()).await;
    set.wait_ready().await;
    let node = cut_off(&set, vec![set.nodes[0].shared.me.peer]).await;
    let addresses: Vec<SocketAddr> = (0..7).map(|_| free_address(own_ip())).collect();
    let conducts = [
        Conduct::Silent,
        Conduct::Delaying,
        Conduct::Referring(addresses[3]),
        Conduct::Referring(addresses[2]),
        Conduct::Garbling,
        Conduct::Endless,
        Conduct::Breaking,
    ];
    for (at, conduct) in conducts.into_iter().enumerate() {
        add_bad(&format!("bad-{at}"), addresses[at], conduct, node.shared.me.peer).await;
    }
    let began = Instant::now();
    wait_until("the good node's configuration is in force", async || {
        node.shared.status().version == ConfigVersion(2)
    })
    .await;
    println!("in force after {:?}", began.elapsed());
    let routes = node.shared.configuration.load().as_ref().map(|c| c.routes());
    assert_eq!(routes, Some(204), "it is the good node's");
}
