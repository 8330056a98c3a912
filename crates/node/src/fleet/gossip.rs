//! Gossip datagrams over UDP.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use lagoondyke_core::fleet::event::Event;
use lagoondyke_core::fleet::gossip::{DATAGRAM_MAX_BYTES, Gossip};
use local_sync::mpsc::unbounded::{self, Tx};
use monoio::net::udp::UdpSocket;

use crate::fleet::shell::Shell;

/// Datagrams that may wait to be sent; further ones are dropped, since the
/// next round repeats them.
const WAITING_MAX: usize = 1_024;

/// The node's socket for gossip.
#[derive(Clone)]
pub struct Gossiper {
    socket: Rc<UdpSocket>,
    queue: Tx<(SocketAddr, Bytes)>,
    waiting: Rc<Cell<usize>>,
}

impl fmt::Debug for Gossiper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Gossiper")
    }
}

impl Gossiper {
    /// Sends through `socket`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the driver.
    pub fn new(socket: std::net::UdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let (queue, mut due) = unbounded::channel::<(SocketAddr, Bytes)>();
        let waiting = Rc::new(Cell::new(0_usize));
        let (sender, left) = (Rc::clone(&socket), Rc::clone(&waiting));
        monoio::spawn(async move {
            while let Some((to, bytes)) = due.recv().await {
                left.set(left.get().saturating_sub(1));
                // A lost datagram is followed by the next one.
                let _ = sender.send_to(bytes, to).await;
            }
        });
        Ok(Self { socket, queue, waiting })
    }

    /// Passes arriving datagrams to `shell` until the process ends.
    pub fn listen(&self, shell: &Shell) {
        let socket = Rc::clone(&self.socket);
        let shell = shell.clone();
        monoio::spawn(async move {
            let mut buf = vec![0; DATAGRAM_MAX_BYTES + 1];
            loop {
                let (result, back) = socket.recv_from(buf).await;
                buf = back;
                // An ICMP error of an earlier send is reported here.
                let Ok((size, from)) = result else { continue };
                let Some(gossip) = Gossip::decode(&buf[..size]) else {
                    let error = "not a datagram of a node";
                    shell.notices().malformed("gossip", &error);
                    continue;
                };
                let gossip = Box::new(gossip);
                shell.post(Event::Gossip { from, gossip });
            }
        });
    }

    /// Sends a datagram to some nodes.
    pub fn send(&self, to: Vec<SocketAddr>, gossip: &Gossip) {
        let Ok(bytes) = gossip.encode() else { return };
        let bytes = Bytes::from(bytes);
        for addr in to {
            if self.waiting.get() >= WAITING_MAX {
                return;
            }
            self.waiting.set(self.waiting.get() + 1);
            let _ = self.queue.send((addr, bytes.clone()));
        }
    }
}
