//! A server reports its exit; the platform's store comes back from a copy some
//! seconds old; then the node beside the server is stopped and started again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clients::Clients;
use crate::configuration;
use crate::fleet::{Fleet, Terms, give_up};
use crate::record::Record;
use crate::server::{Ledger, Plan, Server, lock};
use crate::store::Store;

const SERVICE: &str = "xano55b";
const BEAT_MS: u64 = 1_500;
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// Time from the acknowledgement to the drill, age of the copy, and the time
/// for which the store is away.
const DRILL_AFTER: Duration = Duration::from_millis(1_000);
const COPY_AGE: Duration = Duration::from_millis(3_000);
const AWAY: Duration = Duration::from_millis(500);

/// Time for which the server serves after the acknowledgement.
const SERVE_MS: u64 = 12_000;

pub fn run(program: &Path, folder: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(folder));
    let (store, store_addr) = Store::start(&record);
    let config = configuration(7, SERVICE, false, "non_idempotent");
    store.operate("config", "main", config);
    let terms = Terms {
        beat_ms: BEAT_MS,
        drain_ms: DRAIN_MS,
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
            keyed: false,
            slots: 18,
            beat_ms: BEAT_MS,
            work_ms: 110,
            cold_per_s: 26.0,
        };
        servers.push(Server::start(plan, &ledger));
        thread::sleep(Duration::from_millis(BEAT_MS / 3));
    }
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(2));
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.run(6, machine.callers, "POST /lohu930/2f", 100, |_| None);
    }
    thread::sleep(Duration::from_secs(6));
    let leaving = &servers[1];
    if !leaving.report_exit() {
        give_up("the exit is not acknowledged");
    }
    let acked = record.now();
    thread::sleep(DRILL_AFTER);
    if trouble {
        store.drill(COPY_AGE, AWAY);
    } else {
        thread::sleep(AWAY);
    }
    let drilled = record.now();
    fleet.stop(1);
    fleet.start(1);
    let started = record.now();
    while record.now() < acked + SERVE_MS {
        thread::sleep(Duration::from_millis(20));
    }
    leaving.exit();
    thread::sleep(Duration::from_secs(1));
    clients.ended.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    fleet.end();

    // The node is in touch again, and the store stable, from here on.
    let from = (acked + DRAIN_MS)
        .max(started + CONTACT_MS)
        .max(drilled + CONTACT_MS);
    let runs = lock(&ledger.runs);
    let after = |from: u64| {
        let runs = runs.iter().filter(|run| run.server == leaving.plan.id);
        runs.filter(|run| run.at > from).count()
    };
    let (late, all) = (after(from), after(acked + DRAIN_MS));
    if late > 0 {
        ledger.broke(format!(
            "DRAIN: {late} requests reach {} after {from} ms, when its machine \
             is in touch again; its exit was acknowledged at {acked} ms",
            leaving.plan.id
        ));
    }
    let answered = lock(&clients.answered);
    let with = |status| answered.iter().filter(|s| s.status == status).count();
    let broken = lock(&ledger.broken).len();
    record.show(&format!(
        "{} requests, answered 200: {}, 502: {}, 503: {}; {} runs, {all} of them \
         at {} later than {DRAIN_MS} ms after the acknowledgement, {late} of \
         these with all in touch; broken rules: {broken}",
        answered.len(),
        with(200),
        with(502),
        with(503),
        runs.len(),
        leaving.plan.id
    ));
    record.flush();
    broken > 0
}
