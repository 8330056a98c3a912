//! Formats the output of commands: tables, JSON and explanations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use lagoondyke_core::status::{KeyLocation, Status};
use serde_json::{Value, json};

use crate::environment::CallError;

/// Address of a node and its answer to a status query.
pub type NodeAnswer = (SocketAddr, Result<Status, CallError>);

/// Formats rows as a table with aligned columns. The first row is the header.
///
/// # Example
///
/// ```
/// use lagoondyke_cli::render::table;
///
/// let rows = [vec!["NODE", "SHARDS"], vec!["a", "12"]];
/// let rows: Vec<Vec<String>> = rows
///     .iter()
///     .map(|r| r.iter().map(|&s| s.to_owned()).collect())
///     .collect();
/// assert_eq!(table(&rows), "NODE  SHARDS\na     12\n");
/// ```
#[must_use]
pub fn table(rows: &[Vec<String>]) -> String {
    let mut widths = Vec::new();
    for row in rows {
        widths.resize(widths.len().max(row.len()), 0);
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (&width, cell) in widths.iter().zip(row) {
            let _ = write!(line, "{cell:width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// Formats the status of nodes as a table, followed by the members of each
/// leader among them.
#[must_use]
pub fn status_table(answers: &[NodeAnswer]) -> String {
    let mut rows = vec![header_row(&[
        "NODE", "DOMAIN", "SERVICE", "CONFIG", "LEADER", "EPOCH", "LEASE",
        "SHARDS", "BUSY", "QUEUED", "LIMIT", "STATE",
    ])];
    for (node, answer) in answers {
        rows.push(match answer {
            Ok(status) => status_row(*node, status),
            Err(e) => vec![format!("{node}  {e}")],
        });
    }
    let mut out = table_with_notes(&rows);
    let _ = writeln!(out, "{}", summary(answers));
    for (node, answer) in answers {
        let Ok(status) = answer else { continue };
        if status.leads {
            let _ = writeln!(out, "\nMembers of the leader {node}:");
            out.push_str(&member_table(status));
        }
    }
    out
}

/// Number of nodes in each state, and the versions of their configuration.
fn summary(answers: &[NodeAnswer]) -> String {
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    let mut versions = BTreeSet::new();
    for (_, answer) in answers {
        let state = match answer {
            Ok(status) => {
                versions.insert(status.config);
                node_state(status)
            }
            Err(_) => "without an answer",
        };
        *states.entry(state).or_default() += 1;
    }
    let states: Vec<String> =
        states.iter().map(|(name, count)| format!("{count} {name}")).collect();
    let versions: Vec<String> =
        versions.iter().map(ToString::to_string).collect();
    let mut text = format!("{} nodes: {}", answers.len(), states.join(", "));
    if let [version] = versions.as_slice() {
        let _ = write!(text, "; configuration {version}");
    } else if !versions.is_empty() {
        let list = versions.join(", ");
        let _ = write!(text, "; configurations differ: {list}");
    }
    text
}

/// Formats rows as a table, followed by the rows that have one cell only, each
/// as a line of its own.
fn table_with_notes(rows: &[Vec<String>]) -> String {
    let full_rows: Vec<Vec<String>> =
        rows.iter().filter(|r| r.len() > 1).cloned().collect();
    let mut out = table(&full_rows);
    for row in rows {
        if let [note] = row.as_slice() {
            out.push_str(note);
            out.push('\n');
        }
    }
    out
}

fn status_row(node: SocketAddr, s: &Status) -> Vec<String> {
    let leader = s.leader.map_or("-".to_owned(), |l| l.to_string());
    let shards = if s.revoked == 0 {
        s.shards.to_string()
    } else {
        format!("{} (-{})", s.shards, s.revoked)
    };
    vec![
        node.to_string(),
        s.domain.clone(),
        s.service.clone(),
        s.config.to_string(),
        if s.leads { "itself".to_owned() } else { leader },
        s.epoch.to_string(),
        format!("{} ms", s.lease),
        shards,
        s.busy.to_string(),
        s.queued.to_string(),
        s.limit.to_string(),
        node_state(s).to_owned(),
    ]
}

/// State of a node in one or two words; the most important if several apply.
#[must_use]
pub fn node_state(s: &Status) -> &'static str {
    match s {
        Status { leaving: true, .. } => "leaving",
        Status { config: 0, .. } => "no configuration",
        Status { upstream: false, .. } => "upstream down",
        Status { lease: 0, .. } => "no lease",
        _ => "ready",
    }
}

/// Formats the members that a leader reports as a table.
fn member_table(status: &Status) -> String {
    let mut rows = vec![header_row(&[
        "MEMBER", "DOMAIN", "SHARDS", "BUSY", "LIMIT", "SILENT", "STATE",
    ])];
    for m in &status.members {
        let state = if m.leaving { "leaving" } else { "member" };
        rows.push(vec![
            m.node.to_string(),
            m.domain.clone(),
            m.shards.to_string(),
            m.busy.to_string(),
            m.limit.to_string(),
            format!("{} ms", m.silent),
            state.to_owned(),
        ]);
    }
    table(&rows)
}

fn header_row(names: &[&str]) -> Vec<String> {
    names.iter().map(|&n| n.to_owned()).collect()
}

/// Formats the status of nodes as a JSON array of `{node, status}` or
/// `{node, error}`.
#[must_use]
pub fn status_json(answers: &[NodeAnswer]) -> String {
    let mut list = Vec::new();
    for (node, answer) in answers {
        list.push(match answer {
            Ok(status) => json!({ "node": node, "status": status }),
            Err(e) => json!({ "node": node, "error": e.to_string() }),
        });
    }
    format!("{:#}\n", Value::Array(list))
}

/// Explains step by step how a node finds the owner of a key.
#[must_use]
pub fn explain(service: &str, key: &str, at: &KeyLocation) -> String {
    let mut steps = Vec::new();
    if at.config == 0 {
        steps.push("The node has no configuration yet.".to_owned());
    } else {
        steps.push(format!("Configuration {} is in force.", at.config));
    }
    if !at.known {
        steps.push(format!("It has no service {service:?}."));
    } else if at.keyed {
        steps.push(format!("Service {service} is partitioned by key."));
        let hash = at.hash.0;
        let shard = at.shard;
        steps.push(format!("Key {key:?} has hash {hash:016x}."));
        steps.push(if at.pinned {
            format!("The key is hot and has shard {shard} of its own.")
        } else {
            format!("The hash falls into shard {shard}.")
        });
        steps.push(format!("Group {} decides who owns it.", at.group));
        steps.push(explain_leader(at));
        steps.push(match at.owner {
            Some(owner) => format!("Node {owner} owns the key."),
            None => "The node knows no owner of the key yet.".to_owned(),
        });
    } else {
        steps.push(format!("Any upstream of {service} serves any key."));
    }
    let mut out = String::new();
    for (i, step) in steps.iter().enumerate() {
        let _ = writeln!(out, "{}. {step}", i + 1);
    }
    out
}

fn explain_leader(at: &KeyLocation) -> String {
    match at.leader {
        Some(leader) => format!("{leader} leads it in epoch {}.", at.epoch),
        None => "The node does not know its leader yet.".to_owned(),
    }
}
