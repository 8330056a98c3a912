//! Gossip datagrams over UDP.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use lagoondyke_core::fleet::event::Event;
use lagoondyke_core::fleet::gossip::{Gossip, MAX_GOSSIP_BYTES};
use local_sync::mpsc::unbounded::{self, Tx};
use monoio::net::udp::UdpSocket;

use crate::fleet::shell::Shell;

/// Largest number of datagrams in the send queue. Further ones are dropped,
/// since the next round sends the state again.
const MAX_SEND_QUEUE_COUNT: usize = 1_024;

/// The UDP socket for gossip, with its send queue. Clones share both.
#[derive(Clone)]
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    queue: Tx<(SocketAddr, Bytes)>,
    queued: Rc<Cell<usize>>,
}

impl fmt::Debug for GossipSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GossipSocket")
    }
}

impl GossipSocket {
    /// Wraps `socket` and starts the task that sends queued datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the driver.
    pub fn new(socket: std::net::UdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let (queue, mut outgoing) =
            unbounded::channel::<(SocketAddr, Bytes)>();
        let queued = Rc::new(Cell::new(0_usize));
        let (sender, pending) = (Rc::clone(&socket), Rc::clone(&queued));
        monoio::spawn(async move {
            while let Some((to, bytes)) = outgoing.recv().await {
                pending.set(pending.get().saturating_sub(1));
                // A failure is ignored: the next datagram repeats the state.
                let _ = sender.send_to(bytes, to).await;
            }
        });
        Ok(Self { socket, queue, queued })
    }

    /// Starts to pass received datagrams to `shell`, until the process ends.
    pub fn listen(&self, shell: &Shell) {
        let socket = Rc::clone(&self.socket);
        let shell = shell.clone();
        monoio::spawn(async move {
            let mut buf = vec![0; MAX_GOSSIP_BYTES + 1];
            loop {
                let (result, returned) = socket.recv_from(buf).await;
                buf = returned;
                // Errors here are ICMP errors of earlier sends.
                let Ok((size, from)) = result else { continue };
                let Some(gossip) = Gossip::decode(&buf[..size]) else {
                    let error = "not a gossip datagram";
                    shell.notice_log().malformed("gossip", &error);
                    continue;
                };
                let gossip = Box::new(gossip);
                shell.post(Event::Gossip { from, gossip });
            }
        });
    }

    /// Queues a datagram for each of the addresses. Datagrams beyond the
    /// queue's capacity are dropped.
    pub fn send(&self, to: Vec<SocketAddr>, gossip: &Gossip) {
        let Ok(bytes) = gossip.encode() else { return };
        let bytes = Bytes::from(bytes);
        for addr in to {
            if self.queued.get() >= MAX_SEND_QUEUE_COUNT {
                return;
            }
            self.queued.set(self.queued.get() + 1);
            let _ = self.queue.send((addr, bytes.clone()));
        }
    }
}
