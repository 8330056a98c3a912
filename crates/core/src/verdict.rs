//! Refusals: why a request failed and whether it may have run.
//!
//! Every failure says whether the request may have run at an upstream. Only a
//! request that did not run, or an idempotent one, is ever retried.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::verdict::{Reason, Refusal, Verdict};
//!
//! let refusal = Refusal::new(Reason::Overloaded, "queue is full");
//! assert_eq!(refusal.verdict, Verdict::NotRun);
//! assert_eq!(refusal.reason.status(), 503);
//! ```

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, in full or in part.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A header or the body is malformed or over its limit.
    BadRequest,
    /// No service of this name is configured.
    UnknownService,
    /// No client account holds the key of the request.
    UnknownKey,
    /// The node cannot prove that its configuration is the latest one.
    ConfigStale,
    /// No node owns the key at present.
    NoOwner,
    /// This node does not own the key; the ingress locates the owner again.
    NotOwner,
    /// The shard is moving to another node.
    Moving,
    /// The upstream cannot take more work now.
    Overloaded,
    /// The deadline passed before the request was dispatched.
    DeadlineBefore,
    /// The deadline passed after the request was dispatched.
    DeadlineAfter,
    /// No connection to the upstream or peer could be made.
    ConnectFailed,
    /// The upstream rejected the request's fencing token.
    Fenced,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The answer ended before its announced length.
    AnswerCut,
    /// The lease ended while the request was in flight.
    LeaseLost,
    /// A non-idempotent request with a key lacks an idempotency scope.
    ScopeRequired,
    /// The process or generation that the idempotency scope names no longer
    /// exists, and its records with it.
    ScopeUnknown,
    /// A request with the same idempotency key is in flight.
    InProgress,
    /// The request with this idempotency key ran before; its answer is not
    /// kept.
    AlreadyRan,
    /// Requests with the same fingerprint crashed upstreams.
    Poisoned,
    /// The caller disconnected before the answer.
    Cancelled,
    /// The upstream itself refused the request without running it.
    Shed,
}

impl Reason {
    /// The verdict that this reason implies at the node that decided it.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::DeadlineAfter
            | Self::ConnectionLost
            | Self::AnswerCut
            | Self::LeaseLost
            | Self::ScopeUnknown
            | Self::InProgress
            | Self::AlreadyRan
            | Self::Cancelled => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// The HTTP status code of the refusal that a caller receives.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownService => 404,
            Self::UnknownKey => 401,
            Self::ScopeUnknown | Self::InProgress | Self::AlreadyRan => 409,
            Self::ScopeRequired => 428,
            Self::Cancelled => 499,
            Self::ConnectFailed
            | Self::ConnectionLost
            | Self::AnswerCut
            | Self::LeaseLost => 502,
            Self::DeadlineBefore | Self::DeadlineAfter => 504,
            _ => 503,
        }
    }

    /// The reason's name in problem documents, metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::UnknownKey => "unknown-key",
            Self::ConfigStale => "config-stale",
            Self::NoOwner => "no-owner",
            Self::NotOwner => "not-owner",
            Self::Moving => "moving",
            Self::Overloaded => "overloaded",
            Self::DeadlineBefore => "deadline-before",
            Self::DeadlineAfter => "deadline-after",
            Self::ConnectFailed => "connect-failed",
            Self::Fenced => "fenced",
            Self::ConnectionLost => "connection-lost",
            Self::AnswerCut => "answer-cut",
            Self::LeaseLost => "lease-lost",
            Self::ScopeRequired => "scope-required",
            Self::ScopeUnknown => "scope-unknown",
            Self::InProgress => "in-progress",
            Self::AlreadyRan => "already-ran",
            Self::Poisoned => "poisoned",
            Self::Cancelled => "cancelled",
            Self::Shed => "shed",
        }
    }
}

/// A refused request: the error type of the request path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence for the caller, sent as the problem document's `detail`.
    pub detail: String,
    /// Milliseconds after which a new attempt makes sense; `None` if no delay
    /// is suggested.
    pub retry_after: Option<u32>,
    /// The idempotency scope to send with the next attempt; `None` if the
    /// refusal has nothing to do with idempotency keys.
    pub scope: Option<String>,
}

impl Refusal {
    /// A refusal with the verdict that the reason implies.
    #[must_use]
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: reason.verdict(),
            detail: detail.into(),
            retry_after: None,
            scope: None,
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.reason.name(), self.detail)
    }
}

impl std::error::Error for Refusal {}
