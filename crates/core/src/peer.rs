//! Frames between nodes over TCP.
//!
//! A node that is not the owner of a request's key forwards the request to
//! the owner's node over one multiplexed connection per peer. A frame is a
//! big-endian `u32` with the length of what follows, a big-endian `u32` with
//! the length of the head, the postcard encoding of [`Frame`], and the body
//! as plain bytes. Answers come back in any order; `id` says which request
//! they belong to.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::peer::{Frame, decode, encode};
//!
//! let bytes = encode(&Frame::Cancel { id: 7 }, b"").unwrap();
//! let (frame, body) = decode(&bytes[4..]).unwrap();
//! assert_eq!(frame, Frame::Cancel { id: 7 });
//! assert!(body.is_empty());
//! ```

use serde::{Deserialize, Serialize};

use crate::id::{Fingerprint, KeyHash, Shard};
use crate::verdict::Refusal;

/// Largest body of a request or an answer, in bytes.
pub const BODY_MAX: usize = 1024 * 1024;

/// Largest frame after its length field, in bytes: a body and its head.
pub const FRAME_MAX: usize = BODY_MAX + 64 * 1024;

/// What a frame says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Run a request; its body follows the head.
    Request(RequestFrame),
    /// The whole answer to a request; its body follows the head.
    Answer(AnswerFrame),
    /// The request was refused.
    Refused {
        /// The request.
        id: u64,
        /// Why, and whether it may have run.
        refusal: Refusal,
    },
    /// The sender no longer wants the answer.
    Cancel {
        /// The request.
        id: u64,
    },
    /// Asks for the configuration document of an operator.
    FetchConfig {
        /// Chosen by the sender; echoed in the answer.
        id: u64,
        /// The operator's name.
        operator: String,
    },
    /// A configuration document; the document is the body.
    Config {
        /// Echo of the request's id.
        id: u64,
        /// Store version of the document; 0 if there is none.
        version: u64,
    },
    /// Asks whether the process still runs; a frozen process keeps its
    /// connections open.
    Ping {
        /// Chosen by the sender; echoed in the answer.
        id: u64,
    },
    /// The answer to a [`Frame::Ping`].
    Pong {
        /// Echo of the ping's id.
        id: u64,
    },
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestFrame {
    /// Chosen by the sender, unique on the connection.
    pub id: u64,
    /// The service's name.
    pub service: String,
    /// The key's hash, for services that are partitioned by key.
    pub key: Option<KeyHash>,
    /// Milliseconds left until the deadline.
    pub deadline: u32,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub token: Option<String>,
    /// The caller's idempotency scope.
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs.
    pub partner: Option<String>,
    /// Identity of the request for poison detection.
    pub fingerprint: Fingerprint,
    /// Request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// W3C trace context of the sending hop.
    pub trace: Option<String>,
}

/// A forwarded answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerFrame {
    /// The request.
    pub id: u64,
    /// HTTP status code.
    pub status: u16,
    /// Headers from the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The owner's current idempotency scope.
    pub scope: Option<String>,
    /// The shard under which the request ran.
    pub shard: Option<Shard>,
}

/// Why a frame cannot be used or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The frame exceeds [`FRAME_MAX`].
    TooLarge {
        /// Its announced size in bytes.
        size: usize,
    },
    /// The frame ends before its announced length.
    Truncated,
    /// The head does not decode as [`Frame`].
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size } => {
                write!(f, "peer frame has {size} bytes, limit is {FRAME_MAX}")
            }
            Self::Truncated => f.write_str("peer frame is truncated"),
            Self::Malformed => f.write_str("peer frame head is malformed"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a frame with its length field and body.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`FRAME_MAX`].
pub fn encode(frame: &Frame, body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(frame, vec![0; 8])
        .map_err(|_| FrameError::Malformed)?;
    let head = bytes.len() - 8;
    let size = 4 + head + body.len();
    if size > FRAME_MAX {
        return Err(FrameError::TooLarge { size });
    }
    bytes[..4].copy_from_slice(&(size as u32).to_be_bytes());
    bytes[4..8].copy_from_slice(&(head as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Decodes a frame without its length field into head and body.
///
/// # Errors
///
/// Returns an error if the frame is oversized, truncated or malformed.
pub fn decode(bytes: &[u8]) -> Result<(Frame, &[u8]), FrameError> {
    if bytes.len() > FRAME_MAX {
        return Err(FrameError::TooLarge { size: bytes.len() });
    }
    let (length, rest) =
        bytes.split_first_chunk::<4>().ok_or(FrameError::Truncated)?;
    let length = u32::from_be_bytes(*length) as usize;
    let head = rest.get(..length).ok_or(FrameError::Truncated)?;
    let (frame, unread) =
        postcard::take_from_bytes(head).map_err(|_| FrameError::Malformed)?;
    if !unread.is_empty() {
        return Err(FrameError::Malformed);
    }
    Ok((frame, &rest[length..]))
}
