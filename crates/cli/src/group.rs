//! `lagoondyke group reset`: a new leader for a group whose leader and
//! standbys are all lost for good.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_core::clock::{LEASE_TERM_MS, PROMISE_TERM_MS, with_drift};
use lagoondyke_core::id::{Epoch, NodeAddr};
use lagoondyke_core::record::{Record, Tenure, object_name};

use crate::apply::Change;
use crate::exit::{Exit, Failure};
use crate::outside::Outside;

/// The reset that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reset {
    /// The group's service.
    pub service: String,
    /// The group's index within the service.
    pub index: u16,
    /// The node that is to lead; runs and serves this service.
    pub leader: SocketAddr,
    /// Nodes that the operator declares lost for good.
    pub lost: Vec<SocketAddr>,
}

impl Reset {
    /// The record after the reset.
    ///
    /// # Errors
    ///
    /// `Refused` unless each node in the record is declared lost and the new
    /// leader is not among them.
    pub fn plan(&self, old: &Record, writer: u64) -> Result<Record, Failure> {
        let refuse = |message| Err(Failure::new(Exit::Refused, message));
        for node in [&[old.leader][..], &old.standbys].concat() {
            if !self.lost.contains(&node.0) {
                return refuse(format!(
                    "record names {node}, which --confirm-lost does not; the \
                     group recovers by itself if any of its leader and \
                     standbys runs; nothing was changed"
                ));
            }
        }
        if self.lost.contains(&self.leader) {
            return refuse(format!(
                "new leader {} is among the lost nodes; nothing was changed",
                self.leader
            ));
        }
        let Some(epoch) = old.epoch.0.checked_add(1) else {
            return refuse("epoch cannot grow further".to_owned());
        };
        Ok(Record {
            epoch: Epoch(epoch),
            leader: NodeAddr(self.leader),
            standbys: Vec::new(),
            writer,
            // Leases that the lost leader granted may last one more term.
            tenure: Tenure::Ceded,
        })
    }

    /// Reads the record, checks that the lost nodes do not answer, and
    /// updates the record. `writer` is drawn at random.
    ///
    /// # Errors
    ///
    /// See [`Exit`].
    pub fn run(
        &self,
        writer: u64,
        outside: &Outside<'_>,
        out: &mut dyn Write,
    ) -> Result<(), Failure> {
        let name = object_name(&self.service, self.index);
        let Some(object) = outside.store()?.read(&name)? else {
            let message = format!("store has no record {name}");
            return Err(Failure::new(Exit::Invalid, message));
        };
        let old = Record::decode(&object.value)
            .map_err(|e| Failure::new(Exit::Invalid, e.to_string()))?;
        let new = self.plan(&old, writer)?;
        for node in [&[old.leader][..], &old.standbys].concat() {
            if outside.nodes.accepts(node.0) {
                let message = format!(
                    "{node} accepts connections, so it is not lost; nothing \
                     was changed"
                );
                return Err(Failure::new(Exit::Refused, message));
            }
        }
        // A node that was lost a moment ago may have granted leases that
        // members still hold.
        let span = with_drift(PROMISE_TERM_MS) + with_drift(LEASE_TERM_MS);
        outside.timer.pause(Duration::from_millis(span));
        let change = Change {
            name: &name,
            expect: object.version,
            value: &new.encode(),
        };
        let version = change.make(outside)?;
        writeln!(
            out,
            "{name}: version {version} names {} as leader in epoch {}",
            new.leader, new.epoch
        )?;
        Ok(())
    }
}
