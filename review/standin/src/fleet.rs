//! A small deployment on loopback addresses: the store, nodes started with the
//! command of the deploy file, and their servers.

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_platform_standin::store::Store;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::process::{Process, free_port};
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};
use serde_json::{Value, json};

use crate::record::Record;
use crate::server::{BEAT_MS, Options, Runs, Server};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/lagoondyked";

const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time allowed until a new deployment serves all its routes.
const READY_TIMEOUT_MS: u64 = 20_000;

const ZONES: [&str; 4] = ["kalamaria", "ladadika", "toumba", "evosmos"];

/// What the servers of a deployment have in common.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub slots: usize,
    pub work_ms: u64,
    pub idempotent_ms: u64,
    pub warmup_per_s: f64,
    /// Whether servers get bodies of over 8 MB.
    pub large: bool,
}

/// The coal utility's, as for `weekly-reserve` and `permit-lookup`.
pub const COAL: Sheet = Sheet {
    slots: 12,
    work_ms: 220,
    idempotent_ms: 55,
    warmup_per_s: 13.0,
    large: false,
};

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";

/// A machine: a node and the server beside it.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub settings: PathBuf,
    pub process: RefCell<Option<Process>>,
    pub server: RefCell<Rc<Server>>,
}

/// A running deployment.
pub struct Deployment {
    /// Serves as long as it is kept.
    _store: Rc<Store>,
    pub machines: Vec<Machine>,
    pub runs: Runs,
    pub record: Rc<Record>,
}

impl Deployment {
    /// Starts `services.len()` machines; each entry names the service of one,
    /// which is divided by key if its name begins with `k`.
    pub fn start(
        services: &[&str],
        sheet: Sheet,
        config: Value,
        folder: &Path,
        record: &Rc<Record>,
    ) -> io::Result<Self> {
        let (store, store_addr) = Store::start()?;
        store.put("config", "main", config);
        let runs = Runs::default();
        let ips: Vec<Ipv4Addr> = (0..services.len())
            .map(|index| Ipv4Addr::new(127, 0, 0, 2 + index as u8))
            .collect();
        let gossip = free_port(&ips)?;
        let mut machines = Vec::new();
        for (index, &service) in services.iter().enumerate() {
            let ip = ips[index];
            let addr = || -> io::Result<SocketAddr> {
                Ok((ip, free_port(&[ip])?).into())
            };
            let zone = ZONES[index % ZONES.len()];
            let name = format!("sidecar-{zone}-{}", 1 + index / ZONES.len());
            let (app, callers, peers) = (addr()?, addr()?, addr()?);
            let (ready, control) = (addr()?, addr()?);
            let text = json!({
                "node": name, "ip": ip.to_string(), "domain": zone,
                "service": service, "upstream": app.to_string(),
                "callers": callers.to_string(), "peers": peers.to_string(),
                "health": ready.to_string(),
                "announcements": control.to_string(),
                "gossip": gossip, "metrics": free_port(&[ip])?,
                "store": store_addr.to_string(), "grants": "heartbeat",
                "bounds": {"stop_s": 6, "hold_ms": 10_000, "retry_slack": 56,
                    "retry_share": 0.2, "drain_ms": 2_000,
                    "evacuate_ms": 5_000, "config_ms": 2_000,
                    "announce_ms": BEAT_MS},
            });
            let settings = folder.join(format!("{name}.jsonc"));
            std::fs::write(&settings, text.to_string())?;
            let options = Options {
                id: format!("i-{index}a"),
                service: service.to_owned(),
                zone: zone.to_owned(),
                addr: app,
                node: control,
                keyed: service.starts_with('k'),
                large: sheet.large,
                slots: sheet.slots,
                work_ms: sheet.work_ms,
                idempotent_ms: sheet.idempotent_ms,
            };
            let server = Server::start(options, &runs, record)?;
            let (process, server) = (RefCell::default(), RefCell::new(server));
            let machine =
                Machine { name, callers, control, settings, process, server };
            machine.start_node()?;
            machines.push(machine);
        }
        let record = Rc::clone(record);
        Ok(Self { _store: store, machines, runs, record })
    }

    /// Waits until each machine serves each of `paths`; false if it does not.
    pub async fn until_served(&self, paths: &[&str]) -> bool {
        let end = monotonic_ms() + READY_TIMEOUT_MS;
        for (index, machine) in self.machines.iter().enumerate() {
            for path in paths {
                let mut tries = 0;
                loop {
                    tries += 1;
                    let id = format!("warm{index}x{tries}{}", path.len());
                    let headers = headers(&id, "3000", "30000");
                    let call = call_once(
                        machine.callers,
                        Method::GET,
                        path,
                        &headers,
                        "",
                        3_000,
                    );
                    if call.await.is_ok_and(|reply| reply.ok()) {
                        break;
                    }
                    if monotonic_ms() > end {
                        return false;
                    }
                    sleep_ms(100).await;
                }
            }
        }
        true
    }
}

impl Machine {
    /// Kills its node's process.
    pub fn kill_node(&self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
        }
    }

    /// Starts its node with the command of the deploy file.
    pub fn start_node(&self) -> io::Result<()> {
        let args = [Path::new("--fleet"), &self.settings];
        let program = Path::new(PROGRAM);
        let process =
            Process::start(program, args, self.callers, START_TIMEOUT)?;
        self.process.replace(Some(process));
        Ok(())
    }
}

/// Headers of a client's request.
pub fn headers<'a>(
    id: &'a str,
    deadline: &'a str,
    key: &'a str,
) -> [(&'a str, &'a str); 4] {
    [
        ("host", HOST),
        ("request-id", id),
        ("deadline-ms", deadline),
        ("shard-key", key),
    ]
}

/// A configuration with an idempotent route `/NAMEi/` and one that is not,
/// `/NAME/`, to each service.
pub fn configuration(version: u64, services: &[&str], sheet: Sheet) -> Value {
    let entry = |name: &&str| {
        json!({"name": name, "health_path": "/healthz",
            "max_connections": 110, "protocol": "h1", "tls": false,
            "warmup_s": 3.0, "warmup_per_s": sheet.warmup_per_s,
            "sharded": name.starts_with('k'), "warm_s": 5.0,
            "grants": "heartbeat"})
    };
    let mut routes = Vec::new();
    for name in services {
        for (suffix, kind) in [("", "non_idempotent"), ("i", "idempotent")] {
            let prefix = format!("/{name}{suffix}/");
            routes.push(json!({"name": format!("r-{name}{suffix}"),
                "path_prefix": prefix, "route_type": kind,
                "timeout_ms": 2_000, "target_latency_ms": 800,
                "priority": 1, "service": name, "attempts": 2}));
        }
    }
    let services: Vec<Value> = services.iter().map(entry).collect();
    json!({"version": format!("r{version}"), "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "virtual_hosts": [{"host": HOST, "paths": routes}]})
}
