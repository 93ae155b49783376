//! A loopback TCP proxy in front of a runner that spoils responses: it repeats, cuts, delays or
//! replaces them, sends other bytes, sends bytes without end, or resets the connection.
//!
//! It has slots of its own, and rejects requests while they are taken.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::cluster::any_address;

const CHUNK_BYTES: usize = 16 << 10;
/// Small, so that what the other side has not read is not counted as sent.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Bytes that take the place of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Raw {
    /// The bytes. In them `{id}` stands for the id of the request.
    pub bytes: &'static str,
    /// What happens to the connection after them.
    pub end: End,
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It stays open.
    Keep,
    /// It is closed.
    Close,
    /// It is reset after this long. The response is sent before the body of the request is read.
    ResetUnread(Duration),
}

/// What happens to one response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spoil {
    /// Nothing.
    #[default]
    None,
    /// A copy is sent where the response to a later request is expected, after this many others.
    Repeat {
        /// The number of requests that are answered before the copy is sent.
        after: usize,
    },
    /// As [`Spoil::Repeat`] with 0, twice.
    RepeatTwice,
    /// The first bytes of a copy are sent where the response to the next request is expected.
    RepeatStart(usize),
    /// A copy follows at once.
    RepeatNow,
    /// The connection ends within the response, after this many bytes.
    Cut(usize),
    /// The connection is reset before the request has reached the runner.
    ResetBefore,
    /// The connection is reset once the runner has run the request.
    ResetAfter,
    /// The response is delayed.
    Delay(Duration),
    /// The request is rejected once its head has been read.
    Reject,
    /// As [`Spoil::Reject`], with a body without end.
    RejectEndless,
    /// As [`Spoil::RejectEndless`], with one byte in each of these intervals.
    RejectSlow(Duration),
    /// The head of the response is followed by bytes without end, as its body.
    EndlessBody,
    /// As [`Spoil::EndlessBody`], with one byte in each of these intervals.
    SlowBody(Duration),
    /// A response head without end.
    EndlessHead,
    /// Informational responses without end.
    EndlessInformational,
    /// Bytes without end that are not HTTP.
    EndlessGarbage,
    /// Other bytes are sent instead, and the request does not reach the runner.
    Replace(Raw),
}

/// Chooses what happens to the response to a request, which is given by its id; the id is empty for
/// a health check, an order or a query.
type Choice = Arc<Mutex<dyn FnMut(&str) -> Spoil + Send>>;

/// A call that reached the runner.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request id.
    pub id: String,
    /// Whether the runner only processes the prompt.
    pub is_prefill: bool,
    /// What happened to its response.
    pub spoil: Spoil,
    /// When it was passed to the runner.
    pub began: Instant,
    /// When its response had ended or the other side had closed the connection; `None` before.
    pub ended: Option<Instant>,
}

/// A proxy in front of one runner.
#[derive(Clone)]
pub struct Spoiler {
    /// The address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    server: SocketAddr,
    choice: Choice,
    slots: Semaphore,
    calls: Mutex<Vec<Call>>,
    spoilt: AtomicU64,
    endless_bytes: AtomicU64,
}

impl Spoiler {
    /// Starts a proxy with `slots` in front of `server`. `choice` decides about each response.
    ///
    /// # Errors
    /// No free address.
    pub async fn start(
        server: SocketAddr,
        slots: usize,
        choice: impl FnMut(&str) -> Spoil + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(any_address()).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            server,
            choice: Arc::new(Mutex::new(choice)),
            slots: Semaphore::new(slots),
            calls: Mutex::default(),
            spoilt: AtomicU64::new(0),
            endless_bytes: AtomicU64::new(0),
        });
        let accepting = inner.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let inner = accepting.clone();
                tokio::spawn(async move {
                    if let Err(error) = inner.serve(client).await {
                        log::debug!(error:% = error; "connection through a spoiler ended");
                    }
                });
            }
        });
        Ok(Self { address, inner })
    }

    /// The number of responses that were spoilt.
    pub fn spoilt(&self) -> u64 {
        self.inner.spoilt.load(Ordering::Relaxed)
    }

    /// The number of bytes without end that were sent.
    pub fn endless_bytes(&self) -> u64 {
        self.inner.endless_bytes.load(Ordering::Relaxed)
    }

    /// The calls that reached the runner.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.inner.calls).clone()
    }
}

/// A request as it was read.
struct Message {
    bytes: Vec<u8>,
    head: usize,
    id: String,
    is_prefill: bool,
}

/// A copy of a response that is still to be sent.
struct Copy {
    after: usize,
    bytes: Vec<u8>,
}

impl Inner {
    async fn serve(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        SockRef::from(&client).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let (mut unread, mut copies) = (Vec::new(), Vec::<Copy>::new());
        while let Some(head) = read_head(&mut client, &mut unread).await? {
            let spoil = (lock(&self.choice))(&head.id);
            if let Spoil::Replace(Raw { bytes, end: End::ResetUnread(after) }) = spoil {
                self.spoilt.fetch_add(1, Ordering::Relaxed);
                client.write_all(&replacement(bytes, &head.id)).await?;
                sleep(after).await;
                return reset(&client);
            }
            let Some(request) = read_body(&mut client, &mut unread, head).await? else { break };
            for copy in copies.extract_if(.., |copy| copy.after == 0) {
                client.write_all(&copy.bytes).await?;
            }
            copies.iter_mut().for_each(|copy| copy.after -= 1);
            self.spoilt.fetch_add(u64::from(spoil != Spoil::None), Ordering::Relaxed);
            let slot = self.slots.try_acquire();
            let response = match spoil {
                Spoil::ResetBefore => return reset(&client),
                Spoil::EndlessHead => {
                    return self
                        .send_endlessly(&mut client, b"HTTP/1.1 200 OK\r\n", b"x: y\r\n")
                        .await;
                }
                Spoil::EndlessInformational => {
                    let line = b"HTTP/1.1 102 Processing\r\n\r\n";
                    return self.send_endlessly(&mut client, b"", line).await;
                }
                Spoil::EndlessGarbage => {
                    return self.send_endlessly(&mut client, b"", b"\x80").await;
                }
                Spoil::RejectEndless => {
                    let head = rejection(&request.id, "transfer-encoding: chunked\r\n");
                    return self.send_endlessly(&mut client, &head, &chunk()).await;
                }
                Spoil::RejectSlow(interval) => {
                    let head = rejection(&request.id, "transfer-encoding: chunked\r\n");
                    return self.send_slowly(&mut client, &head, interval).await;
                }
                Spoil::Replace(raw) => {
                    let response = replacement(raw.bytes, &request.id);
                    client.write_all(&response).await?;
                    if raw.end == End::Close {
                        return Ok(());
                    }
                    response
                }
                Spoil::Reject => self.reject(&mut client, &request).await?,
                _ if slot.is_err() && !request.id.is_empty() => {
                    self.reject(&mut client, &request).await?
                }
                _ => match self.forward(&mut client, &request, spoil).await? {
                    Some(response) => response,
                    None => return Ok(()),
                },
            };
            drop(slot);
            match spoil {
                Spoil::Repeat { after } => copies.push(Copy { after, bytes: response }),
                Spoil::RepeatTwice => {
                    copies.push(Copy { after: 0, bytes: [&response[..], &response[..]].concat() });
                }
                Spoil::RepeatStart(length) => {
                    let bytes = response[..length.min(response.len())].to_vec();
                    copies.push(Copy { after: 0, bytes });
                }
                Spoil::RepeatNow => client.write_all(&response).await?,
                _ => {}
            }
        }
        Ok(())
    }

    async fn reject(&self, client: &mut TcpStream, request: &Message) -> io::Result<Vec<u8>> {
        let response = rejection(&request.id, "content-length: 0\r\n");
        client.write_all(&response).await?;
        Ok(response)
    }

    /// Passes a request to the runner and its response back. Returns the response, or `None` if the
    /// connection has ended.
    async fn forward(
        &self,
        client: &mut TcpStream,
        request: &Message,
        spoil: Spoil,
    ) -> io::Result<Option<Vec<u8>>> {
        let mut server = TcpStream::connect(self.server).await?;
        server.set_nodelay(true)?;
        let (head, body) = request.bytes.split_at(request.head - 2);
        // The end of the connection then ends the response.
        server.write_all(head).await?;
        server.write_all(b"connection: close\r\n").await?;
        server.write_all(body).await?;
        let call = {
            let mut calls = lock(&self.calls);
            let (id, is_prefill) = (request.id.clone(), request.is_prefill);
            calls.push(Call { id, is_prefill, spoil, began: Instant::now(), ended: None });
            calls.len() - 1
        };
        let response = self.relay(client, &mut server, spoil).await;
        lock(&self.calls)[call].ended = Some(Instant::now());
        response
    }

    async fn relay(
        &self,
        client: &mut TcpStream,
        server: &mut TcpStream,
        spoil: Spoil,
    ) -> io::Result<Option<Vec<u8>>> {
        let (mut response, mut sent) = (Vec::new(), 0);
        let (mut from_client, mut from_server) = (vec![0; CHUNK_BYTES], vec![0; CHUNK_BYTES]);
        let mut delay = match spoil {
            Spoil::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        loop {
            let length = tokio::select! {
                // A node sends nothing more before it has the response.
                _ = client.read(&mut from_client) => return Ok(None),
                read = server.read(&mut from_server) => read?,
            };
            response.extend_from_slice(&from_server[..length]);
            if sent == 0 {
                remove_line(&mut response, b"connection: close\r\n");
            }
            let Some(head) = head_length(&response) else {
                if length == 0 {
                    return Ok(None);
                }
                continue;
            };
            if sent == 0 {
                tokio::select! {
                    _ = client.read(&mut from_client) => return Ok(None),
                    () = sleep(std::mem::take(&mut delay)) => {}
                }
            }
            match spoil {
                Spoil::ResetAfter => return reset(client).map(|()| None),
                Spoil::Cut(limit) if response.len() >= limit || length == 0 => {
                    client.write_all(&response[sent..limit.clamp(sent, response.len())]).await?;
                    return Ok(None);
                }
                Spoil::EndlessBody | Spoil::SlowBody(_) => {
                    let mut head = response[..head].to_vec();
                    let length = head.windows(16).position(|w| w == b"content-length: ");
                    if let Some(at) = length {
                        let end = head[at..].iter().position(|b| *b == b'\n').unwrap_or(0);
                        head.splice(at..=at + end, *b"transfer-encoding: chunked\r\n");
                    }
                    return match spoil {
                        Spoil::SlowBody(interval) => {
                            self.send_slowly(client, &head, interval).await
                        }
                        _ => self.send_endlessly(client, &head, &chunk()).await,
                    }
                    .map(|()| None);
                }
                _ => {
                    client.write_all(&response[sent..]).await?;
                    sent = response.len();
                }
            }
            if length == 0 {
                return Ok(Some(response));
            }
        }
    }

    async fn send_endlessly(
        &self,
        client: &mut TcpStream,
        first: &[u8],
        part: &[u8],
    ) -> io::Result<()> {
        client.write_all(first).await?;
        let parts = part.repeat((CHUNK_BYTES / part.len()).max(1));
        loop {
            client.write_all(&parts).await?;
            self.endless_bytes.fetch_add(parts.len() as u64, Ordering::Relaxed);
        }
    }

    async fn send_slowly(
        &self,
        client: &mut TcpStream,
        first: &[u8],
        interval: Duration,
    ) -> io::Result<()> {
        client.write_all(first).await?;
        loop {
            client.write_all(b"1\r\nx\r\n").await?;
            self.endless_bytes.fetch_add(1, Ordering::Relaxed);
            sleep(interval).await;
        }
    }
}

/// A piece of 1 KiB of a chunked body, without a line end that would be an event's.
fn chunk() -> Vec<u8> {
    [&b"400\r\n"[..], &[b'x'; 0x400], b"\r\n"].concat()
}

fn rejection(id: &str, body_header: &str) -> Vec<u8> {
    let head = "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nkeep-alive: timeout=5\r\n";
    format!("{head}request-id: {id}\r\n{body_header}\r\n").into_bytes()
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}

fn remove_line(bytes: &mut Vec<u8>, line: &[u8]) {
    if let Some(at) = bytes.windows(line.len()).position(|window| window == line) {
        bytes.drain(at..at + line.len());
    }
}

fn replacement(bytes: &str, id: &str) -> Vec<u8> {
    bytes.replace("{id}", id).into_bytes()
}

/// The head of a request as it was read.
struct Head {
    length: usize,
    body: usize,
    id: String,
    is_prefill: bool,
}

/// Reads the head of a request; `None` if the connection has ended.
async fn read_head(client: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let length = loop {
        match head_length(unread) {
            Some(length) => break length,
            None if read_more(client, unread).await? => {}
            None => return Ok(None),
        }
    };
    let text = String::from_utf8_lossy(&unread[..length]).to_lowercase();
    let header = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
    };
    let body = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let id = header("request-id").unwrap_or_default();
    let is_prefill = header("stage").is_some_and(|stage| stage == "prefill");
    Ok(Some(Head { length, body, id, is_prefill }))
}

/// Reads the body of a request; `None` if the connection has ended.
async fn read_body(
    client: &mut TcpStream,
    unread: &mut Vec<u8>,
    head: Head,
) -> io::Result<Option<Message>> {
    let Head { length, body, id, is_prefill } = head;
    while unread.len() < length + body {
        if !read_more(client, unread).await? {
            return Ok(None);
        }
    }
    let bytes = unread.drain(..length + body).collect();
    Ok(Some(Message { bytes, head: length, id, is_prefill }))
}

/// Returns false at the end of the connection.
async fn read_more(client: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<bool> {
    unread.reserve(CHUNK_BYTES);
    Ok(client.read_buf(unread).await? > 0)
}

fn lock<T: ?Sized>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
