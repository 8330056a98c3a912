//! The group record in the store.
//!
//! A record is never deleted: a node that finds none creates the first one and
//! assumes that no lease was ever granted in the group.
//!
//! A record names a group's leader, its standbys and the epoch. It is changed
//! only by an update conditional on the version that the writer read. Each
//! write carries a new random `writer` id, so that a node that lost the answer
//! to its update recognises the update when it reads the record back.
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

/// Largest group record that is accepted.
pub const MAX_RECORD_BYTES: usize = 4_096;

/// A group's leader, standbys and epoch, as stored.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Increases by at least one with each change of leader.
    pub epoch: Epoch,
    /// The node that grants the group's leases.
    pub leader: NodeAddr,
    /// The nodes that may take over. The leader has authority only while each
    /// of them has promised not to.
    pub standbys: Vec<NodeAddr>,
    /// Random id of the write that produced this record, by which a writer
    /// recognises its own update.
    pub writer: u64,
    /// Whether the leader has given up the group. A record without this field
    /// is of a group that is led.
    #[serde(default)]
    pub tenure: Tenure,
}

/// Whether the leader of a group has given up its authority.
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
    /// The leader named in the record may be granting leases.
    #[default]
    Led,
    /// The previous leader gave up its authority before this write and chose
    /// the node named as leader, which should take over at once; any other
    /// node waits first. Leases of the previous leader may be valid for one
    /// more lease term.
    Ceded,
    /// The previous leader gave up its authority and none of its leases is
    /// valid. Any node may take over at once.
    Vacant,
}

/// Why a record read from the store cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The encoded record is larger than [`MAX_RECORD_BYTES`].
    TooLarge {
        /// Size of the encoded record, in bytes.
        size: usize,
    },
    /// The bytes are not JSON of the shape of a [`Record`].
    Malformed {
        /// The parser's message, with line and column.
        message: String,
    },
    /// The leader is also named as a standby, or a standby is named twice.
    Duplicate {
        /// The node that is named twice.
        node: NodeAddr,
    },
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size } => write!(
                f,
                "group record has {size} bytes, limit is {MAX_RECORD_BYTES}"
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
    /// Decodes a record read from the store and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the record exceeds [`MAX_RECORD_BYTES`], is
    /// malformed, has an unknown field, or names a node twice.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
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

    /// Encodes the record as JSON for the store.
    ///
    /// # Panics
    ///
    /// Never panics: the record has only string keys and finite numbers.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record always encodes")
    }
}

/// Name of the store object that holds the record of group `index` of a
/// service.
#[must_use]
pub fn object_name(service: impl AsRef<str>, index: u16) -> String {
    format!("groups/{}/{index}", service.as_ref())
}
