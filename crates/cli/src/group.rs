//! `lagoondyke group reset`: gives a new leader to a group whose leader and
//! standbys are all permanently lost.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_core::clock::{LEASE_TERM_MS, PROMISE_TERM_MS, with_drift};
use lagoondyke_core::id::{Epoch, NodeAddr};
use lagoondyke_core::record::{Record, Tenure, object_name};

use crate::apply::Update;
use crate::environment::Environment;
use crate::exit::{Exit, Failure};

/// The reset that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reset {
    /// Name of the group's service.
    pub service: String,
    /// The group's index within the service.
    pub index: u16,
    /// Peer address of the new leader, a running node of the service.
    pub leader: SocketAddr,
    /// Peer addresses of nodes that the operator declares permanently lost.
    pub lost: Vec<SocketAddr>,
}

impl Reset {
    /// Returns the record after the reset. `writer` identifies this update.
    ///
    /// # Errors
    ///
    /// `Unsafe` unless each node in the record is declared lost and the new
    /// leader is not among them.
    pub fn plan(&self, old: &Record, writer: u64) -> Result<Record, Failure> {
        let refuse = |message| Err(Failure::new(Exit::Unsafe, message));
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
            return refuse("epoch cannot be increased further".to_owned());
        };
        Ok(Record {
            epoch: Epoch(epoch),
            leader: NodeAddr(self.leader),
            standbys: Vec::new(),
            writer,
            // Leases granted by the lost leader may be valid for one more
            // term.
            tenure: Tenure::Ceded,
        })
    }

    /// Reads the record, checks that the lost nodes do not answer, and
    /// updates the record. `writer` is a random number that identifies this
    /// update.
    ///
    /// # Errors
    ///
    /// See [`Exit`].
    pub fn run(
        &self,
        writer: u64,
        env: &Environment<'_>,
        out: &mut dyn Write,
    ) -> Result<(), Failure> {
        let name = object_name(&self.service, self.index);
        let Some(object) = env.store()?.read(&name)? else {
            let message = format!("store has no record {name}");
            return Err(Failure::new(Exit::Invalid, message));
        };
        let old = Record::decode(&object.value)
            .map_err(|e| Failure::new(Exit::Invalid, e.to_string()))?;
        let new = self.plan(&old, writer)?;
        for node in [&[old.leader][..], &old.standbys].concat() {
            if env.nodes.accepts(node.0) {
                let message = format!(
                    "{node} accepts connections, so it is not lost; nothing \
                     was changed"
                );
                return Err(Failure::new(Exit::Unsafe, message));
            }
        }
        // A node that was lost just before may have granted leases that
        // members still hold.
        let wait_ms = with_drift(PROMISE_TERM_MS) + with_drift(LEASE_TERM_MS);
        env.timer.sleep(Duration::from_millis(wait_ms));
        let update = Update {
            name: &name,
            expect: object.version,
            value: &new.encode(),
        };
        let version = update.send(env)?;
        writeln!(
            out,
            "{name}: version {version} names {} as leader in epoch {}",
            new.leader, new.epoch
        )?;
        Ok(())
    }
}
