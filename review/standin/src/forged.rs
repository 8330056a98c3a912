//! A heartbeat of another writer, in which half of the fields are missing.

use std::path::Path;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::time::sleep_ms;
use serde_json::json;

use crate::clients::Clients;
use crate::fleet::{COAL, Deployment, configuration};
use crate::owner::Overlaps;
use crate::record::Record;
use crate::server::unix_ms;

/// Traffic before the foreign heartbeat, and after it.
const BEFORE_MS: u64 = 6_000;
const AFTER_MS: u64 = 8_000;

pub async fn run(
    trouble: bool,
    folder: &Path,
    record: &Rc<Record>,
) -> std::io::Result<Option<Vec<String>>> {
    let services = ["k1", "k1", "k1", "u1"];
    let config = configuration(7, &["k1", "u1"], COAL);
    let deployment =
        Deployment::start(&services, COAL, config, folder, record)?;
    let deployment = Rc::new(deployment);
    if !deployment.until_served(&["/k1i/", "/u1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let overlaps = Overlaps::watch(&deployment);
    let clients = Clients::new(&deployment);
    for machine in 0..deployment.machines.len() {
        clients.start(machine, 3, 100, "/k1/2f");
        clients.start(machine, 1, 100, "/u1/2f");
    }
    sleep_ms(BEFORE_MS).await;
    if trouble {
        send_foreign_beat(&deployment).await;
    }
    sleep_ms(AFTER_MS).await;
    clients.finish().await;
    Ok(Some(overlaps.broken()))
}

/// Sends the first node a heartbeat that lacks the fields `zone`, `version`,
/// `warmup_left_ms`, `holds` and `released`.
async fn send_foreign_beat(deployment: &Deployment) {
    let machine = &deployment.machines[0];
    let options = machine.server.borrow().options.clone();
    let body = json!({"service": options.service,
        "address": options.addr.to_string(), "capacity": options.slots,
        "state": "draining", "sequence": 1, "born": unix_ms()});
    let path = "/api/rpc?call=instances.heartbeat&of=i-other";
    let json = [("content-type", "application/json")];
    let text = body.to_string();
    let call =
        call_once(machine.control, Method::POST, path, &json, text, 1_000);
    let answer = call.await.map(|reply| {
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        format!("{} {text}", reply.code())
    });
    deployment
        .record
        .add(format!("FOREIGN BEAT to {} {body} -> {answer:?}", machine.name));
}
