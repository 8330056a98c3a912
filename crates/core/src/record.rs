//! The group record kept in the store.
//!
//! A record is never deleted: a node that finds none creates the first one
//! and takes for granted that no lease was ever given.
//!
//! A record names a group's leader, its standbys and the epoch. It changes
//! only by conditional update on the version that the writer read. `writer`
//! is drawn anew for each write, so that a writer whose answer was lost
//! recognises its own update when it reads the record back.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::record::{Record, object_name};
//!
//! assert_eq!(object_name("katalog", 3), "groups/katalog/3");
//! assert!(Record::decode(b"{}").is_err());
//! ```

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, NodeAddr};

/// Largest group record that is accepted, in bytes.
pub const RECORD_MAX: usize = 4_096;

/// A group's leader, standbys and epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Grows by one with each change of leader.
    pub epoch: Epoch,
    /// The node that grants leases.
    pub leader: NodeAddr,
    /// The nodes that may take over; each must promise not to.
    pub standbys: Vec<NodeAddr>,
    /// Random id of the write that produced this record.
    pub writer: u64,
    /// Whether the leader has given up the group.
    #[serde(default)]
    pub tenure: Tenure,
}

/// Whether the leader in a record has given up its authority.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Tenure {
    /// The leader may be granting leases.
    #[default]
    Led,
    /// The previous leader left before this write. The node named as leader
    /// should take over at once, any other node after a pause. Leases of
    /// the previous leader may last for one more term.
    Ceded,
    /// The previous leader left and no lease lasts. Any node may take over.
    Vacant,
}

/// Why a record from the store cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The record is larger than [`RECORD_MAX`].
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// The record is not valid JSON of the expected shape.
    Malformed {
        /// What the parser reported, with line and column.
        message: String,
    },
    /// The leader is named among its own standbys, or one twice.
    Duplicate {
        /// The repeated node.
        node: NodeAddr,
    },
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size } => write!(
                f,
                "group record has {size} bytes, limit is {RECORD_MAX}"
            ),
            Self::Malformed { message } => {
                write!(f, "group record is malformed: {message}")
            }
            Self::Duplicate { node } => {
                write!(f, "group record names node {node} twice")
            }
        }
    }
}

impl std::error::Error for RecordError {}

impl Record {
    /// Decodes a record read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is oversized, malformed, has an
    /// unknown field, or names a node twice.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > RECORD_MAX {
            return Err(RecordError::TooLarge { size: bytes.len() });
        }
        let record: Self = serde_json::from_slice(bytes)
            .map_err(|e| RecordError::Malformed { message: e.to_string() })?;
        let mut seen = vec![record.leader];
        for &node in &record.standbys {
            if seen.contains(&node) {
                return Err(RecordError::Duplicate { node });
            }
            seen.push(node);
        }
        Ok(record)
    }

    /// Encodes the record for the store.
    ///
    /// # Panics
    ///
    /// Never panics: the record has only string keys and finite numbers.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record always encodes")
    }
}

/// Name of the store object that holds the record of a group.
#[must_use]
pub fn object_name(service: impl AsRef<str>, index: u16) -> String {
    format!("groups/{}/{index}", service.as_ref())
}
