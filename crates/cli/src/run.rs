//! Executes a parsed command.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_core::node::config_object_name;

use crate::apply::apply;
use crate::args::{Command, Wait};
use crate::environment::{CallError, Environment};
use crate::exit::{Exit, Failure};
use crate::group::Reset;
use crate::{check, domain, render, wait};

/// Executes `command` and writes its output to `out`.
///
/// # Errors
///
/// See [`Exit`].
pub fn run(
    command: &Command,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    match command {
        Command::Check { files } => check::check_files(files, out),
        Command::Apply { file, expect, wait, .. } => {
            let text = check::read_file(file)?;
            let version = apply(&text, *expect, env, out)?;
            wait_if_enabled(version, wait, env, out)
        }
        Command::Show { operator, .. } => show(operator, env, out),
        Command::Status { nodes, json } => status(nodes, *json, env, out),
        Command::Owner { node, service, key } => {
            owner(*node, service, key, env, out)
        }
        Command::Explain { node, service, key } => {
            let at = env.nodes.locate(*node, service, key)?;
            write!(out, "{}", render::explain(service, key, &at))?;
            Ok(())
        }
        Command::Domain {
            out: out_of_service,
            operator,
            domain,
            wait,
            ..
        } => {
            let version =
                domain::set(operator, domain, *out_of_service, env, out)?;
            wait_if_enabled(version, wait, env, out)
        }
        Command::Drain { node, wait } => drain(*node, *wait, env, out),
        Command::Reset { service, index, leader, lost, .. } => {
            let reset = Reset {
                service: service.clone(),
                index: *index,
                leader: *leader,
                lost: lost.clone(),
            };
            reset.run(rand::random(), env, out)
        }
    }
}

fn drain(
    node: SocketAddr,
    wait: Option<Duration>,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    env.nodes.drain(node).map_err(|e| match e {
        CallError::AnswerLost(_) => Failure::new(Exit::Unknown, e.to_string()),
        e => e.into(),
    })?;
    writeln!(out, "{node} is draining")?;
    wait.map_or(Ok(()), |limit| wait::until_stopped(node, limit, env, out))
}

/// Waits until a version is in force, if the operator asked for it.
fn wait_if_enabled(
    version: u64,
    wait: &Wait,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    if !wait.enabled {
        return Ok(());
    }
    wait::until_in_force(version, &wait.nodes, wait.limit, env, out)
}

fn show(
    operator: &str,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let name = config_object_name(operator);
    let Some(object) = env.store()?.read(&name)? else {
        let message = format!("store has no document {name}");
        return Err(Failure::new(Exit::Invalid, message));
    };
    // Only the text goes to standard output, so that it can be edited and
    // applied again.
    eprintln!("{name}: version {}", object.version);
    out.write_all(&object.value)?;
    Ok(())
}

fn status(
    nodes: &[SocketAddr],
    json: bool,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let answers = env.nodes.statuses(nodes);
    let answers: Vec<render::NodeAnswer> =
        nodes.iter().copied().zip(answers).collect();
    let text = if json {
        render::status_json(&answers)
    } else {
        render::status_table(&answers)
    };
    write!(out, "{text}")?;
    let unanswered = answers.iter().filter(|(_, a)| a.is_err()).count();
    if unanswered == 0 {
        return Ok(());
    }
    let message =
        format!("{unanswered} of {} nodes did not answer", answers.len());
    Err(Failure::new(Exit::Unreachable, message))
}

fn owner(
    node: SocketAddr,
    service: &str,
    key: &str,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let at = env.nodes.locate(node, service, key)?;
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
