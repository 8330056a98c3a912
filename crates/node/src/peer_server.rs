//! Connections from other nodes, on the side that receives requests.

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

use crate::frames::{FrameReader, answer_frame, call_of, set_user_timeout};
use crate::message::Reply;
use crate::run::accept;
use crate::serve::Limits;
use crate::shell::Shell;

/// Size at which no further queued frames are added to a batch.
const FULL_BATCH_BYTES: usize = 64 * 1024;

/// Number of connections that are accepted beyond
/// [`Limits::peer_connections`]. Their requests are refused, so that the peer
/// learns that they have not run. Connections beyond these are closed.
const MAX_REFUSING_COUNT: usize = 64;

/// A connection from a peer.
struct Session {
    shell: Shell,
    /// Largest number of requests in progress at a time.
    max_requests: usize,
    /// Encoded frames for the writer; `None` closes the connection.
    queue: Tx<Option<Vec<u8>>>,
    /// Requests in progress, by the id of their frame.
    requests: RefCell<HashMap<u64, Ticket>>,
}

/// Serves connections from peers until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell, limits: Limits) {
    let shell = shell.clone();
    let open = Rc::new(Cell::new(0_usize));
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let before = open.get();
            if before >= limits.peer_connections + MAX_REFUSING_COUNT {
                continue;
            }
            let full = before >= limits.peer_connections;
            let max_requests = if full { 0 } else { limits.peer_requests };
            let (shell, open) = (shell.clone(), Rc::clone(&open));
            open.set(before + 1);
            monoio::spawn(async move {
                serve(stream, shell, max_requests).await;
                open.set(open.get() - 1);
            });
        }
    });
}

async fn serve(stream: TcpStream, shell: Shell, max_requests: usize) {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream);
    let (read, write) = stream.into_split();
    let (queue, queued) = unbounded::channel();
    let requests = RefCell::default();
    let session = Rc::new(Session { shell, max_requests, queue, requests });
    let writer = session.shell.clone();
    monoio::spawn(async move { write_frames(queued, write, &writer).await });
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
        session.shell.report_malformed("peer", &error);
    }
    session.close();
}

/// Writes queued frames until the session ends or the connection fails.
async fn write_frames(
    mut queued: Rx<Option<Vec<u8>>>,
    mut stream: TcpOwnedWriteHalf,
    shell: &Shell,
) {
    let mut batch = BytesMut::new();
    while let Some(Some(bytes)) = queued.recv().await {
        batch.extend_from_slice(&bytes);
        let mut open = true;
        while batch.len() < FULL_BATCH_BYTES
            && let Ok(next) = queued.try_recv()
        {
            match next {
                Some(bytes) => batch.extend_from_slice(&bytes),
                None => open = false,
            }
        }
        let size = batch.len();
        let (result, back) = stream.write_all(batch).await;
        shell.remove_unwritten(size);
        batch = back;
        batch.clear();
        if result.is_err() || !open {
            break;
        }
    }
    // Frames that are still queued will not be written. The shell must not
    // wait for them when the node stops.
    while let Ok(Some(bytes)) = queued.try_recv() {
        shell.remove_unwritten(bytes.len());
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
                let ticket = self.requests.borrow_mut().remove(&id);
                if let Some(ticket) = ticket {
                    self.shell.cancel(ticket);
                }
            }
            Frame::FetchConfig { id, operator } => {
                let own = operator == self.shell.settings().operator;
                let (version, text) = self.shell.config_document();
                let version = if own { version } else { 0 };
                let text = if own { text } else { Vec::new() };
                self.push(&Frame::Config { id, version }, &text);
            }
            Frame::Ping { id } => self.push(&Frame::Pong { id }, b""),
            // Only the side that opened a connection receives answers on it.
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
        if self.requests.borrow().contains_key(&id) {
            return Err(FrameError::Malformed);
        }
        if self.requests.borrow().len() >= self.max_requests {
            let detail = "the node has too many requests of peers";
            let refusal = Refusal::new(Reason::Overloaded, detail);
            self.push(&Frame::Refused { id, refusal }, b"");
            return Ok(());
        }
        let call = match call_of(frame, body) {
            Ok(call) => call,
            Err(error) => {
                // The frame could be decoded, so the start of the next one is
                // known and the connection can stay open.
                self.shell.report_malformed("peer", &error);
                let detail = "the forwarded request is malformed";
                let refusal = Refusal::new(Reason::BadRequest, detail);
                self.push(&Frame::Refused { id, refusal }, b"");
                return Ok(());
            }
        };
        let session = Rc::clone(self);
        // The reply can arrive before `submit` returns. The ticket is kept
        // only if the request is still in progress then.
        let ended = Rc::new(Cell::new(false));
        let ended_flag = Rc::clone(&ended);
        let on_reply = Box::new(move |reply: Reply| {
            ended_flag.set(true);
            session.reply(id, reply);
        });
        let ticket = self.shell.submit(call, Source::Peer, on_reply);
        if !ended.get() {
            self.requests.borrow_mut().insert(id, ticket);
        }
        Ok(())
    }

    fn reply(&self, id: u64, reply: Reply) {
        self.requests.borrow_mut().remove(&id);
        match reply {
            Ok(answer) => self.push(&answer_frame(id, &answer), &answer.body),
            Err(refusal) => self.push(&Frame::Refused { id, refusal }, b""),
        }
    }

    /// Queues a frame. An answer too large for a frame is replaced by a
    /// refusal.
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
            self.shell.add_unwritten(size);
        }
    }

    /// Cancels the requests in progress and ends the writer.
    fn close(&self) {
        let requests = std::mem::take(&mut *self.requests.borrow_mut());
        for ticket in requests.into_values() {
            self.shell.cancel(ticket);
        }
        let _ = self.queue.send(None);
    }
}
