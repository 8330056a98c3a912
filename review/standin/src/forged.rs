//! A heartbeat of another writer, in which half of the fields are missing.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::{Client, call_once};
use lagoondyke_standin::time::sleep_ms;
use rand::Rng;
use serde_json::json;

use crate::fleet::{Deployment, configuration, headers};
use crate::owner::Overlaps;
use crate::record::Record;
use crate::server::{SLOTS, unix_ms};

/// Traffic before the foreign heartbeat, and after it.
const BEFORE_MS: u64 = 6_000;
const AFTER_MS: u64 = 8_000;

pub async fn run(
    trouble: bool,
    folder: &Path,
    record: &Rc<Record>,
) -> std::io::Result<Option<Vec<String>>> {
    let services = ["k1", "k1", "k1", "u1"];
    let config = configuration(7, &["k1", "u1"]);
    let deployment =
        Deployment::start(&services, 220, config, folder, record)?;
    let deployment = Rc::new(deployment);
    if !deployment.until_served(&["/k1i/", "/u1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let overlaps = Overlaps::watch(&deployment);
    let finished = Rc::new(Cell::new(false));
    for index in 0..deployment.machines.len() {
        for client in 0..3 {
            let task = Rc::clone(&deployment);
            let finished = Rc::clone(&finished);
            monoio::spawn(async move {
                call_repeatedly(&task, index, client, &finished).await;
            });
        }
    }
    sleep_ms(BEFORE_MS).await;
    if trouble {
        send_foreign_beat(&deployment).await;
    }
    sleep_ms(AFTER_MS).await;
    finished.set(true);
    sleep_ms(2_500).await;
    Ok(Some(overlaps.broken()))
}

/// Sends the first node a heartbeat that lacks the fields `zone`, `version`,
/// `warmup_left_ms`, `holds` and `released`.
async fn send_foreign_beat(deployment: &Deployment) {
    let machine = &deployment.machines[0];
    let options = machine.server.borrow().options.clone();
    let body = json!({"service": options.service,
        "address": options.addr.to_string(), "capacity": SLOTS,
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

/// Sends requests over a kept connection until it breaks, then over another.
async fn call_repeatedly(
    deployment: &Deployment,
    index: usize,
    client: usize,
    finished: &Cell<bool>,
) {
    let machine = &deployment.machines[index];
    let mut connection = None;
    let mut count = 0;
    while !finished.get() {
        let (pause, key) = {
            let mut random = rand::rng();
            (random.random_range(40..160), random.random::<u16>())
        };
        sleep_ms(pause).await;
        if connection.is_none() {
            connection = Client::connect(machine.callers).await.ok();
        }
        let Some(open) = &mut connection else { continue };
        count += 1;
        let (id, key) = (format!("{index}c{client}n{count}"), key.to_string());
        let path = if count % 4 == 0 { "/u1/2f" } else { "/k1/2f" };
        let headers = headers(&id, "2500", &key);
        deployment.record.add(format!(
            "client sends {id} POST {path} key {key} to {}",
            machine.name
        ));
        let reply = open.call(Method::POST, path, &headers, "body").await;
        let closes = match &reply {
            Ok(reply) => {
                deployment
                    .record
                    .add(format!("client {id}: {}", reply.code()));
                reply.header("connection") == Some("close")
            }
            Err(error) => {
                deployment.record.add(format!("client {id}: {error}"));
                true
            }
        };
        if closes {
            connection = None;
        }
    }
}
