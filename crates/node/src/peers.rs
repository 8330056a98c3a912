//! Connections to other nodes, as the sender of requests.
//!
//! One multiplexed connection per peer carries requests and their answers
//! in any order. Frames that are due are written together. A connection
//! that is lost fails the requests on it: those not written yet as not run,
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

use crate::clock;
use crate::frames::{FrameReader, answer_of, request_frame, user_timeout};
use crate::message::Reply;
use crate::ports::{Forward, Local, Peers};

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time for a peer to answer a question for a document.
const FETCH_LIMIT: Duration = Duration::from_secs(2);

/// Interval at which a connection with requests is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Looks in a row without a frame from the peer after which it is asked
/// whether it still runs.
const LOOKS_PING: u32 = 2;

/// Looks in a row without a frame after which the connection is given up.
/// After that time, 1,500 ms, a frozen process has missed three heartbeats
/// and is about to lose its lease. Looks are counted rather than time, so
/// that a process that was frozen itself hears its peers before it judges.
const LOOKS_DEAD: u32 = 6;

/// Time for a peer that was given up before to show life on a new
/// connection.
const GREET_LIMIT: Duration = Duration::from_millis(250);

/// Time after which a connection without requests is closed.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// Bytes that may wait for a peer that reads slowly. Two frames of the
/// largest size always fit.
const QUEUE_MAX: usize = 8 * 1024 * 1024;

/// Bytes that are gathered for one write.
const BATCH: usize = 64 * 1024;

/// All connections to peers.
#[derive(Clone, Debug, Default)]
pub struct TcpPeers {
    links: Links,
}

type Links = Rc<RefCell<Known>>;

#[derive(Debug, Default)]
struct Known {
    links: HashMap<NodeAddr, Rc<Link>>,
    /// Peers that were given up and have shown no life since.
    silent: HashSet<NodeAddr>,
}

/// A connection to one peer.
struct Link {
    to: NodeAddr,
    name: Rc<str>,
    queue: Tx<Item>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    next: Cell<u64>,
    size: Cell<usize>,
    /// Looks since the last frame from the peer.
    quiet: Cell<u32>,
}

/// What the writer of a connection takes.
#[derive(Debug)]
enum Item {
    /// A frame of the request with this id.
    Request(u64, Vec<u8>),
    /// Another frame.
    Other(Vec<u8>),
    /// Close the connection.
    Close,
}

#[derive(Debug)]
struct Waiting {
    sent: bool,
    reply: oneshot::Sender<Incoming>,
}

/// How a request on a connection ended.
#[derive(Debug)]
enum Incoming {
    Reply(Reply),
    Document(u64, Vec<u8>),
}

/// Cancels a request when its future is dropped before the answer.
#[derive(Debug)]
struct Guard {
    link: Rc<Link>,
    id: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let waiting = self.link.waiting.borrow_mut().remove(&self.id);
        // A frame that is not written yet is dropped by the writer.
        if waiting.is_some_and(|waiting| waiting.sent) {
            let frame = Frame::Cancel { id: self.id };
            if let Ok(bytes) = encode(&frame, b"") {
                self.link.push(Item::Other(bytes));
            }
        }
    }
}

impl TcpPeers {
    /// No connections yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Bytes that have not been written yet.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        let links = &self.links.borrow().links;
        links.values().map(|link| link.size.get()).sum()
    }

    fn link(&self, to: NodeAddr) -> Rc<Link> {
        let mut known = self.links.borrow_mut();
        if let Some(link) = known.links.get(&to) {
            return Rc::clone(link);
        }
        let (queue, due) = unbounded::channel();
        let link = Rc::new(Link {
            to,
            name: to.to_string().into(),
            queue,
            waiting: RefCell::default(),
            next: Cell::new(1),
            size: Cell::new(0),
            quiet: Cell::new(0),
        });
        known.links.insert(to, Rc::clone(&link));
        let task = Rc::clone(&link);
        let links = Rc::clone(&self.links);
        monoio::spawn(async move {
            let result = task.serve(due, &links).await;
            task.close(&links, result.is_err());
        });
        link
    }
}

impl Peers for TcpPeers {
    fn forward(&self, forward: Forward) -> Local<Reply> {
        let peers = self.clone();
        Box::pin(async move {
            let link = peers.link(forward.to);
            let id = link.next_id();
            let frame = request_frame(id, &forward, clock::now());
            let body = &forward.call.body;
            let bytes = encode(&frame, body).map_err(|error| {
                Refusal::new(Reason::BadRequest, error.to_string())
            })?;
            match link.ask(id, bytes)?.await {
                Incoming::Reply(reply) => reply,
                Incoming::Document(..) => Err(unexpected()),
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
            let link = peers.link(from);
            let id = link.next_id();
            let frame = Frame::FetchConfig { id, operator };
            let bytes = encode(&frame, b"").ok()?;
            let answer = link.ask(id, bytes).ok()?;
            match timeout(FETCH_LIMIT, answer).await.ok()? {
                Incoming::Document(version, text) => Some((version, text)),
                Incoming::Reply(_) => None,
            }
        })
    }
}

fn unusable() -> Refusal {
    let detail = "the answer of the owner's node is malformed";
    Refusal::new(Reason::AnswerCut, detail)
}

fn unexpected() -> Refusal {
    let detail = "the peer sent a document instead of an answer";
    Refusal::new(Reason::ConnectionLost, detail)
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("to", &self.to).finish_non_exhaustive()
    }
}

impl Link {
    fn next_id(&self) -> u64 {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }

    fn push(&self, item: Item) {
        let size = match &item {
            Item::Request(_, bytes) | Item::Other(bytes) => bytes.len(),
            Item::Close => 0,
        };
        if self.queue.send(item).is_ok() {
            self.size.set(self.size.get() + size);
        }
    }

    /// Queues a request; the future gives its end.
    fn ask(
        self: &Rc<Self>,
        id: u64,
        bytes: Vec<u8>,
    ) -> Result<impl Future<Output = Incoming> + use<>, Refusal> {
        if self.size.get() + bytes.len() > QUEUE_MAX {
            let detail = "too much is queued for the owner's node";
            return Err(Refusal::new(Reason::Overloaded, detail));
        }
        let (reply, answer) = oneshot::channel();
        let waiting = Waiting { sent: false, reply };
        self.waiting.borrow_mut().insert(id, waiting);
        self.push(Item::Request(id, bytes));
        let guard = Guard { link: Rc::clone(self), id };
        Ok(async move {
            let incoming = answer.await;
            drop(guard);
            incoming.unwrap_or_else(|_| Incoming::Reply(Err(lost(true))))
        })
    }

    /// Connects and carries frames until the connection ends. An error says
    /// that no connection was made.
    async fn serve(
        self: &Rc<Self>,
        due: Rx<Item>,
        links: &Links,
    ) -> io::Result<()> {
        let connect = TcpStream::connect_addr(self.to.0);
        let stream = timeout(CONNECT_LIMIT, connect)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let _ = stream.set_nodelay(true);
        user_timeout(&stream);
        let (read, mut write) = stream.into_split();
        let mut reader = FrameReader::new(read);
        let silent = links.borrow().silent.contains(&self.to);
        if silent {
            self.greet(&mut reader, &mut write).await?;
            links.borrow_mut().silent.remove(&self.to);
        }
        let writer = Rc::clone(self);
        let shared = Rc::clone(links);
        monoio::spawn(async move { writer.write(due, write, &shared).await });
        let frames = async {
            while let Ok(Some((frame, body))) = reader.next().await {
                self.quiet.set(0);
                self.receive(frame, body);
            }
        };
        monoio::select! {
            () = frames => {}
            () = self.watch() => {
                links.borrow_mut().silent.insert(self.to);
            }
        }
        Ok(())
    }

    /// Waits for a sign of life of a peer that was given up before, so that
    /// requests that would wait for it again are known not to have run.
    async fn greet(
        &self,
        reader: &mut FrameReader<TcpOwnedReadHalf>,
        stream: &mut TcpOwnedWriteHalf,
    ) -> io::Result<()> {
        let ping = Frame::Ping { id: self.next_id() };
        let ping = encode(&ping, b"").map_err(io::Error::other)?;
        stream.write_all(ping).await.0?;
        match timeout(GREET_LIMIT, reader.next()).await {
            Ok(Ok(Some(_))) => Ok(()),
            _ => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Returns when the peer has requests but shows no sign of life.
    async fn watch(&self) {
        loop {
            monoio::time::sleep(LOOK_INTERVAL).await;
            if self.waiting.borrow().is_empty() {
                self.quiet.set(0);
                continue;
            }
            let quiet = self.quiet.get() + 1;
            self.quiet.set(quiet);
            if quiet == LOOKS_DEAD {
                return;
            }
            if quiet != LOOKS_PING {
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
                (id, Incoming::Reply(answer.map_err(|_| unusable())))
            }
            Frame::Refused { id, refusal } => {
                (id, Incoming::Reply(Err(refusal)))
            }
            Frame::Config { id, version } => {
                (id, Incoming::Document(version, body.to_vec()))
            }
            // A pong has done its work by arriving. A peer asks questions
            // on a connection of its own.
            _ => return,
        };
        // An answer to a cancelled request finds nobody waiting.
        let waiting = self.waiting.borrow_mut().remove(&id);
        if let Some(waiting) = waiting {
            let _ = waiting.reply.send(incoming);
        }
    }

    async fn write(
        &self,
        mut due: Rx<Item>,
        mut stream: TcpOwnedWriteHalf,
        links: &Links,
    ) {
        let mut batch = BytesMut::new();
        loop {
            let item = timeout(IDLE_LIMIT, due.recv()).await;
            if item.is_err() && !self.waiting.borrow().is_empty() {
                continue;
            }
            let item = item.unwrap_or_default();
            if !self.gather(item, &mut due, &mut batch) {
                break;
            }
            let (result, back) = stream.write_all(batch).await;
            self.size.set(self.size.get().saturating_sub(back.len()));
            batch = back;
            batch.clear();
            if result.is_err() {
                break;
            }
        }
        // The peer sees the end of the stream and closes its side, which
        // ends the reader.
        self.forget(links);
        let _ = stream.shutdown().await;
    }

    /// Collects frames that are due; false at the end of the connection.
    fn gather(
        &self,
        first: Option<Item>,
        due: &mut Rx<Item>,
        batch: &mut BytesMut,
    ) -> bool {
        let Some(first) = first else { return false };
        let mut item = first;
        loop {
            match item {
                Item::Close => return false,
                Item::Other(bytes) => batch.extend_from_slice(&bytes),
                Item::Request(id, bytes) => self.put(id, &bytes, batch),
            }
            if batch.len() >= BATCH {
                return true;
            }
            match due.try_recv() {
                Ok(next) => item = next,
                Err(_) => return true,
            }
        }
    }

    fn put(&self, id: u64, bytes: &[u8], batch: &mut BytesMut) {
        let mut waiting = self.waiting.borrow_mut();
        let Some(request) = waiting.get_mut(&id) else {
            self.size.set(self.size.get().saturating_sub(bytes.len()));
            return;
        };
        request.sent = true;
        batch.extend_from_slice(bytes);
    }

    fn forget(&self, links: &Links) {
        let links = &mut links.borrow_mut().links;
        let own = links.get(&self.to);
        if own.is_some_and(|link| std::ptr::eq(link.as_ref(), self)) {
            links.remove(&self.to);
        }
    }

    /// Fails all requests that wait for an answer.
    fn close(&self, links: &Links, unconnected: bool) {
        self.forget(links);
        self.push(Item::Close);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for request in waiting.into_values() {
            let sent = request.sent && !unconnected;
            let _ = request.reply.send(Incoming::Reply(Err(lost(sent))));
        }
    }
}

fn lost(sent: bool) -> Refusal {
    if sent {
        let detail = "the connection to the owner's node was lost";
        return Refusal::new(Reason::ConnectionLost, detail);
    }
    let detail = "no connection to the owner's node could be made";
    Refusal::new(Reason::ConnectFailed, detail)
}
