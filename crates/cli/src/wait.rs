//! Waits until nodes report a change.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::environment::{CallError, Environment};
use crate::exit::{Exit, Failure};

/// Interval between queries of the nodes' status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until all nodes report a configuration version of at least
/// `version`, for at most `limit`.
///
/// # Errors
///
/// `TimedOut`, with the nodes that are behind and the last answer of each.
pub fn until_in_force(
    version: u64,
    nodes: &[SocketAddr],
    limit: Duration,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let start = env.timer.now();
    let mut pending = nodes.to_vec();
    loop {
        let behind = find_behind(version, &pending, env);
        let elapsed = env.timer.now().saturating_sub(start);
        if behind.is_empty() {
            let count = nodes.len();
            writeln!(
                out,
                "version {version} is in force at {count} of {count} nodes \
                 after {} ms",
                elapsed.as_millis()
            )?;
            return Ok(());
        }
        if elapsed >= limit {
            let states: Vec<String> =
                behind.into_iter().map(|(_, state)| state).collect();
            let message = format!(
                "version {version} is not in force everywhere after {} s: {}",
                limit.as_secs(),
                states.join("; ")
            );
            return Err(Failure::new(Exit::TimedOut, message));
        }
        pending = behind.into_iter().map(|(node, _)| node).collect();
        env.timer.sleep(POLL_INTERVAL);
    }
}

/// The nodes that do not report at least `version`, with their answers.
fn find_behind(
    version: u64,
    nodes: &[SocketAddr],
    env: &Environment<'_>,
) -> Vec<(SocketAddr, String)> {
    let mut behind = Vec::new();
    for (&node, answer) in nodes.iter().zip(env.nodes.statuses(nodes)) {
        let state = match answer {
            Ok(status) if status.config >= version => continue,
            Ok(status) => format!("{node} has version {}", status.config),
            Err(e) => format!("{node} is {e}"),
        };
        behind.push((node, state));
    }
    behind
}

/// Waits until a draining node no longer accepts connections, for at most
/// `limit`.
///
/// # Errors
///
/// `TimedOut`, with the shards and requests that the node still has.
pub fn until_stopped(
    node: SocketAddr,
    limit: Duration,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let start = env.timer.now();
    loop {
        let answer = env.nodes.statuses(&[node]).pop();
        let elapsed = env.timer.now().saturating_sub(start);
        let state = match answer {
            Some(Ok(s)) => format!(
                "{} shards, {} requests at the upstream, {} queued",
                s.shards, s.busy, s.queued
            ),
            Some(Err(CallError::NotSent(_))) => {
                let elapsed = elapsed.as_millis();
                writeln!(out, "{node} has stopped after {elapsed} ms")?;
                return Ok(());
            }
            Some(Err(e)) => e.to_string(),
            None => String::new(),
        };
        if elapsed >= limit {
            let message = format!(
                "{node} has not stopped after {} s: {state}",
                limit.as_secs()
            );
            return Err(Failure::new(Exit::TimedOut, message));
        }
        env.timer.sleep(POLL_INTERVAL);
    }
}
