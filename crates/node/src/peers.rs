//! Connections to other nodes, on the side that sends requests.
//!
//! One multiplexed connection per peer carries requests and their answers
//! in any order. Queued frames are written in batches. When a connection is
//! lost, the requests on it fail: those that were not written yet as not run,
//! the others as possibly run.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use lagoondyke_core::id::NodeAddr;
use lagoondyke_core::peer::{Frame, encode};
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::time::timeout;

use crate::budget::Budget;
use crate::clock;
use crate::frames::{FrameReader, answer_of, request_frame, set_user_timeout};
use crate::message::Reply;
use crate::ports::{Forward, Local, Peers};

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a peer to send its configuration document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of the check whether the peer has sent a frame since the last
/// check. Only connections with requests are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Checks in a row without a frame from the peer after which a ping is sent.
const PING_CHECK_COUNT: u32 = 2;

/// Checks in a row without a frame after which the connection is given up.
/// After that time, 1,500 ms, a frozen process has missed three heartbeats
/// and is about to lose its lease. Checks are counted instead of measuring
/// time, so that a node that was frozen itself reads the frames of its peers
/// before it gives them up.
const CLOSE_CHECK_COUNT: u32 = 6;

/// Time for an unresponsive peer to answer a ping on a new connection.
const PONG_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a connection without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Bytes of frames that may be queued for a peer that reads slowly; room for
/// at least two frames of the largest size.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Most memory for the answers that are being read.
const MAX_ANSWERS_MEMORY: usize = 24 * 1024 * 1024;

/// Size at which no further queued frames are added to a batch.
const FULL_BATCH_BYTES: usize = 64 * 1024;

/// The connections to all peers, each made when it is first needed.
#[derive(Clone, Debug, Default)]
pub struct TcpPeers {
    connections: SharedConnections,
}

type SharedConnections = Rc<RefCell<Connections>>;

#[derive(Debug)]
struct Connections {
    /// Memory for the answers that are being read.
    budget: Budget,
    open: HashMap<NodeAddr, Rc<Connection>>,
    /// Peers that stopped answering and have sent no frame since. On a new
    /// connection they must answer a ping before requests are sent.
    unresponsive: HashSet<NodeAddr>,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            budget: Budget::new(MAX_ANSWERS_MEMORY),
            open: HashMap::new(),
            unresponsive: HashSet::new(),
        }
    }
}

/// A connection to one peer, or the attempt to make it.
struct Connection {
    to: NodeAddr,
    name: Rc<str>,
    queue: Tx<Item>,
    /// Requests without an answer, by the id of their frame.
    pending: RefCell<HashMap<u64, Pending>>,
    next_id: Cell<u64>,
    queued_bytes: Cell<usize>,
    /// Checks since the last frame from the peer.
    quiet_checks: Cell<u32>,
}

/// An item in the queue of a connection's writer.
#[derive(Debug)]
enum Item {
    /// The frame of the request with this id; not written if the request has
    /// been cancelled.
    Request(u64, Vec<u8>),
    /// Any other frame.
    Other(Vec<u8>),
    /// Ends the writer, which closes the connection.
    Close,
}

/// A request that waits for its answer.
#[derive(Debug)]
struct Pending {
    /// Whether the writer has taken the frame, so that the request may run.
    sent: bool,
    reply: oneshot::Sender<Incoming>,
}

/// What ends a request on a connection.
#[derive(Debug)]
enum Incoming {
    Reply(Reply),
    Document(u64, Vec<u8>),
}

/// Cancels a request if its future is dropped before the answer arrives.
#[derive(Debug)]
struct CancelGuard {
    connection: Rc<Connection>,
    id: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let pending = self.connection.pending.borrow_mut().remove(&self.id);
        // The writer skips a request frame that it has not written yet.
        if pending.is_some_and(|request| request.sent) {
            let frame = Frame::Cancel { id: self.id };
            if let Ok(bytes) = encode(&frame, b"") {
                self.connection.push(Item::Other(bytes));
            }
        }
    }
}

impl TcpPeers {
    /// Creates the client side of all peer connections; none is open yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Bytes of frames that are queued and not written yet.
    #[must_use]
    pub fn unwritten_bytes(&self) -> usize {
        let open = &self.connections.borrow().open;
        open.values().map(|connection| connection.queued_bytes.get()).sum()
    }

    /// The connection to a peer. A new one starts to connect in its own task.
    fn connection(&self, to: NodeAddr) -> Rc<Connection> {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.open.get(&to) {
            return Rc::clone(connection);
        }
        let (queue, queued) = unbounded::channel();
        let connection = Rc::new(Connection {
            to,
            name: to.to_string().into(),
            queue,
            pending: RefCell::default(),
            next_id: Cell::new(1),
            queued_bytes: Cell::new(0),
            quiet_checks: Cell::new(0),
        });
        connections.open.insert(to, Rc::clone(&connection));
        let task = Rc::clone(&connection);
        let connections = Rc::clone(&self.connections);
        monoio::spawn(async move {
            let result = task.run(queued, &connections).await;
            task.close(&connections, result.is_err());
        });
        connection
    }
}

impl Peers for TcpPeers {
    fn forward(&self, forward: Forward) -> Local<Reply> {
        let peers = self.clone();
        Box::pin(async move {
            let connection = peers.connection(forward.to);
            let id = connection.next_id();
            let frame = request_frame(id, &forward, clock::now());
            let body = &forward.call.body;
            let bytes = encode(&frame, body).map_err(|error| {
                Refusal::new(Reason::BadRequest, error.to_string())
            })?;
            match connection.request(id, bytes)?.await {
                Incoming::Reply(reply) => reply,
                Incoming::Document(..) => Err(unexpected_document()),
            }
        })
    }

    fn fetch_config(
        &self,
        from: NodeAddr,
        operator: String,
    ) -> Local<Option<(u64, Vec<u8>)>> {
        let peers = self.clone();
        Box::pin(async move {
            let connection = peers.connection(from);
            let id = connection.next_id();
            let frame = Frame::FetchConfig { id, operator };
            let bytes = encode(&frame, b"").ok()?;
            let answer = connection.request(id, bytes).ok()?;
            match timeout(FETCH_TIMEOUT, answer).await.ok()? {
                Incoming::Document(version, text) => Some((version, text)),
                Incoming::Reply(_) => None,
            }
        })
    }
}

fn malformed_answer() -> Refusal {
    let detail = "the answer of the owner's node is malformed";
    Refusal::new(Reason::AnswerCut, detail)
}

fn unexpected_document() -> Refusal {
    let detail = "the peer sent a document instead of an answer";
    Refusal::new(Reason::ConnectionLost, detail)
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

impl Connection {
    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn push(&self, item: Item) {
        let size = match &item {
            Item::Request(_, bytes) | Item::Other(bytes) => bytes.len(),
            Item::Close => 0,
        };
        if self.queue.send(item).is_ok() {
            self.queued_bytes.set(self.queued_bytes.get() + size);
        }
    }

    /// Queues a request. The future completes with the answer or failure, and
    /// cancels the request if it is dropped before.
    fn request(
        self: &Rc<Self>,
        id: u64,
        bytes: Vec<u8>,
    ) -> Result<impl Future<Output = Incoming> + use<>, Refusal> {
        if self.queued_bytes.get() + bytes.len() > MAX_QUEUED_BYTES {
            let detail = "too much is queued for the owner's node";
            return Err(Refusal::new(Reason::Overloaded, detail));
        }
        let (reply, answer) = oneshot::channel();
        let pending = Pending { sent: false, reply };
        self.pending.borrow_mut().insert(id, pending);
        self.push(Item::Request(id, bytes));
        let guard = CancelGuard { connection: Rc::clone(self), id };
        Ok(async move {
            let incoming = answer.await;
            drop(guard);
            incoming.unwrap_or_else(|_| {
                Incoming::Reply(Err(connection_lost(true)))
            })
        })
    }

    /// Connects, and transfers frames until the connection ends. Returns an
    /// error if no connection was made, so that no request was sent.
    async fn run(
        self: &Rc<Self>,
        queued: Rx<Item>,
        connections: &SharedConnections,
    ) -> io::Result<()> {
        let connect = TcpStream::connect_addr(self.to.0);
        let stream = timeout(CONNECT_TIMEOUT, connect)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream);
        let (read, mut write) = stream.into_split();
        let budget = connections.borrow().budget.clone();
        let mut reader = FrameReader::new(read).with_budget(budget);
        let unresponsive =
            connections.borrow().unresponsive.contains(&self.to);
        if unresponsive {
            self.await_pong(&mut reader, &mut write).await?;
            connections.borrow_mut().unresponsive.remove(&self.to);
        }
        let task = Rc::clone(self);
        let shared = Rc::clone(connections);
        monoio::spawn(async move { task.write(queued, write, &shared).await });
        let receive_frames = async {
            while let Ok(Some((frame, body))) = reader.next().await {
                self.quiet_checks.set(0);
                self.receive(frame, body);
            }
        };
        monoio::select! {
            () = receive_frames => {}
            () = self.watch_silence() => {
                connections.borrow_mut().unresponsive.insert(self.to);
            }
        }
        Ok(())
    }

    /// Pings an unresponsive peer and waits for a frame from it before any
    /// request is sent. If none comes, the queued requests are known not to
    /// have run.
    async fn await_pong(
        &self,
        reader: &mut FrameReader<TcpOwnedReadHalf>,
        stream: &mut TcpOwnedWriteHalf,
    ) -> io::Result<()> {
        let ping = Frame::Ping { id: self.next_id() };
        let ping = encode(&ping, b"").map_err(io::Error::other)?;
        stream.write_all(ping).await.0?;
        match timeout(PONG_TIMEOUT, reader.next()).await {
            Ok(Ok(Some(_))) => Ok(()),
            _ => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Returns when the peer has requests and has sent no frame for
    /// [`CLOSE_CHECK_COUNT`] checks.
    async fn watch_silence(&self) {
        loop {
            monoio::time::sleep(CHECK_INTERVAL).await;
            if self.pending.borrow().is_empty() {
                self.quiet_checks.set(0);
                continue;
            }
            let quiet_checks = self.quiet_checks.get() + 1;
            self.quiet_checks.set(quiet_checks);
            if quiet_checks == CLOSE_CHECK_COUNT {
                return;
            }
            if quiet_checks != PING_CHECK_COUNT {
                continue;
            }
            let ping = Frame::Ping { id: self.next_id() };
            if let Ok(bytes) = encode(&ping, b"") {
                self.push(Item::Other(bytes));
            }
        }
    }

    fn receive(&self, frame: Frame, body: Bytes) {
        let (id, incoming) = match frame {
            Frame::Answer(answer) => {
                let id = answer.id;
                let answer = answer_of(answer, body, Rc::clone(&self.name));
                (id, Incoming::Reply(answer.map_err(|_| malformed_answer())))
            }
            Frame::Refused { id, refusal } => {
                (id, Incoming::Reply(Err(refusal)))
            }
            Frame::Config { id, version } => {
                (id, Incoming::Document(version, body.to_vec()))
            }
            // A pong has had its effect, the reset of `quiet_checks`. A peer
            // sends its own requests on another connection.
            _ => return,
        };
        // The answer to a cancelled request is dropped.
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some(request) = pending {
            let _ = request.reply.send(incoming);
        }
    }

    /// Writes queued frames until the connection is to be closed, is idle for
    /// too long, or fails.
    async fn write(
        &self,
        mut queued: Rx<Item>,
        mut stream: TcpOwnedWriteHalf,
        connections: &SharedConnections,
    ) {
        let mut batch = BytesMut::new();
        loop {
            let item = timeout(IDLE_TIMEOUT, queued.recv()).await;
            if item.is_err() && !self.pending.borrow().is_empty() {
                continue;
            }
            let item = item.unwrap_or_default();
            if !self.fill_batch(item, &mut queued, &mut batch) {
                break;
            }
            let (result, back) = stream.write_all(batch).await;
            self.queued_bytes
                .set(self.queued_bytes.get().saturating_sub(back.len()));
            batch = back;
            batch.clear();
            if result.is_err() {
                break;
            }
        }
        // The peer sees the end of the stream and closes its side, which ends
        // the reading loop in `run`.
        self.unregister(connections);
        let _ = stream.shutdown().await;
    }

    /// Adds `first` and further queued frames to `batch`; false if the
    /// connection is to be closed.
    fn fill_batch(
        &self,
        first: Option<Item>,
        queued: &mut Rx<Item>,
        batch: &mut BytesMut,
    ) -> bool {
        let Some(first) = first else { return false };
        let mut item = first;
        loop {
            match item {
                Item::Close => return false,
                Item::Other(bytes) => batch.extend_from_slice(&bytes),
                Item::Request(id, bytes) => self.append(id, &bytes, batch),
            }
            if batch.len() >= FULL_BATCH_BYTES {
                return true;
            }
            match queued.try_recv() {
                Ok(next) => item = next,
                Err(_) => return true,
            }
        }
    }

    /// Adds the frame of a request to `batch`, unless the request was
    /// cancelled.
    fn append(&self, id: u64, bytes: &[u8], batch: &mut BytesMut) {
        let mut pending = self.pending.borrow_mut();
        let Some(request) = pending.get_mut(&id) else {
            self.queued_bytes
                .set(self.queued_bytes.get().saturating_sub(bytes.len()));
            return;
        };
        request.sent = true;
        batch.extend_from_slice(bytes);
    }

    /// Makes the next request to the peer open a new connection, unless there
    /// is a newer one already.
    fn unregister(&self, connections: &SharedConnections) {
        let open = &mut connections.borrow_mut().open;
        let current = open.get(&self.to);
        if current.is_some_and(|other| std::ptr::eq(other.as_ref(), self)) {
            open.remove(&self.to);
        }
    }

    /// Fails all pending requests. If `unconnected`, none of them was sent.
    fn close(&self, connections: &SharedConnections, unconnected: bool) {
        self.unregister(connections);
        self.push(Item::Close);
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for request in pending.into_values() {
            let sent = request.sent && !unconnected;
            let _ = request
                .reply
                .send(Incoming::Reply(Err(connection_lost(sent))));
        }
    }
}

/// The refusal of a request whose connection was lost. `sent` says whether the
/// request may have reached the peer.
fn connection_lost(sent: bool) -> Refusal {
    if sent {
        let detail = "the connection to the owner's node was lost";
        return Refusal::new(Reason::ConnectionLost, detail);
    }
    let detail = "no connection to the owner's node could be made";
    Refusal::new(Reason::ConnectFailed, detail)
}
