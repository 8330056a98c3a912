//! Waiting until nodes show a change.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::exit::{Exit, Failure};
use crate::outside::{CallError, Outside};

/// Pause between two rounds of questions to the nodes.
const ROUND: Duration = Duration::from_millis(250);

/// Waits until all nodes report a configuration version of at least
/// `version`, for at most `limit`.
///
/// # Errors
///
/// `Late`, with the nodes that are behind and what each answered last.
pub fn in_force(
    version: u64,
    nodes: &[SocketAddr],
    limit: Duration,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let start = outside.timer.now();
    let mut left = nodes.to_vec();
    loop {
        let behind = behind(version, &left, outside);
        let spent = outside.timer.now().saturating_sub(start);
        if behind.is_empty() {
            let count = nodes.len();
            writeln!(
                out,
                "version {version} is in force at {count} of {count} nodes \
                 after {} ms",
                spent.as_millis()
            )?;
            return Ok(());
        }
        if spent >= limit {
            let states: Vec<String> =
                behind.into_iter().map(|(_, state)| state).collect();
            let message = format!(
                "version {version} is not in force everywhere after {} s: {}",
                limit.as_secs(),
                states.join("; ")
            );
            return Err(Failure::new(Exit::Late, message));
        }
        left = behind.into_iter().map(|(node, _)| node).collect();
        outside.timer.pause(ROUND);
    }
}

/// The nodes that do not report at least `version`, and what each answered.
fn behind(
    version: u64,
    nodes: &[SocketAddr],
    outside: &Outside<'_>,
) -> Vec<(SocketAddr, String)> {
    let mut behind = Vec::new();
    for (&node, answer) in nodes.iter().zip(outside.nodes.statuses(nodes)) {
        let state = match answer {
            Ok(status) if status.config >= version => continue,
            Ok(status) => format!("{node} has version {}", status.config),
            Err(e) => format!("{node} is {e}"),
        };
        behind.push((node, state));
    }
    behind
}

/// Waits until a node that drains accepts no more calls, for at most
/// `limit`.
///
/// # Errors
///
/// `Late`, with what the node still holds.
pub fn stopped(
    node: SocketAddr,
    limit: Duration,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let start = outside.timer.now();
    loop {
        let answer = outside.nodes.statuses(&[node]).pop();
        let spent = outside.timer.now().saturating_sub(start);
        let state = match answer {
            Some(Ok(s)) => format!(
                "{} shards, {} requests at the upstream, {} queued",
                s.shards, s.busy, s.queued
            ),
            Some(Err(CallError::NotSent(_))) => {
                let spent = spent.as_millis();
                writeln!(out, "{node} has stopped after {spent} ms")?;
                return Ok(());
            }
            Some(Err(e)) => e.to_string(),
            None => String::new(),
        };
        if spent >= limit {
            let message = format!(
                "{node} has not stopped after {} s: {state}",
                limit.as_secs()
            );
            return Err(Failure::new(Exit::Late, message));
        }
        outside.timer.pause(ROUND);
    }
}
