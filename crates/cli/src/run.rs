//! Carries out a command.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_core::node::config_object_name;

use crate::apply::apply;
use crate::args::{Command, Wait};
use crate::exit::{Exit, Failure};
use crate::group::Reset;
use crate::outside::{CallError, Outside};
use crate::{check, domain, render, watch};

/// Carries out `command` and writes what it reports to `out`.
///
/// # Errors
///
/// See [`Exit`].
pub fn run(
    command: &Command,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    match command {
        Command::Check { files } => check::files(files, out),
        Command::Apply { file, expect, wait, .. } => {
            let text = check::read(file)?;
            let version = apply(&text, *expect, outside, out)?;
            wait_for(version, wait, outside, out)
        }
        Command::Show { operator, .. } => show(operator, outside, out),
        Command::Status { nodes, json } => status(nodes, *json, outside, out),
        Command::Owner { node, service, key } => {
            owner(*node, service, key, outside, out)
        }
        Command::Explain { node, service, key } => {
            let at = outside.nodes.locate(*node, service, key)?;
            write!(out, "{}", render::explain(service, key, &at))?;
            Ok(())
        }
        Command::Domain { gone, operator, domain, wait, .. } => {
            let version = domain::set(operator, domain, *gone, outside, out)?;
            wait_for(version, wait, outside, out)
        }
        Command::Drain { node, wait } => drain(*node, *wait, outside, out),
        Command::Reset { service, index, leader, lost, .. } => {
            let reset = Reset {
                service: service.clone(),
                index: *index,
                leader: *leader,
                lost: lost.clone(),
            };
            reset.run(rand::random(), outside, out)
        }
    }
}

fn drain(
    node: SocketAddr,
    wait: Option<Duration>,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    outside.nodes.drain(node).map_err(|e| match e {
        CallError::Lost(_) => Failure::new(Exit::Unknown, e.to_string()),
        e => e.into(),
    })?;
    writeln!(out, "{node} gives up its work")?;
    wait.map_or(Ok(()), |limit| watch::stopped(node, limit, outside, out))
}

fn wait_for(
    version: u64,
    wait: &Wait,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    if !wait.wait {
        return Ok(());
    }
    watch::in_force(version, &wait.nodes, wait.limit, outside, out)
}

fn show(
    operator: &str,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let name = config_object_name(operator);
    let Some(object) = outside.store()?.read(&name)? else {
        let message = format!("store has no document {name}");
        return Err(Failure::new(Exit::Invalid, message));
    };
    // Standard output has the text alone, so that it can be edited and
    // applied again.
    eprintln!("{name}: version {}", object.version);
    out.write_all(&object.value)?;
    Ok(())
}

fn status(
    nodes: &[SocketAddr],
    json: bool,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let answers = outside.nodes.statuses(nodes);
    let rows: Vec<render::Row> = nodes.iter().copied().zip(answers).collect();
    let text = if json {
        render::statuses_json(&rows)
    } else {
        render::statuses(&rows)
    };
    write!(out, "{text}")?;
    let silent = rows.iter().filter(|(_, a)| a.is_err()).count();
    if silent == 0 {
        return Ok(());
    }
    let message = format!("{silent} of {} nodes did not answer", rows.len());
    Err(Failure::new(Exit::Unreachable, message))
}

fn owner(
    node: SocketAddr,
    service: &str,
    key: &str,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let at = outside.nodes.locate(node, service, key)?;
    if let Some(owner) = at.owner {
        writeln!(out, "{owner}")?;
        return Ok(());
    }
    let why = if !at.known {
        "the service is not configured"
    } else if !at.keyed {
        "the service is not partitioned by key"
    } else {
        "the node knows no owner yet; ask again"
    };
    Err(Failure::new(Exit::Invalid, format!("no owner: {why}")))
}
