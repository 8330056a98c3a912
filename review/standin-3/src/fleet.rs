//! Node processes of a small deployment, each on a loopback address of its own,
//! started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::record::{Record, sleep};

/// The program that the deploy file runs.
const PROGRAM: &str = "target/release/lagoondyked";

pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    record: Record,
}

fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 11 + index as u8)
}

/// A UDP port that is free on the addresses of this many nodes.
pub fn gossip_port(count: usize) -> u16 {
    loop {
        let Ok(first) = UdpSocket::bind((ip(0), 0)) else { continue };
        let Ok(addr) = first.local_addr() else { continue };
        let port = addr.port();
        if (1..count).all(|i| UdpSocket::bind((ip(i), port)).is_ok()) {
            return port;
        }
    }
}

fn free_addr(index: usize) -> SocketAddr {
    let listener = TcpListener::bind((ip(index), 0)).unwrap();
    listener.local_addr().unwrap()
}

impl Node {
    /// Writes the settings of a node, in the format of the deploy file's
    /// template and with the bounds of a small deployment.
    pub fn new(
        index: usize,
        (service, zone): (&str, &str),
        gossip: u16,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let name = format!("sidecar-{zone}-{}", index + 1);
        let addrs: Vec<SocketAddr> =
            (0..6).map(|_| free_addr(index)).collect();
        let settings = folder.join(format!("{name}.jsonc"));
        let text = format!(
            "{{\"node\":\"{name}\",\"ip\":\"{}\",\"domain\":\"{zone}\",\
             \"service\":\"{service}\",\"upstream\":\"{}\",\
             \"callers\":\"{}\",\"peers\":\"{}\",\"health\":\"{}\",\
             \"announcements\":\"{}\",\"gossip\":{gossip},\"metrics\":{},\
             \"store\":\"{store}\",\"grants\":\"heartbeat\",\
             \"bounds\":{{\"stop_s\":6,\"hold_ms\":10000,\
             \"retry_slack\":60,\"retry_share\":0.2,\"drain_ms\":2000,\
             \"evacuate_ms\":5000,\"config_ms\":2000,\
             \"announce_ms\":1500}}}}",
            ip(index),
            addrs[0],
            addrs[1],
            addrs[2],
            addrs[3],
            addrs[4],
            addrs[5].port()
        );
        std::fs::write(&settings, text).unwrap();
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            app: addrs[0],
            outbound: addrs[1],
            control: addrs[4],
            settings,
            process: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let open = File::options().create(true).append(true).open(&self.log);
        let log = open.unwrap();
        let process = Command::new(PROGRAM)
            .arg("--fleet")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.process = Some(process.expect("the node's program starts"));
        self.record.line(format!("node {} is started", self.name));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format!("node {} is killed", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    /// Waits until the address for beats accepts connections.
    pub fn wait_listening(&self) {
        for _ in 0..5_000 {
            if std::net::TcpStream::connect(self.control).is_ok() {
                return;
            }
            sleep(1);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
