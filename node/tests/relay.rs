//! Connections to runners through a peer.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::clock::{Clock, System};
use sardinepick_lib::fleet::holding::Resources;
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::fleet::runner::Runner;
use sardinepick_lib::id::RunnerId;
use sardinepick_node::holding::Holding;
use sardinepick_node::relay::{self, CHUNK_BYTES, Client, MAX_RELAYS, WINDOW_BYTES};
use sardinepick_node::serve::dial::Tcp;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{DEFAULT_DATA_CENTRE, Deployment, PLAIN_SERVICE};
use sardinepick_testutils::fleet::killable_node::KillableNode;
use sardinepick_testutils::fleet::network::Fault;
use sardinepick_testutils::fleet::runner::Faults;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::Routes;

/// The time limit for opening a connection.
const LIMIT: Duration = Duration::from_millis(250);
/// How soon a runner's connection is closed after the asking node has dropped its end.
const CLOSE_LIMIT: Duration = Duration::from_millis(100);
/// The id of the runner that a test plays.
const RUNNER: &str = "i-hand";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

fn client() -> Client {
    let me = "edge-cut".parse().expect("a name");
    let (clock, metrics): (Arc<dyn Clock>, _) = (Arc::new(System), Metrics::default());
    let holding = Holding::new(Resources::default(), &clock, &metrics);
    Client::new(me, Arc::new(Tcp), holding, clock, metrics)
}

fn runner() -> RunnerId {
    RUNNER.parse().expect("an id")
}

/// A deployment with one node, and a runner whose connections the test serves itself.
struct Setup {
    deployment: Deployment,
    listener: TcpListener,
    client: Client,
}

impl Setup {
    async fn new() -> Self {
        let deployment = Deployment::new().await.with_nodes(1).await;
        let listener = TcpListener::bind(any_address()).await.expect("a free address");
        let setup = Self { deployment, listener, client: client() };
        setup.put_entry("ready", 1);
        let register = || setup.deployment.nodes[0].shared.register();
        wait_until("the node knows the runner", async || register().get(&runner()).is_some()).await;
        setup
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a listener has an address")
    }

    fn peer(&self) -> SocketAddr {
        self.deployment.nodes[0].shared.me.peer
    }

    fn put_entry(&self, state: &str, writes: u64) {
        let entry = json!({
            "service": PLAIN_SERVICE, "address": self.address().to_string(),
            "zone": DEFAULT_DATA_CENTRE, "version": "v1", "slots": 8, "state": state,
            "coldRemainingMs": 0, "models": [], "seq": writes, "born": 1,
        });
        self.deployment.store.put("servers", RUNNER, &entry);
    }

    async fn open(&self) -> Result<relay::Stream, relay::Error> {
        self.client.open(self.peer(), &runner(), self.address(), LIMIT).await
    }

    /// Opens a connection, and returns both ends: the asking node's and the runner's.
    async fn connect(&self) -> (relay::Stream, TcpStream) {
        let stream = self.open().await.expect("the peer reaches the runner");
        let (accepted, _) = self.listener.accept().await.expect("the peer has connected");
        (stream, accepted)
    }

    fn open_count(&self) -> i64 {
        self.deployment.nodes[0].shared.metrics.relays.get()
    }

    fn bytes_from_runner(&self) -> u64 {
        let metrics = &self.deployment.nodes[0].shared.metrics;
        metrics.relay_bytes.with_label_values(&["from_runner"]).get()
    }
}

/// A deployment with one node that is cut from its only runner, and two peers that reach the runner.
/// The node has an idle connection through the first of them, which has been told to stop.
struct Leaving {
    deployment: Deployment,
    /// The metrics of the first peer.
    metrics: Metrics,
    /// The stop of the first peer. It ends with the number of aborted requests.
    stopping: JoinHandle<u64>,
    other: KillableNode,
}

impl Leaving {
    async fn new() -> Self {
        let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
        let cut = set.nodes[0].shared.clone();
        let leaving = start_peer(&set, "edge-leaving").await;
        set.set_network_fault(&[0], &set.runners, Fault::Refuse);
        wait_until("a request is served through the peer", async || {
            set.send(0, &RequestSpec::new("/board/a", "cut")).await;
            leaving.shared.metrics.relays.get() > 0
        })
        .await;
        let other = start_peer(&set, "edge-other").await;
        let (id, metrics) = (leaving.shared.me.id.clone(), leaving.shared.metrics.clone());
        let stopping = tokio::spawn(leaving.stop());
        wait_until("the node knows that the peer leaves", async || {
            cut.roster().ready_contacts().iter().all(|contact| contact.id != id)
        })
        .await;
        Self { deployment: set, metrics, stopping, other }
    }
}

/// Starts a node, and waits until it is ready and the first node knows that.
async fn start_peer(set: &Deployment, name: &str) -> KillableNode {
    let seeds = vec![set.nodes[0].shared.me.peer];
    let peer = KillableNode::start(set.settings(name, seeds)).await.expect("free addresses");
    wait_until("the peer is ready", async || {
        let roster = set.nodes[0].shared.roster();
        peer.shared.is_ready()
            && roster.ready_contacts().iter().any(|contact| contact.id == peer.shared.me.id)
    })
    .await;
    peer
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

/// Waits until the connection at a runner is closed, by an end of stream or by a reset.
async fn wait_closed(runner: &mut TcpStream) {
    let mut buffer = [0; 1024];
    while runner.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

#[tokio::test]
async fn stream_forwarded_whole() {
    /// The chunks that the runner sends, in bytes: smaller and larger than a message.
    const CHUNKS: [usize; 5] = [1, 700, CHUNK_BYTES, CHUNK_BYTES + 1, 300_000];
    let setup = Setup::new().await;
    let (mut stream, mut runner) = setup.connect().await;
    let request = pattern(3 * CHUNK_BYTES + 5);
    let expected: usize = CHUNKS.iter().sum();
    let serve = async {
        let mut received = vec![0; request.len()];
        runner.read_exact(&mut received).await.expect("the request arrives");
        assert_eq!(received, request);
        for length in CHUNKS {
            runner.write_all(&pattern(length)).await.expect("the answer is read");
        }
        runner.shutdown().await.expect("the connection is open");
    };
    let call = async {
        stream.write_all(&request).await.expect("the request is sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("the runner ends the stream");
        answer
    };
    let ((), answer) = tokio::join!(serve, call);
    assert_eq!(answer.len(), expected);
    assert_eq!(answer, CHUNKS.iter().flat_map(|length| pattern(*length)).collect::<Vec<_>>());
    drop(stream);
    wait_until("the relay has ended", async || setup.open_count() == 0).await;
}

#[tokio::test]
async fn small_chunks_forwarded_at_once() {
    /// Many times what a chunk takes on loopback, and less than the delay of Nagle's algorithm.
    const MAX_ROUND_TRIP: Duration = Duration::from_millis(20);
    const ROUNDS: u32 = 50;
    let setup = Setup::new().await;
    let (mut stream, mut runner) = setup.connect().await;
    let began = Instant::now();
    let mut byte = [0];
    for _ in 0..ROUNDS {
        stream.write_all(b"a").await.expect("the connection is open");
        runner.read_exact(&mut byte).await.expect("the connection is open");
        runner.write_all(b"b").await.expect("the connection is open");
        stream.read_exact(&mut byte).await.expect("the connection is open");
    }
    let mean = began.elapsed() / ROUNDS;
    println!("round trip of one byte: {mean:?}");
    assert!(mean < MAX_ROUND_TRIP, "a round trip took {mean:?}");
}

/// Guards against a peer through which any address can be reached.
#[tokio::test]
async fn unknown_address_refused() {
    let setup = Setup::new().await;
    let other = TcpListener::bind(any_address()).await.expect("a free address");
    let address = other.local_addr().expect("a listener has an address");
    let opened = setup.client.open(setup.peer(), &runner(), address, LIMIT).await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
    let unknown = "i-other".parse().expect("an id");
    let opened = setup.client.open(setup.peer(), &unknown, setup.address(), LIMIT).await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
    assert!(timeout(CLOSE_LIMIT, other.accept()).await.is_err(), "the peer has connected");
}

/// Guards against new work at a runner that leaves, from a node that does not know it yet.
#[tokio::test]
async fn leaving_runner_refused() {
    let setup = Setup::new().await;
    let (mut stream, mut runner_end) = setup.connect().await;
    setup.put_entry("draining", 2);
    let register = || setup.deployment.nodes[0].shared.register();
    wait_until("the node knows that the runner leaves", async || {
        register().get(&runner()).is_some_and(Runner::is_leaving)
    })
    .await;
    let opened = setup.open().await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
    setup.deployment.store.remove("servers", RUNNER);
    wait_until("the runner has left", async || register().get(&runner()).is_none()).await;
    let opened = setup.open().await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
    // An answer in progress is not interrupted.
    runner_end.write_all(b"rest").await.expect("the connection is open");
    let mut rest = [0; 4];
    stream.read_exact(&mut rest).await.expect("the connection is open");
    assert_eq!(&rest, b"rest");
}

/// Guards against connections through a node that is about to end.
#[tokio::test]
async fn leaving_node_refuses() {
    let setup = Setup::new().await;
    setup.deployment.nodes[0].shared.standing.send_replace(Standing::Leaving);
    let opened = setup.open().await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
}

/// Guards against a request over an idle connection through a peer that leaves: it is cut when the
/// peer ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connection_through_leaving_peer_not_used() {
    /// Longer than the peer's grace period.
    const RESPONSE_DELAY: Duration = Duration::from_millis(2_200);
    let Leaving { deployment, metrics, stopping, other } = Leaving::new().await;
    let faults = Faults { response_delay: RESPONSE_DELAY, ..Faults::default() };
    deployment.runners[0].set_faults(faults);
    let forwarded = metrics.relay_bytes.with_label_values(&["to_runner"]);
    let before = forwarded.get();
    let reply = deployment.send(0, &RequestSpec::new("/eggs/a", "late")).await;
    assert_eq!(reply.status, Some(StatusCode::OK));
    assert_eq!(forwarded.get(), before, "the peer that leaves has forwarded the request");
    assert!(other.shared.metrics.relays.get() > 0);
    assert_eq!(stopping.await.expect("no panic"), 0, "requests were cut");
}

/// Guards against a node whose stop lasts its whole grace period because of idle connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_through_leaving_peer_closed() {
    /// Half of the peer's grace period.
    const MAX_CLOSE: Duration = Duration::from_secs(1);
    let Leaving { deployment: _deployment, metrics, stopping, other: _other } =
        Leaving::new().await;
    let known = Instant::now();
    wait_until("no connection is forwarded", async || metrics.relays.get() == 0).await;
    let took = known.elapsed();
    println!("closed after {took:?}");
    assert!(took < MAX_CLOSE, "closed after {took:?}");
    assert_eq!(stopping.await.expect("no panic"), 0, "requests were cut");
}

/// Guards against a node that runs out of file descriptors because it forwards for all others.
#[tokio::test]
async fn excess_relays_refused() {
    let setup = Setup::new().await;
    let mut open = Vec::with_capacity(MAX_RELAYS);
    for _ in 0..MAX_RELAYS {
        open.push(setup.connect().await);
    }
    let opened = setup.open().await;
    assert!(matches!(opened, Err(relay::Error::Refused { .. })), "{opened:?}");
    open.pop();
    wait_until("a relay has ended", async || setup.open_count() < MAX_RELAYS as i64).await;
    setup.connect().await;
}

/// Guards against waiting for a peer that reaches the runner no better.
#[tokio::test]
async fn unreachable_runner_reported() {
    let setup = Setup::new().await;
    let address = setup.address();
    let Setup { deployment, listener, client } = setup;
    drop(listener);
    let peer = deployment.nodes[0].shared.me.peer;
    let opened = client.open(peer, &runner(), address, LIMIT).await;
    assert!(matches!(opened, Err(relay::Error::Unreachable { .. })), "{opened:?}");
}

/// Guards against a node of an earlier version that is taken for a failed runner.
#[tokio::test]
async fn earlier_version_reported() {
    let listener = TcpListener::bind(any_address()).await.expect("a free address");
    let peer = listener.local_addr().expect("a listener has an address");
    let server = tonic::transport::Server::builder().add_routes(Routes::default());
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let opened = client().open(peer, &runner(), any_address(), LIMIT).await;
    assert!(matches!(opened, Err(relay::Error::Unsupported { .. })), "{opened:?}");
}

/// Guards against a peer that has ended and is waited for.
#[tokio::test]
async fn absent_peer_reported() {
    let listener = TcpListener::bind(any_address()).await.expect("a free address");
    let peer = listener.local_addr().expect("a listener has an address");
    drop(listener);
    let opened = client().open(peer, &runner(), any_address(), LIMIT).await;
    assert!(matches!(opened, Err(relay::Error::Disconnected { .. })), "{opened:?}");
}

/// Guards against an answer without a length that looks complete although its runner has crashed.
#[tokio::test]
async fn reset_of_runner_is_error() {
    let setup = Setup::new().await;
    let (mut stream, mut runner) = setup.connect().await;
    runner.write_all(b"part").await.expect("the connection is open");
    let mut part = [0; 4];
    stream.read_exact(&mut part).await.expect("the connection is open");
    SockRef::from(&runner).set_linger(Some(Duration::ZERO)).expect("a TCP socket");
    drop(runner);
    let read = stream.read(&mut part).await;
    assert_eq!(read.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

/// Guards against an answer without a length that looks complete although the peer has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_of_peer_is_error() {
    let setup = Setup::new().await;
    let seeds = vec![setup.peer()];
    let mut peer = KillableNode::start(setup.deployment.settings("edge-peer", seeds))
        .await
        .expect("free addresses");
    wait_until("the peer knows the runner", async || {
        peer.shared.register().get(&runner()).is_some()
    })
    .await;
    let opened = setup.client.open(peer.shared.me.peer, &runner(), setup.address(), LIMIT).await;
    let mut stream = opened.expect("the peer reaches the runner");
    let (mut runner_end, _) = setup.listener.accept().await.expect("the peer has connected");
    runner_end.write_all(b"part").await.expect("the connection is open");
    let mut part = [0; 4];
    stream.read_exact(&mut part).await.expect("the connection is open");
    peer.kill();
    let read: io::Result<usize> = stream.read(&mut part).await;
    assert!(read.is_err(), "{read:?}");
}

/// Guards against a runner that works on for a caller that has left.
#[tokio::test]
async fn dropped_stream_closes_connection() {
    let setup = Setup::new().await;
    let (mut stream, mut runner) = setup.connect().await;
    stream.write_all(REQUEST).await.expect("the connection is open");
    let mut received = vec![0; REQUEST.len()];
    runner.read_exact(&mut received).await.expect("the request arrives");
    drop(stream);
    let dropped = Instant::now();
    wait_closed(&mut runner).await;
    let took = dropped.elapsed();
    println!("runner's connection closed after {took:?}");
    assert!(took < CLOSE_LIMIT, "closed after {took:?}");
    wait_until("the relay has ended", async || setup.open_count() == 0).await;
}

/// Guards against a runner that works on for a node that has ended.
#[tokio::test]
async fn end_of_asking_node_closes_connection() {
    let setup = Setup::new().await;
    let (peer, address) = (setup.peer(), setup.address());
    let asking = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let asking = asking.expect("threads can be started");
    let opened = asking.spawn(async move { client().open(peer, &runner(), address, LIMIT).await });
    let stream = opened.await.expect("no panic").expect("the peer reaches the runner");
    let (mut runner, _) = setup.listener.accept().await.expect("the peer has connected");
    asking.shutdown_background();
    let ended = Instant::now();
    wait_closed(&mut runner).await;
    let took = ended.elapsed();
    assert!(took < CLOSE_LIMIT, "closed after {took:?}");
    drop(stream);
}

/// Guards against a peer that buffers the answers of slow readers without limit, and against slow
/// readers that block others.
#[tokio::test]
async fn slow_reader_limits_buffers() {
    const BODY_BYTES: usize = 4 << 20;
    /// What is under way at both nodes besides the window of the stream.
    const MAX_BUFFERED_BYTES: u64 = WINDOW_BYTES as u64 + 12 * CHUNK_BYTES as u64;
    const PAUSE: Duration = Duration::from_millis(300);
    let setup = Setup::new().await;
    let (mut slow, mut runner) = setup.connect().await;
    let body = pattern(BODY_BYTES);
    let sent = body.clone();
    let serving = tokio::spawn(async move {
        runner.write_all(&sent).await?;
        runner.shutdown().await
    });
    sleep(PAUSE).await;
    let buffered = setup.bytes_from_runner();
    println!("{buffered} bytes forwarded while nothing is read");
    assert!(buffered <= MAX_BUFFERED_BYTES, "{buffered} bytes are buffered");
    let (mut other, mut other_runner) = setup.connect().await;
    other_runner.write_all(b"other").await.expect("the connection is open");
    let mut received = [0; 5];
    other.read_exact(&mut received).await.expect("the connection is open");
    let mut answer = Vec::new();
    slow.read_to_end(&mut answer).await.expect("the runner ends the stream");
    assert!(answer == body, "the answer differs from what the runner sent");
    serving.await.expect("no panic").expect("the answer is read");
}
