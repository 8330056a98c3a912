//! A cluster for one experiment: the object store, the upstreams and the
//! nodes, each a process of its own on loopback.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use http::Method;
use lagoondyke_core::config::{Config, Domain, Service};
use lagoondyke_core::id::NodeAddr;
use lagoondyke_core::settings::{
    LogLevel, LogSettings, Settings, UpstreamSettings,
};
use lagoondyke_core::status::Status;
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::{CallError, call_once};
use lagoondyke_standin::process::{Process, free_addr};
use lagoondyke_standin::server::Reply;
use lagoondyke_standin::store::Counts;
use lagoondyke_standin::time::monotonic_ms;
use lagoondyke_standin::upstream::{Load, read_record};
use serde::de::DeserializeOwned;

use crate::check::Record;
use crate::load::{Sample, key_name};

/// Time within which a started program must accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a new cluster must serve every probe key through every
/// node.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time-out of a call that the experiment itself makes, as opposed to the
/// load.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Keys requested through each node to find out whether a cluster serves.
const PROBE_KEY_COUNT: u32 = 32;

/// The service under test and the sizes of its upstreams. The sizes of the
/// named plans are those of section 1.1.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Operator in whose name the configuration is stored.
    pub operator: &'static str,
    /// Service that the load names in its requests.
    pub service: &'static str,
    /// Whether each key is owned by one upstream at a time.
    pub keyed: bool,
    /// Whether upstreams refuse requests without a granted fence.
    pub fenced: bool,
    /// The failure domain of each upstream; its length is the number of
    /// upstreams and of nodes.
    pub domains: Vec<&'static str>,
    /// Requests that each upstream runs at once.
    pub slots: u16,
    /// Connections that each upstream accepts at once.
    pub connections: u16,
    /// Mean time in milliseconds for which a request takes a slot.
    pub service_ms: u64,
    /// Further command-line arguments of each upstream.
    pub extra: Vec<String>,
    /// Share of the capacity agreed with each partner.
    pub partners: BTreeMap<String, u32>,
    /// Whether upstreams write their runs to record files, which the checks
    /// need.
    pub record: bool,
}

impl Plan {
    /// `vendor-portal` of thessaloniki: 6 servers, partitioned by key.
    #[must_use]
    pub fn vendor_portal() -> Self {
        Self {
            operator: "thessaloniki",
            service: "vendor-portal",
            keyed: true,
            fenced: true,
            domains: vec![
                "kalamaria",
                "ladadika",
                "toumba",
                "evosmos",
                "kalamaria",
                "ladadika",
            ],
            slots: 12,
            connections: 100,
            service_ms: 20,
            extra: Vec::new(),
            partners: BTreeMap::new(),
            record: true,
        }
    }

    /// `depot-ledger` of thessaloniki: 4 servers, not partitioned by key.
    #[must_use]
    pub fn depot_ledger() -> Self {
        Self {
            service: "depot-ledger",
            keyed: false,
            fenced: false,
            domains: vec!["kalamaria", "ladadika", "toumba", "evosmos"],
            ..Self::vendor_portal()
        }
    }

    /// `udlaan` of jutland: 3 servers, not partitioned by key.
    #[must_use]
    pub fn udlaan() -> Self {
        Self {
            operator: "jutland",
            service: "udlaan",
            keyed: false,
            fenced: false,
            domains: vec!["aarhus", "vejle", "viborg"],
            slots: 20,
            connections: 120,
            ..Self::vendor_portal()
        }
    }

    /// Requests per second that all upstreams can serve together.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.domains.len() as f64;
        slots * 1_000.0 / self.service_ms.max(1) as f64
    }

    fn config(&self) -> Config {
        let service = Service {
            keyed: self.keyed,
            shards: 256,
            groups: 1,
            fenced: self.fenced,
            shares: BTreeMap::new(),
            partners: self.partners.clone(),
            hedge: !self.keyed,
        };
        let domains = self
            .domains
            .iter()
            .map(|&name| (name.to_owned(), Domain::default()));
        Config {
            operator: self.operator.to_owned(),
            domains: domains.collect(),
            services: BTreeMap::from([(self.service.to_owned(), service)]),
        }
    }

    fn settings(&self, store: SocketAddr) -> io::Result<Vec<Settings>> {
        let mut all = Vec::new();
        for (index, &domain) in self.domains.iter().enumerate() {
            all.push(Settings {
                addr: NodeAddr(free_addr()?),
                listen: free_addr()?,
                domain: domain.to_owned(),
                operator: self.operator.to_owned(),
                service: self.service.to_owned(),
                upstream: UpstreamSettings {
                    name: format!("{}-{domain}-{index}", self.service),
                    addr: free_addr()?,
                    slots: self.slots,
                    connections: self.connections,
                },
                store,
                log: LogSettings {
                    level: LogLevel::Warning,
                    ..LogSettings::default()
                },
            });
        }
        Ok(all)
    }
}

/// Directories that experiments read programs from and write to.
#[derive(Clone, Debug)]
pub struct Directories {
    /// Directory that holds the programs to start.
    pub bin: PathBuf,
    /// Directory in which settings, records and samples are kept. If
    /// absent, they are written to a temporary directory that is removed
    /// when the cluster is dropped.
    pub keep: Option<PathBuf>,
}

/// One node and its upstream.
#[derive(Debug)]
pub struct Member {
    /// Settings that the node is started with.
    pub settings: Settings,
    /// The node, unless it was killed.
    pub node: Option<Process>,
    /// The upstream, unless it was killed or crashed.
    pub upstream: Option<Process>,
    record_file: PathBuf,
    // In milliseconds of `CLOCK_MONOTONIC`.
    kill_times: Vec<u64>,
}

/// The processes of one experiment. They are killed when this is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The configuration, as last changed by the experiment. It takes effect
    /// only with [`Cluster::apply`].
    pub config: Config,
    /// Nodes and their upstreams; methods take indexes into this list.
    pub members: Vec<Member>,
    /// Address of the object store.
    pub store: SocketAddr,
    plan: Plan,
    bin: PathBuf,
    dir: PathBuf,
    keep: bool,
    // Fields are dropped in order of declaration: as the last one, the store
    // outlives the nodes.
    _store: Process,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.members.clear();
        if !self.keep {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts a cluster of `plan` with the programs in `dirs` on free ports
    /// and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if a program cannot be started or the cluster does
    /// not serve in time.
    pub fn start(plan: Plan, dirs: &Directories) -> io::Result<Self> {
        let store = free_addr()?;
        let settings = plan.settings(store)?;
        let config = plan.config();
        Self::start_with(plan, dirs, store, settings, config)
    }

    /// Starts a cluster with one node and upstream for each of `settings`
    /// under `config`, with a store at `store`, and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if a program cannot be started or the cluster does
    /// not serve in time.
    pub fn start_with(
        plan: Plan,
        dirs: &Directories,
        store: SocketAddr,
        settings: Vec<Settings>,
        config: Config,
    ) -> io::Result<Self> {
        let name = format!(
            "lagoondyke-bench-{}-{}",
            std::process::id(),
            monotonic_ms()
        );
        let base = dirs.keep.clone().unwrap_or_else(std::env::temp_dir);
        let dir = base.join(name);
        fs::create_dir_all(&dir)?;
        let args = ["--listen".to_owned(), store.to_string()];
        let path = dirs.bin.join("standin-store");
        let process = Process::start(&path, args, store, START_TIMEOUT)?;
        let mut cluster = Self {
            config,
            members: Vec::new(),
            store,
            plan,
            bin: dirs.bin.clone(),
            dir,
            keep: dirs.keep.is_some(),
            _store: process,
        };
        cluster.apply()?;
        for settings in settings {
            cluster.add_member(settings)?;
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    fn add_member(&mut self, settings: Settings) -> io::Result<()> {
        let record_file = self.dir.join(&settings.upstream.name);
        self.members.push(Member {
            settings,
            node: None,
            upstream: None,
            record_file,
            kill_times: Vec::new(),
        });
        let index = self.members.len() - 1;
        self.start_upstream(index)?;
        self.start_node(index)
    }

    /// Starts the upstream of member `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not accept connections in time.
    pub fn start_upstream(&mut self, index: usize) -> io::Result<()> {
        let member = &mut self.members[index];
        let upstream = &member.settings.upstream;
        let mut args = vec![
            format!("--listen={}", upstream.addr),
            format!("--name={}", upstream.name),
            format!("--slots={}", upstream.slots),
            format!("--connections={}", upstream.connections),
            format!("--service-ms={}", self.plan.service_ms),
            format!("--seed={index}"),
        ];
        if self.plan.record {
            args.push(format!("--record={}", member.record_file.display()));
        }
        if self.plan.fenced {
            args.push("--fenced".to_owned());
        }
        args.extend(self.plan.extra.iter().cloned());
        let path = self.bin.join("standin-upstream");
        let process =
            Process::start(&path, args, upstream.addr, START_TIMEOUT)?;
        member.upstream = Some(process);
        Ok(())
    }

    /// Starts the node of member `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not accept connections in time.
    pub fn start_node(&mut self, index: usize) -> io::Result<()> {
        let member = &mut self.members[index];
        let file = self.dir.join(format!("node-{index}.json"));
        fs::write(&file, serde_json::to_vec(&member.settings)?)?;
        let args = ["--settings".into(), file.into_os_string()];
        let path = self.bin.join("lagoondyked");
        let listen = member.settings.listen;
        member.node =
            Some(Process::start(&path, args, listen, START_TIMEOUT)?);
        Ok(())
    }

    /// Kills the node and the upstream of member `index`. Returns the time
    /// just before, in milliseconds of `CLOCK_MONOTONIC`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self, index: usize) -> io::Result<u64> {
        let member = &mut self.members[index];
        let before_ms = monotonic_ms();
        if let Some(mut node) = member.node.take() {
            node.kill()?;
        }
        if let Some(mut upstream) = member.upstream.take() {
            upstream.kill()?;
            member.kill_times.push(monotonic_ms());
        }
        Ok(before_ms)
    }

    /// Records that the upstream of member `index` ended by itself: its
    /// unfinished runs count as ended now.
    pub fn record_crash(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.upstream = None;
        member.kill_times.push(monotonic_ms());
    }

    /// Writes the configuration to the store: with the `lagoondyke` command
    /// if it is built, else by a conditional update of the store's object.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is refused.
    pub fn apply(&self) -> io::Result<()> {
        let file = self.dir.join("config.json");
        let text = serde_json::to_vec(&self.config)?;
        fs::write(&file, &text)?;
        let command = self.bin.join("lagoondyke");
        if command.exists() {
            let output = Command::new(command)
                .args(["apply", "--store", &self.store.to_string()])
                .arg(&file)
                .stdin(Stdio::null())
                .output()?;
            if output.status.success() {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(io::Error::other(format!("apply failed: {text}")));
        }
        let path = format!("/objects/config/{}", self.config.operator);
        let found = call(self.store, Method::GET, &path, &[], "")?;
        let condition = match found.header("etag") {
            Some(tag) => ("if-match", tag),
            None => ("if-none-match", "*"),
        };
        let reply = call(self.store, Method::PUT, &path, &[condition], text)?;
        if reply.ok() {
            return Ok(());
        }
        Err(io::Error::other(format!("apply failed: {}", reply.code())))
    }

    /// Takes a domain out of service, or returns it to service if `out` is
    /// false. Returns the time just before the configuration is applied, in
    /// milliseconds of `CLOCK_MONOTONIC`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is refused.
    pub fn set_domain_out(
        &mut self,
        domain: &str,
        out: bool,
    ) -> io::Result<u64> {
        let domains = &mut self.config.domains;
        domains.entry(domain.to_owned()).or_default().out = out;
        let before_ms = monotonic_ms();
        self.apply()?;
        Ok(before_ms)
    }

    /// Waits until each node serves all probe keys and, if keys have owners,
    /// until each node owns a shard.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 20 s.
    pub fn wait_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        for member in &self.members {
            for key in 0..PROBE_KEY_COUNT {
                while let Err(cause) = self.probe(member, key) {
                    if start.elapsed() > READY_TIMEOUT {
                        let text =
                            format!("the cluster does not serve: {cause}");
                        return Err(io::Error::other(text));
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
        }
        while let Some(cause) = self.shardless_node() {
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other(cause));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Describes the first node that owns no shard although keys have
    /// owners, or that does not report its status.
    fn shardless_node(&self) -> Option<String> {
        if !self.plan.keyed {
            return None;
        }
        for index in 0..self.members.len() {
            match self.status(index) {
                Ok(status) if status.shards > 0 => {}
                Ok(_) => return Some(format!("node {index} owns no shard")),
                Err(e) => return Some(format!("node {index}: {e}")),
            }
        }
        None
    }

    fn probe(&self, member: &Member, key: u32) -> Result<(), String> {
        let key = key_name(key);
        let headers = [
            ("lagoondyke-service", self.plan.service),
            ("lagoondyke-key", &*key),
            ("lagoondyke-deadline", "2000"),
        ];
        let addr = member.settings.listen;
        let reply = call(addr, Method::GET, "/probe", &headers, "")
            .map_err(|e| e.to_string())?;
        if reply.ok() {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        Err(format!("{addr} answered {} {body}", reply.code()))
    }

    /// The status that node `index` reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer or its answer is no
    /// status.
    pub fn status(&self, index: usize) -> io::Result<Status> {
        let addr = self.members[index].settings.listen;
        get(addr, "/lagoondyke/status")
    }

    /// Index of the member that leads the group.
    ///
    /// # Errors
    ///
    /// Returns an error if no node leads within 5 s.
    pub fn leader(&self) -> io::Result<usize> {
        for _ in 0..50 {
            for (index, member) in self.members.iter().enumerate() {
                if member.node.is_none() {
                    continue;
                }
                if self.status(index).is_ok_and(|s| s.leads) {
                    return Ok(index);
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("no node leads the group"))
    }

    /// Waits until every running node reports at least configuration
    /// `version`. Returns the milliseconds from `since`, a time of
    /// `CLOCK_MONOTONIC`, until then.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 20 s.
    pub fn wait_for_config(
        &self,
        version: u64,
        since: u64,
    ) -> io::Result<u64> {
        for (index, member) in self.members.iter().enumerate() {
            if member.node.is_none() {
                continue;
            }
            while self.status(index)?.config < version {
                if monotonic_ms() > since + 20_000 {
                    let text = format!(
                        "node {index} lacks configuration {version} after 20 s"
                    );
                    return Err(io::Error::other(text));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(monotonic_ms().saturating_sub(since))
    }

    /// The version that the store gave to the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or has no
    /// configuration.
    pub fn config_version(&self) -> io::Result<u64> {
        let path = format!("/objects/config/{}", self.config.operator);
        let reply = call(self.store, Method::GET, &path, &[], "")?;
        reply
            .header("etag")
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .ok_or_else(|| {
                io::Error::other(
                    "the store has no version of the configuration",
                )
            })
    }

    /// Calls that the store has counted by kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub fn counts(&self) -> io::Result<Counts> {
        get(self.store, "/admin/counts")
    }

    /// Has the store simulate the faults that `body` gives as JSON, in place
    /// of earlier ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub fn set_faults(&self, body: &'static str) -> io::Result<()> {
        put(self.store, "/admin/faults", body)
    }

    /// Sends `PUT` with `body` to the admin path `path` of the upstream of
    /// member `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub fn put_admin(
        &self,
        index: usize,
        path: &str,
        body: impl Into<bytes::Bytes>,
    ) -> io::Result<()> {
        put(self.members[index].settings.upstream.addr, path, body)
    }

    /// The present load of each running upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not answer.
    pub fn upstream_loads(&self) -> io::Result<Vec<Load>> {
        let running = self.members.iter().filter(|m| m.upstream.is_some());
        running.map(|m| get(m.settings.upstream.addr, "/admin/load")).collect()
    }

    /// The recorded runs of all upstreams, including killed ones.
    ///
    /// # Errors
    ///
    /// Returns an error if a record cannot be read.
    pub fn records(&self) -> io::Result<Vec<Record>> {
        let mut records = Vec::new();
        for member in &self.members {
            records.push(Record {
                name: member.settings.upstream.name.clone(),
                runs: read_record(&member.record_file)?,
                kill_times: member.kill_times.clone(),
            });
        }
        Ok(records)
    }

    /// Writes the samples to the file `samples` beside the records, one line
    /// each in their `Debug` form. Does nothing if no directory is kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn save_samples(&self, samples: &[Sample]) -> io::Result<()> {
        if !self.keep {
            return Ok(());
        }
        let mut text = String::new();
        for sample in samples {
            let _ = writeln!(text, "{sample:?}");
        }
        fs::write(self.dir.join("samples"), text)
    }

    /// Addresses at which the nodes accept requests of callers.
    #[must_use]
    pub fn nodes(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|m| m.settings.listen).collect()
    }

    /// Addresses of the upstreams, for callers that bypass the nodes.
    #[must_use]
    pub fn upstreams(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|m| m.settings.upstream.addr).collect()
    }

    /// Indexes of the members in `domain`.
    #[must_use]
    pub fn domain_members(&self, domain: &str) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, m)| m.settings.domain == domain)
            .map(|(index, _)| index)
            .collect()
    }
}

/// Sends one request over a new connection and blocks until it is answered.
///
/// # Errors
///
/// Returns an error if there is no complete answer within 3 s.
pub fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<bytes::Bytes>,
) -> io::Result<Reply> {
    let answer: Result<Reply, CallError> = block_on(call_once(
        addr,
        method,
        path,
        headers,
        body,
        CALL_TIMEOUT_MS,
    ));
    answer.map_err(|e| io::Error::other(format!("{addr}{path}: {e}")))
}

fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> io::Result<T> {
    Ok(call(addr, Method::GET, path, &[], "")?.parse_json()?)
}

fn put(
    addr: SocketAddr,
    path: &str,
    body: impl Into<bytes::Bytes>,
) -> io::Result<()> {
    let reply = call(addr, Method::PUT, path, &[], body)?;
    if reply.ok() {
        return Ok(());
    }
    Err(io::Error::other(format!("{addr}{path}: {}", reply.code())))
}
