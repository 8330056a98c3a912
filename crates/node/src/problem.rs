//! Encodes refusals as RFC 9457 problem documents.

use bytes::Bytes;
use http::StatusCode;
use lagoondyke_core::verdict::{Reason, Refusal};
use serde::Serialize;

/// Media type of problem documents, for `Content-Type`.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Prefix of the `type` member, which ends in the name of the reason.
pub const TYPE_PREFIX: &str = "urn:lagoondyke:problem:";

/// The members of a problem document. `verdict` and `reason` are extensions.
#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    verdict: lagoondyke_core::verdict::Verdict,
    reason: Reason,
}

/// The problem document of a refusal that is sent with `status`.
///
/// # Panics
///
/// Never panics: the document has only string keys and finite numbers.
#[must_use]
pub fn document(refusal: &Refusal, status: StatusCode) -> Bytes {
    let document = Document {
        r#type: format!("{TYPE_PREFIX}{}", refusal.reason.name()),
        title: title(refusal.reason),
        status: status.as_u16(),
        detail: &refusal.detail,
        verdict: refusal.verdict,
        reason: refusal.reason,
    };
    serde_json::to_vec(&document)
        .expect("problem document must be encodable")
        .into()
}

/// The value of `Retry-After`: whole seconds, rounded up, at least 1; `None`
/// without a suggested delay.
#[must_use]
pub fn retry_after_secs(refusal: &Refusal) -> Option<u32> {
    refusal.retry_after.map(|ms| ms.div_ceil(1_000).max(1))
}

/// Whether a response body is a problem document that says that a fencing
/// token was rejected: the last part of its `type` contains `fence`.
#[must_use]
pub fn is_fence_rejection(body: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return false;
    };
    let type_uri = value.get("type").and_then(|uri| uri.as_str());
    let last = type_uri.and_then(|uri| uri.rsplit([':', '/', '#']).next());
    last.is_some_and(|last| last.contains("fence"))
}

fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "Malformed request",
        Reason::UnknownService => "Unknown service",
        Reason::UnknownKey => "Unknown key",
        Reason::ConfigStale => "Configuration may be out of date",
        Reason::NoOwner => "No owner",
        Reason::NotOwner => "Not the owner",
        Reason::Moving => "Key is moving",
        Reason::Overloaded => "Overloaded",
        Reason::DeadlineBefore => "Deadline passed before dispatch",
        Reason::DeadlineAfter => "Deadline passed after dispatch",
        Reason::ConnectFailed => "Connection failed",
        Reason::Fenced => "Fencing token rejected",
        Reason::ConnectionLost => "Connection lost",
        Reason::AnswerCut => "Answer cut off",
        Reason::LeaseLost => "Lease lost",
        Reason::ScopeRequired => "Idempotency scope required",
        Reason::ScopeUnknown => "Idempotency scope unknown",
        Reason::InProgress => "Request in progress",
        Reason::AlreadyRan => "Request already ran",
        Reason::Poisoned => "Request crashes upstreams",
        Reason::Cancelled => "Request cancelled",
        Reason::Shed => "Upstream refused the request",
    }
}
