//! A request that crashes each server that begins to run it comes again, with
//! the same path, caller and body, and for another key.

use std::path::Path;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};
use rand::Rng;

use crate::clients::Clients;
use crate::fleet::{COAL, Deployment, configuration, headers};
use crate::record::Record;
use crate::server::{CRASHING_BODY, Server};

/// `contact_ms`, and the retries that the rule allows after it.
const CONTACT_MS: u64 = 3_000;
const MOST_RETRIES: usize = 3;

/// Crashes after which the request must be known.
const CRASHES: usize = 3;

/// Time until a server that has crashed is back.
const DOWN_MS: u64 = 2_000;

const BEFORE_MS: u64 = 3_000;

/// How often the request comes, and the pause between two times.
const TIMES: usize = 18;
const PAUSE_MS: u64 = 1_500;

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
    if !deployment.until_served(&["/k1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let clients = Clients::new(&deployment);
    for machine in 0..services.len() {
        clients.start(machine, 3, 150, "/k1/2f");
    }
    sleep_ms(BEFORE_MS).await;
    // KEY=same keeps the key, for comparison.
    let same_key = std::env::var("KEY").is_ok_and(|value| value == "same");
    for time in 0..TIMES {
        let (machine, key) = {
            let mut random = rand::rng();
            let key = if same_key { 30_000 } else { random.random::<u16>() };
            (random.random_range(0..services.len()), key.to_string())
        };
        if trouble {
            let task = Rc::clone(&deployment);
            monoio::spawn(async move {
                send(&task, machine, time, &key).await;
            });
        }
        sleep_ms(PAUSE_MS).await;
        restart_crashed(&deployment);
    }
    clients.finish().await;
    let crashes = crashes(&deployment);
    record.add(format!("crashes by the request, when: {crashes:?}"));
    let third = crashes.get(CRASHES - 1).copied();
    let late = crashes
        .iter()
        .filter(|&&at| third.is_some_and(|third| at > third + CONTACT_MS));
    let late = late.count();
    let mut broken = Vec::new();
    if late > MOST_RETRIES {
        broken.push(format!(
            "BUDGET: a request that had crashed {CRASHES} servers reached \
             servers {late} times more later than {CONTACT_MS} ms after the \
             third; {} crashed in all",
            crashes.len()
        ));
    }
    Ok(Some(broken))
}

/// Sends the request once more, from the clients of a machine.
async fn send(
    deployment: &Deployment,
    machine: usize,
    time: usize,
    key: &str,
) {
    let record = &deployment.record;
    let machine = &deployment.machines[machine];
    let id = format!("crash{time}");
    record.add(format!(
        "client sends {id} /k1/2f key {key} to {}, which crashes servers",
        machine.name
    ));
    let headers = headers(&id, "2500", key);
    let call = call_once(
        machine.callers,
        Method::POST,
        "/k1/2f",
        &headers,
        CRASHING_BODY,
        3_000,
    );
    let answer = call.await.map(|reply| reply.code());
    record.add(format!("client {id}: {answer:?}"));
}

/// When the request reached a server, in order.
fn crashes(deployment: &Deployment) -> Vec<u64> {
    let runs = deployment.runs.borrow();
    let of_request = runs.iter().filter(|(id, _)| id.starts_with("crash"));
    let mut times: Vec<u64> = of_request
        .flat_map(|(_, runs)| runs.iter().map(|run| run.1))
        .collect();
    times.sort_unstable();
    times
}

/// Has each server that is down come back after its time, as a new life.
fn restart_crashed(deployment: &Rc<Deployment>) {
    for index in 0..deployment.machines.len() {
        let server = Rc::clone(&deployment.machines[index].server.borrow());
        if server.is_up() || server.returns.replace(true) {
            continue;
        }
        let deployment = Rc::clone(deployment);
        monoio::spawn(async move {
            let at = monotonic_ms() + DOWN_MS;
            loop {
                sleep_ms(at.saturating_sub(monotonic_ms()).max(20)).await;
                let mut options = server.options.clone();
                options.id.push('x');
                let record = &deployment.record;
                let life = Server::start(options, &deployment.runs, record);
                if let Ok(life) = life {
                    record.add(format!("{} is up", life.options.id));
                    let machine = &deployment.machines[index];
                    machine.server.replace(life);
                    return;
                }
            }
        });
    }
}
