//! Clients send large bodies, within the limits of the configuration. The
//! platform kills a process that exceeds its memory, and starts it again.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_standin::client::Client;
use lagoondyke_standin::time::sleep_ms;
use monoio::time::timeout;

use crate::fleet::{COAL, Deployment, Sheet, configuration, headers};
use crate::record::Record;

/// `memory_mb` of 60 of the 77 machines of the sheet.
const MEMORY_MB: u64 = 160;

/// Size of a large body; `max_body_bytes` is 67,108,864.
const LARGE_BYTES: usize = 16_700_000;
const SMALL_BYTES: usize = 300;

/// Clients of a machine, each of which sends one request at a time: the sheet
/// has 915 clients at 77 machines.
const CLIENTS: usize = 12;

/// Machines whose clients do so, and how often.
const MACHINES: usize = 2;
const WAVES: usize = 4;
const WAVE_MS: u64 = 6_000;

const SAMPLE_MS: u64 = 10;
const DOWN_MS: u64 = 500;

/// Deadline of a request.
const DEADLINE: &str = "3000";
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);

pub async fn run(
    trouble: bool,
    folder: &Path,
    record: &Rc<Record>,
) -> std::io::Result<Option<Vec<String>>> {
    let services = ["u1", "u1", "u1"];
    let sheet = Sheet { large: true, ..COAL };
    let config = configuration(7, &["u1"], sheet);
    let deployment =
        Deployment::start(&services, sheet, config, folder, record)?;
    let deployment = Rc::new(deployment);
    if !deployment.until_served(&["/u1/", "/u1i/"]).await {
        return Ok(None);
    }
    record.add("all routes are served");
    let ends = Rc::new(RefCell::new(vec![0_u32; services.len()]));
    let peak = Rc::new(Cell::new(0));
    for machine in 0..services.len() {
        let (task, ends) = (Rc::clone(&deployment), Rc::clone(&ends));
        let peak = Rc::clone(&peak);
        monoio::spawn(async move {
            limit_memory(&task, machine, &ends, &peak).await;
        });
    }
    let size = if trouble { LARGE_BYTES } else { SMALL_BYTES };
    for wave in 0..WAVES {
        record
            .add(format!("{CLIENTS} bodies of {size} bytes at each machine"));
        for machine in 0..MACHINES {
            for client in 0..CLIENTS {
                let task = Rc::clone(&deployment);
                let id = format!("w{wave}m{machine}c{client}");
                monoio::spawn(async move {
                    send(&task, machine, &id, size).await;
                });
            }
        }
        sleep_ms(WAVE_MS).await;
    }
    let ends = ends.borrow().clone();
    let peak = peak.get() / 1024;
    record
        .add(format!("ends by memory, by machine: {ends:?}; peak {peak} MB"));
    let often = ends.iter().filter(|count| **count >= 3).count();
    let mut broken = Vec::new();
    if often >= 2 {
        broken.push(format!(
            "Fault: on {often} machines processes end three times or more \
             for more memory than {MEMORY_MB} MB: {ends:?}"
        ));
    }
    Ok(Some(broken))
}

async fn send(deployment: &Deployment, machine: usize, id: &str, size: usize) {
    let record = &deployment.record;
    let machine = &deployment.machines[machine];
    record
        .add(format!("client sends {id}, {size} bytes, to {}", machine.name));
    let headers = headers(id, DEADLINE, "1");
    let call = async {
        let mut client = Client::connect(machine.callers).await?;
        let body = vec![b'x'; size];
        client.call(Method::POST, "/u1/2f", &headers, body).await
    };
    let line = match timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.code().to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer".to_owned(),
    };
    record.add(format!("client {id}: {line}"));
}

/// Kills the process of a machine when it exceeds its memory.
async fn limit_memory(
    deployment: &Deployment,
    index: usize,
    ends: &RefCell<Vec<u32>>,
    peak: &Cell<u64>,
) {
    let machine = &deployment.machines[index];
    loop {
        sleep_ms(SAMPLE_MS).await;
        let id = machine.process.borrow().as_ref().map(|p| p.id());
        let Some(used) = id.and_then(resident_kb) else { continue };
        peak.set(peak.get().max(used));
        if used <= MEMORY_MB * 1_024 {
            continue;
        }
        machine.kill_node();
        let mb = used / 1024;
        let name = &machine.name;
        deployment.record.add(format!("{name} ENDS, it uses {mb} MB"));
        ends.borrow_mut()[index] += 1;
        sleep_ms(DOWN_MS).await;
        let _ = machine.start_node();
    }
}

/// Resident memory of a process.
fn resident_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
