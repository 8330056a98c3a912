//! All processes are killed right after a server's leaving was acknowledged,
//! and a heartbeat that it had sent before arrives late.

use std::path::Path;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms, sleep_until_ms};
use serde_json::Value;

use crate::clients::Clients;
use crate::fleet::{COAL, Deployment, configuration};
use crate::record::Record;
use crate::server::Server;

/// `drain_ms` and `contact_ms`.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// How late the heartbeat is, and how long the server waits for its answer.
const LATE_MS: u64 = 2_500;
const BEAT_TIMEOUT_MS: u64 = 1_000;

/// Time for which the processes are down.
const DOWN_MS: u64 = 500;

/// Time for which the server serves after it has reported its exit.
const STAY_MS: u64 = 9_000;

const BEFORE_MS: u64 = 4_000;

pub async fn run(
    trouble: bool,
    folder: &Path,
    record: &Rc<Record>,
) -> std::io::Result<Option<Vec<String>>> {
    let services = ["u1", "u1", "v1"];
    let config = configuration(7, &["u1", "v1"], COAL);
    let deployment =
        Deployment::start(&services, COAL, config, folder, record)?;
    let deployment = Rc::new(deployment);
    if !deployment.until_served(&["/u1/", "/u1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let clients = Clients::new(&deployment);
    for machine in 0..deployment.machines.len() {
        clients.start(machine, 3, 200, "/u1/2f");
    }
    sleep_ms(BEFORE_MS).await;
    let server = Rc::clone(&deployment.machines[0].server.borrow());
    let id = server.options.id.clone();
    let beat = server.last_beat();
    let sent = monotonic_ms();
    record.add(format!("{id} sends {beat}"));
    if trouble {
        sleep_ms(BEAT_TIMEOUT_MS).await;
    } else {
        deliver(&server, &beat, record).await;
    }
    let (path, node) = (server.call_path("deregister"), server.options.node);
    let answer = call_once(node, Method::POST, &path, &[], "{}", 1_000).await;
    let acknowledged = monotonic_ms();
    let mut in_touch = acknowledged;
    if !answer.is_ok_and(|reply| reply.ok()) {
        return Ok(None);
    }
    if trouble {
        for machine in &deployment.machines {
            machine.kill_node();
        }
    }
    record.add(format!("{id} has reported its exit, acknowledged"));
    if trouble {
        record.add("ALL PROCESSES of the system are killed");
        sleep_ms(DOWN_MS).await;
        for machine in &deployment.machines {
            machine.start_node()?;
        }
        in_touch = monotonic_ms() + CONTACT_MS;
        record.add("all processes have been started again");
        sleep_until_ms(sent + LATE_MS).await;
        deliver(&server, &beat, record).await;
    }
    sleep_until_ms(acknowledged + STAY_MS).await;
    let open = server.places();
    server.crash();
    record.add(format!("{id} exits, {open} requests are lost"));
    clients.finish().await;
    let from = in_touch.max(acknowledged + DRAIN_MS);
    let late = server.arrivals().iter().filter(|at| **at > from).count();
    record.add(format!("requests too late at {id}: {late}"));
    let mut broken = Vec::new();
    if late > 0 {
        broken.push(format!(
            "DRAIN: {late} requests reached {id} later than {DRAIN_MS} ms \
             after its leaving was acknowledged, sent by machines that had \
             been in touch for {CONTACT_MS} ms"
        ));
    }
    Ok(Some(broken))
}

/// Delivers a heartbeat whose answer the server no longer waits for.
async fn deliver(server: &Server, beat: &Value, record: &Record) {
    let (path, node) = (server.call_path("heartbeat"), server.options.node);
    let json = [("content-type", "application/json")];
    let text = beat.to_string();
    let answer = call_once(node, Method::POST, &path, &json, text, 1_000);
    let answer = answer.await.map(|reply| reply.code());
    record.add(format!("the heartbeat has arrived -> {answer:?}"));
}
