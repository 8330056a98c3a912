//! Memory of the upstreams that are leaving at other nodes.
//!
//! The record of a node in the store names its leaving upstream, so that a
//! later process of the node does not use it again. A restore of the store can
//! take that away at the moment at which the node itself ends. So each node
//! remembers what the others report of their upstreams, and tells a new process
//! what the one before it reported.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::fleet::table::Instance;

/// Time for which an exit is remembered. An upstream serves for some seconds
/// after it has reported its exit.
const REMEMBER_MS: u64 = 60_000;

/// Time for which a new process is told.
const TELL_MS: u64 = 3_000;

/// Most nodes that a datagram names.
const MAX_TOLD_COUNT: usize = 3;

/// An upstream that is leaving.
#[derive(Clone, Debug)]
struct Departure {
    instance: Instance,
    /// The process that reported it.
    incarnation: u64,
    /// When it was last reported.
    reported: Millis,
    /// Until when a later process is told of it.
    tell_until: Option<Millis>,
}

/// The leaving upstreams of other nodes, by node.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_node: BTreeMap<String, Departure>,
}

impl Departures {
    /// Records what a process of a node reports of its upstream. Returns
    /// whether the process is to be told of an exit that it does not know.
    pub(super) fn record(
        &mut self,
        (node, incarnation): (&str, u64),
        departed: Option<Instance>,
        now: Millis,
    ) -> bool {
        if let Some(instance) = departed {
            let departure = Departure {
                instance,
                incarnation,
                reported: now,
                tell_until: None,
            };
            let is_recent =
                |d: &Departure| now.since(d.reported) < REMEMBER_MS;
            self.by_node.retain(|_, departure| is_recent(departure));
            self.by_node.insert(node.to_owned(), departure);
            return false;
        }
        let Some(known) = self.by_node.get_mut(node) else { return false };
        if now.since(known.reported) >= REMEMBER_MS {
            self.by_node.remove(node);
            return false;
        }
        if known.incarnation == incarnation {
            // The process itself has seen the upstream replaced, unless it is
            // the one that is being told.
            if known.tell_until.is_none() {
                self.by_node.remove(node);
            }
            return false;
        }
        known.incarnation = incarnation;
        known.tell_until = Some(now.plus(TELL_MS));
        true
    }

    /// The nodes that are to be told of an exit, and the leaving upstream.
    pub(super) fn recalled(&self, now: Millis) -> Vec<(String, Instance)> {
        let mut told = Vec::new();
        for (node, departure) in &self.by_node {
            if departure.tell_until.is_none_or(|until| until <= now) {
                continue;
            }
            told.push((node.clone(), departure.instance.clone()));
        }
        told.truncate(MAX_TOLD_COUNT);
        told
    }
}
