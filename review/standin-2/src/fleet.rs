//! A small deployment: nodes as processes, each beside a server.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, call_once};
use crate::record::Record;
use crate::server::lock;

/// Time limit for a node to be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Grace period of a stop (`grace_s`).
const GRACE: Duration = Duration::from_secs(6);

/// A machine: its addresses, and the node's process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub server: SocketAddr,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Child>>,
    log: PathBuf,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    program: PathBuf,
    record: Arc<Record>,
    folder: PathBuf,
}

/// What the deployment's settings say.
pub struct Terms {
    pub beat_ms: u64,
    pub drain_ms: u64,
    pub evacuate_ms: u64,
    pub config_ms: u64,
}

impl Fleet {
    /// Prepares a machine for each name of a service. The first machine is in
    /// the first zone, and so on.
    pub fn new(
        program: &Path,
        store: SocketAddr,
        services: &[&str],
        zones: &[&str],
        terms: &Terms,
        record: &Arc<Record>,
    ) -> Self {
        let folder = folder();
        fs::create_dir_all(&folder).unwrap_or_else(|_| give_up("no folder"));
        let ips: Vec<Ipv4Addr> = (0..services.len())
            .map(|index| Ipv4Addr::new(127, 0, 0, 31 + index as u8))
            .collect();
        let gossip = gossip_port(&ips);
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = ips[index];
            let zone = zones[index % zones.len()];
            let name = format!("sidecar-{zone}-{}", index / zones.len() + 1);
            let ports = free_ports(ip, 6);
            let addr = |i: usize| SocketAddr::new(IpAddr::V4(ip), ports[i]);
            let text = format!(
                "{{\n\"node\": \"{name}\", \"ip\": \"{ip}\", \"domain\": \
                 \"{zone}\", \"service\": \"{service}\",\n\"upstream\": \
                 \"{}\", \"callers\": \"{}\", \"peers\": \"{}\",\n\"health\": \
                 \"{}\", \"announcements\": \"{}\",\n\"gossip\": {gossip}, \
                 \"metrics\": {}, \"store\": \"{store}\",\n\"grants\": \
                 \"heartbeat\",\n\"bounds\": {{\"stop_s\": 6, \"hold_ms\": \
                 10000, \"retry_slack\": 60, \"retry_share\": 0.2, \
                 \"drain_ms\": {}, \"evacuate_ms\": {}, \"config_ms\": {}, \
                 \"announce_ms\": {}}}\n}}\n",
                addr(0),
                addr(1),
                addr(2),
                addr(3),
                addr(4),
                ports[5],
                terms.drain_ms,
                terms.evacuate_ms,
                terms.config_ms,
                terms.beat_ms
            );
            let settings = folder.join(format!("{name}.jsonc"));
            fs::write(&settings, text)
                .unwrap_or_else(|_| give_up("no settings"));
            machines.push(Machine {
                log: folder.join(format!("{name}.log")),
                name,
                zone: zone.to_owned(),
                service: (*service).to_owned(),
                server: addr(0),
                callers: addr(1),
                ready: addr(3),
                control: addr(4),
                settings,
                process: Mutex::new(None),
            });
        }
        let record = Arc::clone(record);
        Self { machines, program: program.to_owned(), record, folder }
    }

    /// Starts a node, with the command of the deploy file.
    pub fn start(&self, index: usize) {
        let machine = &self.machines[index];
        let log =
            fs::OpenOptions::new().create(true).append(true).open(&machine.log);
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let child = Command::new(&self.program)
            .arg("--fleet")
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|_| give_up("the node won't start"));
        lock(&RUNNING).push(child.id());
        self.record.line(&format!("the node of {} starts", machine.name));
        *lock(&machine.process) = Some(child);
    }

    /// Sends SIGTERM to a node, and waits until it has ended; SIGKILL after
    /// the grace period.
    pub fn stop(&self, index: usize) {
        let machine = &self.machines[index];
        let mut process = lock(&machine.process);
        let Some(child) = process.as_mut() else { return };
        self.record.show(&format!("SIGTERM to the node of {}", machine.name));
        let pid = child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let end = Instant::now() + GRACE;
        while !matches!(child.try_wait(), Ok(Some(_))) {
            if Instant::now() > end {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
        ended(child);
        *process = None;
        self.record.show(&format!("the node of {} has ended", machine.name));
    }

    /// Kills a node (SIGKILL).
    pub fn kill(&self, index: usize) {
        let machine = &self.machines[index];
        if let Some(mut child) = lock(&machine.process).take() {
            let _ = child.kill();
            let _ = child.wait();
            ended(&child);
            let name = &machine.name;
            self.record.show(&format!("SIGKILL to the node of {name}"));
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let addr = self.machines[index].ready;
        let request = Message {
            line: "GET /api/readyz HTTP/1.1".to_owned(),
            headers: vec![("Host".to_owned(), addr.to_string())],
            body: Vec::new(),
        };
        call_once(addr, Duration::from_secs(1), &request)
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + READY_LIMIT;
        for index in 0..self.machines.len() {
            while !self.is_ready(index) {
                if Instant::now() > end {
                    give_up("a node is not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends all processes; keeps the nodes' logs if KEEP is set.
    pub fn end(&self) {
        for machine in &self.machines {
            if let Some(mut child) = lock(&machine.process).take() {
                let _ = child.kill();
                let _ = child.wait();
                ended(&child);
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// The nodes that run, for [`give_up`].
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and all its processes.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    for pid in lock(&RUNNING).iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    let _ = fs::remove_dir_all(folder());
    std::process::exit(2)
}

/// Ends the case if it takes longer than it may.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        give_up("it takes too long");
    });
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

fn ended(child: &Child) {
    lock(&RUNNING).retain(|pid| *pid != child.id());
}

fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    // All are bound at once, so that they differ.
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)))
        .map(|l| l.unwrap_or_else(|_| give_up("no free port")))
        .collect();
    let port = |l: &TcpListener| l.local_addr().map_or(0, |a| a.port());
    bound.iter().map(port).collect()
}

/// A UDP port that is free on all addresses.
fn gossip_port(ips: &[Ipv4Addr]) -> u16 {
    for _ in 0..100 {
        let Ok(first) = UdpSocket::bind((ips[0], 0)) else { continue };
        let Ok(addr) = first.local_addr() else { continue };
        let port = addr.port();
        if ips[1..].iter().all(|ip| UdpSocket::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
    give_up("no free port")
}
