//! Frames exchanged by nodes over TCP.
//!
//! A node that does not own a request's key forwards the request to the
//! owner's node, over one multiplexed connection per peer. A frame consists
//! of
//!
//! 1. its length after this field, as a big-endian `u32`,
//! 2. the length of the head, as a big-endian `u32`,
//! 3. the head: the postcard encoding of a [`Frame`],
//! 4. the body, as plain bytes.
//!
//! Answers may come in any order; their `id` names the request.
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

/// Largest body of a request or an answer.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Largest frame, without its length field: the largest body, and 64 KiB for
/// the head.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 64 * 1024;

/// The head of a frame.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Asks the receiver to run a request. The frame's body is the body of
    /// the request.
    Request(RequestFrame),
    /// The whole answer to a request. The frame's body is the body of the
    /// answer.
    Answer(AnswerFrame),
    /// The request was refused or failed; there is no answer.
    Refused {
        /// The request's [`RequestFrame::id`].
        id: u64,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// The sender of a request no longer waits for the answer.
    Cancel {
        /// The request's [`RequestFrame::id`].
        id: u64,
    },
    /// Asks for the configuration document of an operator.
    FetchConfig {
        /// Chosen by the sender; the answer repeats it.
        id: u64,
        /// Name of the operator.
        operator: String,
    },
    /// The answer to a [`Frame::FetchConfig`]. The frame's body is the
    /// document.
    Config {
        /// The id of the [`Frame::FetchConfig`].
        id: u64,
        /// Store version of the document; 0 if the sender has none.
        version: u64,
    },
    /// Asks whether the receiver's process still runs. An open connection
    /// does not show it, since a frozen process keeps its connections open.
    Ping {
        /// Chosen by the sender; the answer repeats it.
        id: u64,
    },
    /// The answer to a [`Frame::Ping`].
    Pong {
        /// The id of the [`Frame::Ping`].
        id: u64,
    },
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestFrame {
    /// Chosen by the sender, unique on the connection.
    pub id: u64,
    /// Name of the service that the request is for.
    pub service: String,
    /// Hash of the request's key; `None` if the caller named no key.
    pub key: Option<KeyHash>,
    /// Milliseconds left until the caller's deadline when the frame is sent.
    pub deadline: u32,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub token: Option<String>,
    /// The idempotency scope that the caller sent; see
    /// [`crate::request::dedupe`].
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs; `None` if the caller
    /// named none.
    pub partner: Option<String>,
    /// Identifies equal requests, to find those that crash upstreams.
    pub fingerprint: Fingerprint,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request's URL.
    pub path: String,
    /// Names and values of the headers to pass on to the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// W3C trace context of the sending node; `None` if the request is not
    /// traced.
    pub trace: Option<String>,
}

/// The answer to a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerFrame {
    /// The request's [`RequestFrame::id`].
    pub id: u64,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Names and values of the headers from the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The idempotency scope of the answering node, for later requests of
    /// the caller.
    pub scope: Option<String>,
    /// The shard under which the request ran; `None` if its service is not
    /// partitioned by key.
    pub shard: Option<Shard>,
}

/// Why a frame cannot be used or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    TooLarge {
        /// Size of the frame in bytes, without its length field.
        size: usize,
    },
    /// The frame ends before the end of its head.
    Truncated,
    /// The head cannot be decoded as a [`Frame`], or encoded.
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size } => {
                write!(
                    f,
                    "peer frame has {size} bytes, limit is {MAX_FRAME_BYTES}"
                )
            }
            Self::Truncated => f.write_str("peer frame is truncated"),
            Self::Malformed => f.write_str("peer frame head is malformed"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes `frame` and `body` with the length fields.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame, body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(frame, vec![0; 8])
        .map_err(|_| FrameError::Malformed)?;
    let head_len = bytes.len() - 8;
    let size = 4 + head_len + body.len();
    if size > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { size });
    }
    bytes[..4].copy_from_slice(&(size as u32).to_be_bytes());
    bytes[4..8].copy_from_slice(&(head_len as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Decodes a frame, given without its length field, into head and body.
///
/// # Errors
///
/// Returns an error if the frame is oversized, truncated or malformed.
pub fn decode(bytes: &[u8]) -> Result<(Frame, &[u8]), FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { size: bytes.len() });
    }
    let (head_len, rest) =
        bytes.split_first_chunk::<4>().ok_or(FrameError::Truncated)?;
    let head_len = u32::from_be_bytes(*head_len) as usize;
    let head = rest.get(..head_len).ok_or(FrameError::Truncated)?;
    let (frame, unread) =
        postcard::take_from_bytes(head).map_err(|_| FrameError::Malformed)?;
    if !unread.is_empty() {
        return Err(FrameError::Malformed);
    }
    Ok((frame, &rest[head_len..]))
}
