//! Clients that send requests over kept connections.

use std::cell::Cell;
use std::rc::Rc;

use http::Method;
use lagoondyke_standin::client::Client;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};
use rand::Rng;

use crate::fleet::{Deployment, headers};

/// Deadline of each request, in milliseconds.
const DEADLINE: &str = "2500";

/// Time after which all requests have ended.
const LAST_ANSWERS_MS: u64 = 2_600;

/// The clients of a deployment.
pub struct Clients {
    deployment: Rc<Deployment>,
    finished: Rc<Cell<bool>>,
    started: Cell<usize>,
}

impl Clients {
    pub fn new(deployment: &Rc<Deployment>) -> Self {
        let deployment = Rc::clone(deployment);
        Self { deployment, finished: Rc::default(), started: Cell::new(0) }
    }

    /// Starts `count` clients on a machine. Each sends a request about every
    /// `pause` milliseconds, or later while it waits for an answer.
    pub fn start(
        &self,
        machine: usize,
        count: usize,
        pause: u64,
        path: &'static str,
    ) {
        for _ in 0..count {
            let client = self.started.get();
            self.started.set(client + 1);
            let deployment = Rc::clone(&self.deployment);
            let finished = Rc::clone(&self.finished);
            monoio::spawn(async move {
                call_repeatedly(
                    &deployment,
                    machine,
                    client,
                    pause,
                    path,
                    &finished,
                )
                .await;
            });
        }
    }

    /// Stops all clients and waits for their last answers.
    pub async fn finish(&self) {
        self.finished.set(true);
        sleep_ms(LAST_ANSWERS_MS).await;
    }
}

async fn call_repeatedly(
    deployment: &Deployment,
    machine: usize,
    client: usize,
    pause: u64,
    path: &str,
    finished: &Cell<bool>,
) {
    let machine = &deployment.machines[machine];
    let record = &deployment.record;
    let mut connection = None;
    let mut count = 0;
    let mut due = monotonic_ms();
    while !finished.get() {
        let (wait, key) = {
            let mut random = rand::rng();
            (random.random_range(pause / 2..pause * 3 / 2), random.random())
        };
        due = (due + wait).max(monotonic_ms());
        sleep_ms(due - monotonic_ms().min(due)).await;
        if connection.is_none() {
            connection = Client::connect(machine.callers).await.ok();
        }
        let Some(open) = &mut connection else { continue };
        count += 1;
        let (id, key) = (format!("c{client}n{count}"), u16::to_string(&key));
        let headers = headers(&id, DEADLINE, &key);
        record.add(format!(
            "client sends {id} {path} key {key} to {}",
            machine.name
        ));
        let method =
            if path.ends_with("i/2f") { Method::GET } else { Method::POST };
        let body = if method == Method::GET { "" } else { "body" };
        let reply = open.call(method, path, &headers, body).await;
        let closes = match &reply {
            Ok(reply) => {
                record.add(format!("client {id}: {}", reply.code()));
                reply.header("connection") == Some("close")
            }
            Err(error) => {
                record.add(format!("client {id}: {error}"));
                true
            }
        };
        if closes {
            connection = None;
        }
    }
}
