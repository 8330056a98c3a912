//! A node is killed after its server's leaving was acknowledged, and comes back
//! after another node has revoked its record.

use std::path::Path;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms, sleep_until_ms};

use crate::clients::Clients;
use crate::fleet::{COAL, Deployment, configuration};
use crate::record::Record;

/// `drain_ms` and `contact_ms`.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// When the server reports its exit after a heartbeat.
const AFTER_BEAT_MS: u64 = 100;

/// When the node is killed after the acknowledgement, and for how long.
const KILL_AFTER_MS: u64 = 200;
const DOWN_MS: u64 = 3_000;

/// Time for which the server serves after it has reported its exit.
const STAY_MS: u64 = 11_000;

const BEFORE_MS: u64 = 4_000;

pub async fn run(
    trouble: bool,
    folder: &Path,
    record: &Rc<Record>,
) -> std::io::Result<Option<Vec<String>>> {
    let services = ["k1", "k1", "k1", "k1"];
    let config = configuration(7, &["k1"], COAL);
    let deployment =
        Deployment::start(&services, COAL, config, folder, record)?;
    let deployment = Rc::new(deployment);
    if !deployment.until_served(&["/k1/", "/k1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let clients = Clients::new(&deployment);
    for machine in 0..deployment.machines.len() {
        clients.start(machine, 3, 150, "/k1/2f");
    }
    sleep_ms(BEFORE_MS).await;
    let machine = &deployment.machines[1];
    let server = Rc::clone(&machine.server.borrow());
    let id = server.options.id.clone();
    // Its keys move with the heartbeat after the report.
    let sequence = server.sequence.get();
    while server.sequence.get() == sequence {
        sleep_ms(5).await;
    }
    sleep_ms(AFTER_BEAT_MS).await;
    server.leave_abruptly();
    let (path, node) = (server.call_path("deregister"), server.options.node);
    let answer = call_once(node, Method::POST, &path, &[], "{}", 1_000).await;
    if !answer.is_ok_and(|reply| reply.ok()) {
        return Ok(None);
    }
    let acknowledged = monotonic_ms();
    record.add(format!("{id} has reported its exit, acknowledged"));
    let mut in_touch = acknowledged;
    if trouble {
        sleep_until_ms(acknowledged + KILL_AFTER_MS).await;
        machine.kill_node();
        record.add(format!("THE PROCESS of {} is killed", machine.name));
        sleep_ms(DOWN_MS).await;
        machine.start_node()?;
        in_touch = monotonic_ms() + CONTACT_MS;
        record.add(format!("{} has been started again", machine.name));
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
