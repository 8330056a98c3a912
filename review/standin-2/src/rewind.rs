//! The platform's store comes back from a copy some seconds old; later one
//! node is stopped and started again on its own.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::fleet::{Fleet, Terms, give_up};
use crate::record::Record;
use crate::server::{Ledger, Plan, Server, lock};
use crate::store::Store;
use crate::configuration;

const SERVICE: &str = "huvo11a";
const BEAT_MS: u64 = 1_500;

/// Number of busy keys, which are next to one another.
const BUSY_COUNT: u64 = 60;

/// Time limit for the first division of the keys, and for busy keys to move.
const MOVE_LIMIT: Duration = Duration::from_secs(25);

/// Time from the move of busy keys to the drill, and how much older than the
/// move the copy is.
const DRILL_AFTER: Duration = Duration::from_millis(1_500);
const COPY_BEFORE: Duration = Duration::from_millis(1_500);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Calm time between the drill and the restart of a node.
const CALM: Duration = Duration::from_secs(10);

/// Time after the restart.
const REST: Duration = Duration::from_secs(12);

pub fn run(program: &Path, folder: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(folder));
    let (store, store_addr) = Store::start(&record);
    store.operate("config", "main", configuration(7, SERVICE, true, "idempotent"));
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
            slots: 6,
            beat_ms: BEAT_MS,
            work_ms: 100,
            cold_per_s: 26.0,
        };
        servers.push(Server::start(plan, &ledger));
        // Their heartbeats are spread over the interval.
        thread::sleep(Duration::from_millis(BEAT_MS / 3));
    }
    fleet.wait_ready();
    let held = |server: &Server| -> usize {
        server.held().iter().filter(|token| **token > 0).count()
    };
    wait_for("the first division", || {
        servers.iter().map(|s| held(s)).sum::<usize>() == 65_536
            && servers.iter().all(|s| held(s) > 0)
    });
    record.show("all keys are held");

    let clients = Clients::new(&record);
    // Before a key is busy, all keys are drawn alike.
    let busy = Arc::new(AtomicU64::new(u64::MAX));
    for machine in &fleet.machines {
        let busy = Arc::clone(&busy);
        clients.run(5, machine.callers, "GET /lohu930/2f", 100, move |c| {
            let first = busy.load(Ordering::Relaxed);
            if first == u64::MAX || c.random(100) < 10 {
                Some(c.random(65_536))
            } else {
                Some(first + c.random(BUSY_COUNT))
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let held_0 = servers[0].held();
    let first = held_0.iter().position(|token| *token > 0);
    let first = first.unwrap_or_else(|| give_up("i-0 holds no key")) as u64;
    let first = first + 500;
    busy.store(first, Ordering::Relaxed);
    record.show(&format!("keys {first} to {} are busy", first + BUSY_COUNT - 1));
    let range = first as usize..(first + BUSY_COUNT) as usize;
    wait_for("a move of busy keys", || {
        servers[1..].iter().any(|server| {
            server.held()[range.clone()].iter().any(|token| *token > 0)
        })
    });
    let moved = Instant::now();
    record.show("busy keys have moved to another server");
    thread::sleep(DRILL_AFTER);
    if trouble {
        store.drill(moved.elapsed() + COPY_BEFORE, AWAY);
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(CALM);
    record.show(&format!("the store's revision is {}", store.revision()));
    fleet.stop(0);
    fleet.start(0);
    thread::sleep(REST);
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

fn wait_for(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + MOVE_LIMIT;
    while !done() {
        if Instant::now() > end {
            give_up(&format!("{what} takes too long"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}
