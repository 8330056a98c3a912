//! Connections from other nodes, as the receiver of requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use lagoondyke_core::event::Source;
use lagoondyke_core::id::Ticket;
use lagoondyke_core::peer::{Frame, FrameError, RequestFrame, encode};
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::tcp::{TcpListener, TcpOwnedWriteHalf, TcpStream};

use crate::frames::{FrameReader, answer_frame, call_of, user_timeout};
use crate::message::Reply;
use crate::run::accept;
use crate::serve::Limits;
use crate::shell::Shell;

/// Bytes that are gathered for one write.
const BATCH: usize = 64 * 1024;

/// Connections beyond those whose requests are taken. On these, requests are
/// refused, so that the peer learns that they have not run; further ones are
/// closed.
const REFUSING_MAX: usize = 64;

/// A connection from a peer.
struct Session {
    shell: Shell,
    /// Requests that may be without an answer at a time.
    pending: usize,
    queue: Tx<Option<Vec<u8>>>,
    live: RefCell<HashMap<u64, Ticket>>,
}

/// Serves connections from peers until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell, limits: Limits) {
    let shell = shell.clone();
    let open = Rc::new(Cell::new(0_usize));
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let before = open.get();
            if before >= limits.peers + REFUSING_MAX {
                continue;
            }
            let full = before >= limits.peers;
            let pending = if full { 0 } else { limits.pending };
            let (shell, open) = (shell.clone(), Rc::clone(&open));
            open.set(before + 1);
            monoio::spawn(async move {
                serve(stream, shell, pending).await;
                open.set(open.get() - 1);
            });
        }
    });
}

async fn serve(stream: TcpStream, shell: Shell, pending: usize) {
    let _ = stream.set_nodelay(true);
    user_timeout(&stream);
    let (read, write) = stream.into_split();
    let (queue, due) = unbounded::channel();
    let live = RefCell::default();
    let session = Rc::new(Session { shell, pending, queue, live });
    let writer = session.shell.clone();
    monoio::spawn(async move { send(due, write, &writer).await });
    let mut reader = FrameReader::new(read);
    let result = loop {
        match reader.next().await {
            Ok(Some((frame, body))) => match session.receive(frame, body) {
                Ok(()) => {}
                Err(error) => break Err(error),
            },
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    if let Err(error) = result {
        session.shell.malformed("peer", &error);
    }
    session.close();
}

async fn send(
    mut due: Rx<Option<Vec<u8>>>,
    mut stream: TcpOwnedWriteHalf,
    shell: &Shell,
) {
    let mut batch = BytesMut::new();
    while let Some(Some(bytes)) = due.recv().await {
        batch.extend_from_slice(&bytes);
        let mut open = true;
        while batch.len() < BATCH
            && let Ok(next) = due.try_recv()
        {
            match next {
                Some(bytes) => batch.extend_from_slice(&bytes),
                None => open = false,
            }
        }
        let size = batch.len();
        let (result, back) = stream.write_all(batch).await;
        shell.written(size);
        batch = back;
        batch.clear();
        if result.is_err() || !open {
            break;
        }
    }
    // What is still queued will not be written; `written` keeps the count.
    while let Ok(Some(bytes)) = due.try_recv() {
        shell.written(bytes.len());
    }
    let _ = stream.shutdown().await;
}

impl Session {
    fn receive(
        self: &Rc<Self>,
        frame: Frame,
        body: Bytes,
    ) -> Result<(), FrameError> {
        match frame {
            Frame::Request(request) => self.request(request, body)?,
            Frame::Cancel { id } => {
                let ticket = self.live.borrow_mut().remove(&id);
                if let Some(ticket) = ticket {
                    self.shell.cancel(ticket);
                }
            }
            Frame::FetchConfig { id, operator } => {
                let own = operator == self.shell.settings().operator;
                let (version, text) = self.shell.document();
                let version = if own { version } else { 0 };
                let text = if own { text } else { Vec::new() };
                self.push(&Frame::Config { id, version }, &text);
            }
            Frame::Ping { id } => self.push(&Frame::Pong { id }, b""),
            // The asking side of a connection receives no answers on it.
            _ => return Err(FrameError::Malformed),
        }
        Ok(())
    }

    fn request(
        self: &Rc<Self>,
        frame: RequestFrame,
        body: Bytes,
    ) -> Result<(), FrameError> {
        let id = frame.id;
        if self.live.borrow().contains_key(&id) {
            return Err(FrameError::Malformed);
        }
        if self.live.borrow().len() >= self.pending {
            let detail = "the node has too many requests of peers";
            let refusal = Refusal::new(Reason::Overloaded, detail);
            self.push(&Frame::Refused { id, refusal }, b"");
            return Ok(());
        }
        let call = match call_of(frame, body) {
            Ok(call) => call,
            Err(error) => {
                // The frame itself is whole, so the connection stays.
                self.shell.malformed("peer", &error);
                let detail = "the forwarded request is malformed";
                let refusal = Refusal::new(Reason::BadRequest, detail);
                self.push(&Frame::Refused { id, refusal }, b"");
                return Ok(());
            }
        };
        let session = Rc::clone(self);
        // The reply can arrive before `submit` returns, so the ticket is
        // noted only if the request is still live then.
        let ended = Rc::new(Cell::new(false));
        let flag = Rc::clone(&ended);
        let done = Box::new(move |reply: Reply| {
            flag.set(true);
            session.reply(id, reply);
        });
        let ticket = self.shell.submit(call, Source::Peer, done);
        if !ended.get() {
            self.live.borrow_mut().insert(id, ticket);
        }
        Ok(())
    }

    fn reply(&self, id: u64, reply: Reply) {
        self.live.borrow_mut().remove(&id);
        match reply {
            Ok(answer) => self.push(&answer_frame(id, &answer), &answer.body),
            Err(refusal) => self.push(&Frame::Refused { id, refusal }, b""),
        }
    }

    fn push(&self, frame: &Frame, body: &[u8]) {
        let bytes = encode(frame, body).or_else(|error| {
            let id = match frame {
                Frame::Answer(answer) => answer.id,
                _ => return Err(error),
            };
            let refusal = Refusal::new(Reason::AnswerCut, error.to_string());
            encode(&Frame::Refused { id, refusal }, b"")
        });
        let Ok(bytes) = bytes else { return };
        let size = bytes.len();
        if self.queue.send(Some(bytes)).is_ok() {
            self.shell.queued(size);
        }
    }

    /// Cancels what the peer still waits for.
    fn close(&self) {
        let live = std::mem::take(&mut *self.live.borrow_mut());
        for ticket in live.into_values() {
            self.shell.cancel(ticket);
        }
        let _ = self.queue.send(None);
    }
}
