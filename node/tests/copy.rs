//! Fetching a configuration from peers, some of which are faulty.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::System;
use sardinepick_lib::id::ConfigVersion;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::serve::run::{self, Running};
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::{Deployment, large_configuration, settings};
use sardinepick_testutils::fleet::heartbeat;
use sardinepick_testutils::fleet::store::Fault;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

/// How a faulty peer handles a request for its configuration.
#[derive(Clone, Copy, Debug)]
enum PeerFault {
    /// Never responds.
    Silent,
    /// Tells the caller to wait, without end.
    EndlessWait,
    /// Redirects the caller to this node.
    Redirect(SocketAddr),
    /// Sends bytes that are not a configuration.
    InvalidContent,
    /// Sends a copy that never ends.
    EndlessContent,
    /// Ends the stream in the middle of the copy.
    Truncated,
}

#[derive(Debug)]
struct FaultyPeer(PeerFault);

type PartSender = mpsc::Sender<Result<pb::CopyPart, Status>>;

fn content(bytes: Vec<u8>) -> pb::CopyPart {
    pb::CopyPart { content: bytes, ..Default::default() }
}

impl FaultyPeer {
    async fn respond(fault: PeerFault, parts: &PartSender) {
        let send = async |part: pb::CopyPart| parts.send(Ok(part)).await.is_ok();
        match fault {
            PeerFault::Silent => sleep(Duration::from_secs(60)).await,
            PeerFault::EndlessWait => {
                while send(pb::CopyPart::default()).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            PeerFault::Redirect(next) => {
                let elsewhere = Some(next.to_string());
                send(pb::CopyPart { elsewhere, ..Default::default() }).await;
            }
            PeerFault::InvalidContent => {
                let end = Some(pb::CopyEnd { name: "main".to_owned(), revision: 9, era: None });
                send(pb::CopyPart { end, ..content(vec![7; 100]) }).await;
            }
            PeerFault::EndlessContent => while send(content(vec![7; 16 << 10])).await {},
            PeerFault::Truncated => {
                send(content(vec![7; 100])).await;
            }
        }
    }
}

#[tonic::async_trait]
impl Fleet for FaultyPeer {
    type TellStream = ReceiverStream<Result<pb::Knowledge, Status>>;
    type CopyStream = ReceiverStream<Result<pb::CopyPart, Status>>;
    type RelayStream = ReceiverStream<Result<pb::RelayPart, Status>>;

    async fn meet(&self, _: Request<pb::Nodes>) -> Result<Response<pb::Nodes>, Status> {
        Err(Status::unimplemented("this peer knows no other nodes"))
    }

    async fn tell(
        &self,
        _: Request<pb::KnowledgeRequest>,
    ) -> Result<Response<Self::TellStream>, Status> {
        Err(Status::unavailable("this peer sends no register"))
    }

    async fn copy(
        &self,
        _: Request<pb::CopyRequest>,
    ) -> Result<Response<Self::CopyStream>, Status> {
        let (parts, receiver) = mpsc::channel(1);
        let fault = self.0;
        tokio::spawn(async move { Self::respond(fault, &parts).await });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn relay(
        &self,
        _: Request<Streaming<pb::RelayPart>>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        Err(Status::unimplemented("this peer forwards no connections"))
    }
}

/// Starts a faulty peer. Its heartbeats tell `receiver` that it has version 2 of the configuration.
async fn start_faulty_peer(
    name: &str,
    address: SocketAddr,
    fault: PeerFault,
    receiver: SocketAddr,
) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let server =
        tonic::transport::Server::builder().add_service(FleetServer::new(FaultyPeer(fault)));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let heartbeat = heartbeat::ready(name.parse().expect("a name"), address, ConfigVersion(2));
    let socket = UdpSocket::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        while socket.send_to(&heartbeat.encode(), receiver).await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Starts a node whose store does not respond, so that it depends on its peers.
async fn start_node_without_store(set: &Deployment, peers: Vec<SocketAddr>) -> Running {
    let unreachable = Deployment::new().await;
    unreachable.store.set_fault(Fault::Silent);
    let settings = settings("edge-9", unreachable.store.address(), peers);
    let node = run::start(settings, Arc::new(System), Metrics::default()).await;
    assert!(set.nodes.iter().all(|node| node.shared.is_ready()));
    node.expect("free addresses")
}

/// Guards against a node that is held up by a faulty peer. It asks one of the peers that claim a newer
/// configuration; if that peer is dead, unreachable or faulty, it must ask another.
#[tokio::test]
async fn configuration_fetched_despite_faulty_peers() {
    let mut set = Deployment::new().await;
    set.store.put("config", "main", &large_configuration(2, 200));
    set.add_node("edge-0", Vec::new()).await;
    set.wait_ready().await;
    let node = start_node_without_store(&set, vec![set.nodes[0].shared.me.peer]).await;
    let addresses: Vec<SocketAddr> = (0..7).map(|_| free_address(own_ip())).collect();
    let faults = [
        PeerFault::Silent,
        PeerFault::EndlessWait,
        PeerFault::Redirect(addresses[3]),
        PeerFault::Redirect(addresses[2]),
        PeerFault::InvalidContent,
        PeerFault::EndlessContent,
        PeerFault::Truncated,
    ];
    for (at, fault) in faults.into_iter().enumerate() {
        start_faulty_peer(&format!("bad-{at}"), addresses[at], fault, node.shared.me.peer).await;
    }
    let start = Instant::now();
    wait_until("the configuration is in force", async || {
        node.shared.status().version == ConfigVersion(2)
    })
    .await;
    println!("in force after {:?}", start.elapsed());
    let routes = node.shared.configuration.load().as_ref().map(|c| c.routes());
    assert_eq!(routes, Some(204), "not the configuration of the healthy node");
}
