//! Sends and receives control datagrams over UDP.

use std::fmt;
use std::io;
use std::rc::Rc;

use lagoondyke_core::control::{Control as Message, MAX_DATAGRAM_BYTES};
use lagoondyke_core::event::Event;
use lagoondyke_core::id::NodeAddr;
use local_sync::mpsc::unbounded::{self, Tx};
use monoio::net::udp::UdpSocket;

use crate::metrics::Metrics;
use crate::ports::Control;
use crate::shell::Shell;

/// The node's UDP socket for control datagrams.
pub struct UdpControl {
    socket: Rc<UdpSocket>,
    queue: Tx<(NodeAddr, Vec<u8>)>,
    metrics: Rc<Metrics>,
}

impl fmt::Debug for UdpControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UdpControl")
            .field("socket", &self.socket)
            .finish_non_exhaustive()
    }
}

impl UdpControl {
    /// Takes over `socket` and starts a task that sends queued datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the driver.
    pub fn new(
        socket: std::net::UdpSocket,
        metrics: Rc<Metrics>,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let (queue, mut queued) = unbounded::channel::<(NodeAddr, Vec<u8>)>();
        let sender = Rc::clone(&socket);
        monoio::spawn(async move {
            while let Some((to, bytes)) = queued.recv().await {
                // The protocol repeats datagrams that get lost.
                let _ = sender.send_to(bytes, to.0).await;
            }
        });
        Ok(Self { socket, queue, metrics })
    }

    /// Passes arriving datagrams to `shell` until the process ends.
    pub fn listen(&self, shell: &Shell) {
        let socket = Rc::clone(&self.socket);
        let shell = shell.clone();
        monoio::spawn(async move {
            // One byte above the limit, so that an oversized datagram is
            // recognised instead of being truncated to a valid length.
            let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
            loop {
                let (result, back) = socket.recv_from(buf).await;
                buf = back;
                // The ICMP error of an earlier send is reported here; the
                // socket can still receive.
                let Ok((size, from)) = result else { continue };
                receive(&shell, NodeAddr(from), &buf[..size]);
            }
        });
    }
}

fn receive(shell: &Shell, from: NodeAddr, bytes: &[u8]) {
    shell.metrics().control_received(bytes.len());
    match Message::decode(bytes) {
        Ok(message) => shell.post(Event::Datagram { from, message }),
        Err(error) => shell.report_malformed("control", &error),
    }
}

impl Control for UdpControl {
    fn send(&self, to: NodeAddr, message: &Message) {
        let Ok(bytes) = message.encode() else { return };
        self.metrics.control_sent(bytes.len());
        let _ = self.queue.send((to, bytes));
    }
}
