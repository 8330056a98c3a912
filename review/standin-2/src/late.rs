//! A server is replaced at its address; later the node beside it is killed and
//! starts again, and a heartbeat of the replaced server arrives late.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::configuration;
use crate::fleet::{Fleet, Terms, give_up};
use crate::record::Record;
use crate::server::{Ledger, Plan, Server, lock};
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const BEAT_MS: u64 = 1_500;

/// Time by which the heartbeats of i-1 come after those of the server beside
/// the first node; those of i-2 come a quarter of it later.
const BEAT_SHIFT: Duration = Duration::from_millis(600);

/// Time limit for a server to release its keys, or to get some.
const MOVE_LIMIT: Duration = Duration::from_secs(20);

/// Time after which a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Time for which a node that starts has not opened its addresses.
const START_LIMIT: Duration = Duration::from_secs(5);

pub fn run(program: &Path, folder: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(folder));
    let (store, store_addr) = Store::start(&record);
    let config = configuration(7, SERVICE, true, "idempotent");
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
    let plan = |index: usize, id: &str| {
        let machine = &fleet.machines[index];
        Plan {
            id: id.to_owned(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            addr: machine.server,
            node: machine.control,
            keyed: true,
            slots: 6,
            beat_ms: BEAT_MS,
            work_ms: 100,
            cold_per_s: 26.0,
        }
    };
    let mut servers = Vec::new();
    for index in 0..fleet.machines.len() {
        fleet.start(index);
        let id = format!("i-{index}");
        servers.push(Server::start(plan(index, &id), &ledger));
        thread::sleep(if index == 0 { BEAT_SHIFT } else { BEAT_SHIFT / 4 });
    }
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.run(7, machine.callers, "GET /lohu930/2f", 100, |c| {
            Some(c.random(65_536))
        });
    }
    thread::sleep(Duration::from_secs(4));

    // The server drains, gives up its keys, sends a last heartbeat and crashes;
    // another one starts at its address.
    let old = &servers[0];
    old.drain();
    wait_for("the release of its keys", || held(old) == 0);
    let beat = old.held_up_beat();
    old.crash("while it drains");
    // Its heartbeats come before those of the others.
    after_beat(&servers[1], Duration::from_millis(BEAT_MS) - BEAT_SHIFT);
    let new = Server::start(plan(0, "i-0b"), &ledger);
    wait_for("keys for the new server", || held(&new) > 0);
    record.show(&format!("i-0b holds {} keys", held(&new)));
    after_beat(&new, Duration::from_millis(50));
    fleet.kill(0);
    thread::sleep(RESTART_DELAY);
    fleet.start(0);
    if trouble {
        let end = Instant::now() + START_LIMIT;
        while !old.arrive(&beat) {
            if Instant::now() > end {
                give_up("the node does not start");
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    thread::sleep(Duration::from_secs(8));
    clients.ended.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    fleet.end();
    let answered = lock(&clients.answered);
    let good = answered.iter().filter(|sent| sent.status == 200).count();
    let broken = lock(&ledger.broken).len();
    record.show(&format!(
        "{} requests, {good} answered 200, {} runs; broken rules: {broken}",
        answered.len(),
        lock(&ledger.runs).len()
    ));
    record.flush();
    broken > 0
}

/// Waits until a server has sent its next heartbeat, and `pause` longer.
fn after_beat(server: &Server, pause: Duration) {
    let beats = server.beats.load(Ordering::Relaxed);
    while server.beats.load(Ordering::Relaxed) == beats {
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(pause);
}

/// Number of keys that a server holds.
fn held(server: &Server) -> usize {
    server.held().iter().filter(|token| **token > 0).count()
}

fn wait_for(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + MOVE_LIMIT;
    while !done() {
        if Instant::now() > end {
            give_up(&format!("{what} takes too long"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}
