//! The platform's store comes back from a copy some seconds old; just after, a
//! zone is evacuated.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clients::Clients;
use crate::configuration;
use crate::fleet::{Fleet, Terms};
use crate::json::Json;
use crate::record::Record;
use crate::server::{Ledger, Plan, Server, lock};
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const BEAT_MS: u64 = 1_500;
const EVACUATE_MS: u64 = 5_000;

/// Age of the copy, and the time for which the store is away.
const COPY_AGE: Duration = Duration::from_millis(8_000);
const AWAY: Duration = Duration::from_millis(500);

pub fn run(program: &Path, folder: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(folder));
    let (store, store_addr) = Store::start(&record);
    store.operate("config", "main", configuration(7, SERVICE, true, "idempotent"));
    let terms = Terms {
        beat_ms: BEAT_MS,
        drain_ms: 2_000,
        evacuate_ms: EVACUATE_MS,
        config_ms: 2_000,
    };
    let zones = ["aarhus", "vejle", "viborg"];
    let fleet =
        Fleet::new(program, store_addr, &[SERVICE; 6], &zones, &terms, &record);
    let ledger = Ledger::start(&record);
    let mut servers = Vec::new();
    for (index, machine) in fleet.machines.iter().enumerate() {
        fleet.start(index);
        let plan = Plan {
            id: format!("i-{index}"),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            addr: machine.server,
            node: machine.control,
            keyed: true,
            slots: 6,
            beat_ms: BEAT_MS,
            work_ms: 100,
            cold_per_s: 26.0,
        };
        servers.push(Server::start(plan, &ledger));
        thread::sleep(Duration::from_millis(BEAT_MS / 6));
    }
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.run(3, machine.callers, "GET /lohu930/2f", 100, |c| {
            Some(c.random(65_536))
        });
    }
    thread::sleep(Duration::from_secs(12));
    if trouble {
        store.drill(COPY_AGE, AWAY);
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(Duration::from_millis(100));
    store.operate("evacuations", "aarhus", Json::Object(Default::default()));
    let acked = record.now();
    record.show("the evacuation of aarhus is acknowledged");
    thread::sleep(Duration::from_secs(14));
    clients.ended.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    fleet.end();
    let runs = lock(&ledger.runs);
    let zone: Vec<&String> = servers
        .iter()
        .filter(|server: &&Arc<Server>| server.plan.zone == "aarhus")
        .map(|server| &server.plan.id)
        .collect();
    let late: Vec<u64> = runs
        .iter()
        .filter(|run| zone.contains(&&run.server))
        .filter(|run| run.at > acked + EVACUATE_MS)
        .map(|run| run.at)
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        ledger.broke(format!(
            "EVAC: {} requests run in aarhus from {first} to {last} ms, later \
             than {EVACUATE_MS} ms after the acknowledgement at {acked} ms",
            late.len()
        ));
    }
    let broken = lock(&ledger.broken).len();
    record.show(&format!("{} runs; broken rules: {broken}", runs.len()));
    record.flush();
    broken > 0
}
