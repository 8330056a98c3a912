//! HTTP endpoints for operators, on the same listener as callers' requests.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use lagoondyke_core::id::KeyHash;
use monoio_http::common::request::RequestHead;

use crate::message::{KEY_HEADER, SERVICE_HEADER};
use crate::serve::ServerResponse;
use crate::shell::Shell;

/// Path prefix of the look-up of a key's owner; the service name follows.
const OWNER_PATH: &str = "/lagoondyke/owner/";

/// First path segment of the endpoints that the node and its upstream offer
/// themselves.
const RESERVED_SEGMENT: &str = "lagoondyke";

/// Handles a request to an operator endpoint; `None` if it is a request to
/// route, which names a service or has another path.
#[must_use]
pub fn handle(shell: &Shell, head: &RequestHead) -> Option<ServerResponse> {
    if head.headers.contains_key(SERVICE_HEADER) {
        return None;
    }
    let path = head.uri.path();
    if path != "/metrics" && !path.starts_with("/lagoondyke/") {
        return None;
    }
    let get = head.method == Method::GET || head.method == Method::HEAD;
    Some(match path {
        "/lagoondyke/status" if get => {
            let status = serde_json::to_vec(&shell.status());
            let body = status.unwrap_or_default();
            response(StatusCode::OK, "application/json", body)
        }
        "/lagoondyke/health" if get => {
            response(StatusCode::OK, "text/plain", "running\n")
        }
        "/lagoondyke/ready" if get => ready(shell),
        _ if get && path.starts_with(OWNER_PATH) => owner(shell, head),
        "/metrics" if get => {
            shell.sample();
            let text = shell.metrics().render();
            response(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        "/lagoondyke/drain" if head.method == Method::PUT => {
            shell.stop();
            response(StatusCode::ACCEPTED, "text/plain", "draining\n")
        }
        _ => response(StatusCode::NOT_FOUND, "text/plain", "not found\n"),
    })
}

/// Tells where this node would send a request for the key in the header.
fn owner(shell: &Shell, head: &RequestHead) -> ServerResponse {
    let service = &head.uri.path()[OWNER_PATH.len()..];
    let Some(key) = head.headers.get(KEY_HEADER) else {
        let text = "the header Lagoondyke-Key is missing\n";
        return response(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let location = shell.locate(service, KeyHash::of(key.as_bytes()));
    let body = serde_json::to_vec(&location).unwrap_or_default();
    response(StatusCode::OK, "application/json", body)
}

/// A node is ready while it has a configuration and a lease.
fn ready(shell: &Shell) -> ServerResponse {
    let status = shell.status();
    if status.config == 0 {
        let text = "no configuration is in force\n";
        return response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    }
    if status.lease == 0 {
        let text = "the node holds no lease\n";
        return response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    }
    response(StatusCode::OK, "text/plain", "ready\n")
}

fn response(
    status: StatusCode,
    media_type: &'static str,
    body: impl Into<Bytes>,
) -> ServerResponse {
    let mut headers = HeaderMap::new();
    let media_type = HeaderValue::from_static(media_type);
    headers.insert(header::CONTENT_TYPE, media_type);
    let body = body.into();
    ServerResponse { status, headers, body, node: None, scope: None }
}

/// Whether a path leads to the endpoints under `/lagoondyke/` of an upstream,
/// through which a caller could install fencing tokens. Upstreams may decode
/// and normalise a path, so this does too: percent-encoding, empty and dot
/// segments, backslashes and letter case do not hide the prefix.
#[must_use]
pub fn is_reserved(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let plain =
        !path.contains('%') && !path.contains("//") && !path.contains("/.");
    if plain {
        let first = path.split('/').nth(1).unwrap_or_default();
        return first.eq_ignore_ascii_case(RESERVED_SEGMENT);
    }
    let mut segments = Vec::new();
    for segment in percent_decode(path).split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            other => segments.push(other.to_ascii_lowercase()),
        }
    }
    segments.first().is_some_and(|first| first == RESERVED_SEGMENT)
}

/// Decodes percent-encoded bytes; malformed escapes are kept.
fn percent_decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = path.get(at + 1..at + 3);
        let value = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match value {
            Some(value) if bytes[at] == b'%' => {
                out.push(value);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
