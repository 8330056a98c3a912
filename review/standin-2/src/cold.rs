//! A server becomes cold again while it runs, and says so in its next
//! heartbeat and at its health path.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clients::Clients;
use crate::configuration;
use crate::fleet::{Fleet, Terms};
use crate::record::Record;
use crate::server::{Ledger, Plan, Run, Server, lock};
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const BEAT_MS: u64 = 1_500;
const COLD_PER_S: f64 = 26.0;

/// Mean time of the work on the site's `katalog`: 254 browsings of 160 ms to
/// 106 reservations of 210 ms.
const WORK_MS: u64 = 175;

/// Clients of a machine, and their pause. They send about 62 requests a second
/// for each server, as on the site's days of high load: 638 a second, of which
/// 6.8 in 8.78 are for the eight servers of `katalog`.
const CLIENTS: usize = 13;
const PAUSE_MS: u64 = 20;

/// Requests that a cold server may get in a second (RULES.md, FAILBACK):
/// `warmup_per_s` x `warmup_overshoot` + `warmup_slack`.
const MOST_PER_S: f64 = COLD_PER_S * 1.5 + 5.0;

/// Time for which a server is cold (`warmup_s`).
const COLD_MS: u64 = 3_000;

pub fn run(program: &Path, folder: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(folder));
    let (store, store_addr) = Store::start(&record);
    let config = configuration(7, SERVICE, true, "non_idempotent");
    store.operate("config", "main", config);
    let terms = Terms {
        beat_ms: BEAT_MS,
        drain_ms: 2_000,
        evacuate_ms: 5_000,
        config_ms: 2_000,
    };
    let zones = ["aarhus", "vejle", "viborg"];
    let fleet = Fleet::new(
        program,
        store_addr,
        &[SERVICE; 3],
        &zones,
        &terms,
        &record,
    );
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
            slots: 18,
            beat_ms: BEAT_MS,
            work_ms: WORK_MS,
            cold_per_s: COLD_PER_S,
        };
        servers.push(Server::start(plan, &ledger));
        thread::sleep(Duration::from_millis(BEAT_MS / 3));
    }
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.run(
            CLIENTS,
            machine.callers,
            "POST /lohu930/2f",
            PAUSE_MS,
            |c| Some(c.random(65_536)),
        );
    }
    thread::sleep(Duration::from_secs(6));
    // Right after a heartbeat: the next one is a whole interval away.
    loop {
        let beats = servers[1].beats.load(Ordering::Relaxed);
        while servers[1].beats.load(Ordering::Relaxed) == beats {
            thread::sleep(Duration::from_millis(5));
        }
        if !servers[1].releasing.load(Ordering::Relaxed) {
            break;
        }
    }
    thread::sleep(Duration::from_millis(100));
    if trouble {
        servers[1].turn_cold(COLD_MS);
    }
    thread::sleep(Duration::from_secs(6));
    clients.ended.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    fleet.end();

    let runs = lock(&ledger.runs);
    let cold: Vec<&Run> = runs.iter().filter(|run| run.cold).collect();
    let within = |from: u64| -> usize {
        let span = from..from + 1_000;
        cold.iter().filter(|run| span.contains(&run.at)).count()
    };
    let most = cold.iter().map(|run| within(run.at)).max().unwrap_or(0);
    if most as f64 > MOST_PER_S {
        ledger.broke(format!(
            "FAILBACK: a cold server gets {most} requests in one second; \
             {MOST_PER_S} are allowed"
        ));
    }
    let answered = lock(&clients.answered);
    let with = |status| answered.iter().filter(|s| s.status == status).count();
    let broken = lock(&ledger.broken).len();
    record.show(&format!(
        "{} requests, answered 200: {}, 502: {}, 503: {}; {} runs, {} of them \
         cold, {most} cold ones at most in a second; broken rules: {broken}",
        answered.len(),
        with(200),
        with(502),
        with(503),
        runs.len(),
        cold.len()
    ));
    record.flush();
    broken > 0
}
