//! Connections to other nodes, as the sender of requests.
//!
//! One multiplexed connection per peer carries requests and their answers
//! in any order. Frames that are due are written together. A connection
//! that is lost fails the requests on it: those not written yet as not run,
//! the others as possibly run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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
use monoio::net::tcp::TcpOwnedWriteHalf;
use monoio::time::timeout;

use crate::clock;
use crate::frames::{FrameReader, answer_of, request_frame, user_timeout};
use crate::message::Reply;
use crate::ports::{Forward, Local, Peers};

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time for a peer to answer a question for a document.
const FETCH_LIMIT: Duration = Duration::from_secs(2);

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

type Links = Rc<RefCell<HashMap<NodeAddr, Rc<Link>>>>;

/// A connection to one peer.
struct Link {
    to: NodeAddr,
    name: Rc<str>,
    queue: Tx<Item>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    next: Cell<u64>,
    size: Cell<usize>,
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
        let links = self.links.borrow();
        links.values().map(|link| link.size.get()).sum()
    }

    fn link(&self, to: NodeAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to) {
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
        });
        links.insert(to, Rc::clone(&link));
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
        let (read, write) = stream.into_split();
        let writer = Rc::clone(self);
        let shared = Rc::clone(links);
        monoio::spawn(async move { writer.write(due, write, &shared).await });
        let mut reader = FrameReader::new(read);
        while let Ok(Some((frame, body))) = reader.next().await {
            self.receive(frame, body);
        }
        Ok(())
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
            // A peer asks its questions on a connection of its own.
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
        let mut links = links.borrow_mut();
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
