//! Endpoints for operators, on the callers' listener.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use lagoondyke_core::id::KeyHash;
use monoio_http::common::request::RequestHead;

use crate::message::{KEY, SERVICE};
use crate::serve::Served;
use crate::shell::Shell;

/// Path of the questions for owners; a service's name follows.
const OWNER: &str = "/lagoondyke/owner/";

/// First segment of the paths that are the node's and the upstream's own.
const RESERVED: &str = "lagoondyke";

/// The answer of an operator endpoint; `None` if the request is a caller's.
#[must_use]
pub fn answer(shell: &Shell, head: &RequestHead) -> Option<Served> {
    if head.headers.contains_key(SERVICE) {
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
            respond(StatusCode::OK, "application/json", body)
        }
        "/lagoondyke/health" if get => {
            respond(StatusCode::OK, "text/plain", "running\n")
        }
        "/lagoondyke/ready" if get => ready(shell),
        _ if get && path.starts_with(OWNER) => owner(shell, head),
        "/metrics" if get => {
            shell.sample();
            let text = shell.metrics().render();
            respond(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        "/lagoondyke/drain" if head.method == Method::PUT => {
            shell.stop();
            respond(StatusCode::ACCEPTED, "text/plain", "draining\n")
        }
        _ => respond(StatusCode::NOT_FOUND, "text/plain", "not found\n"),
    })
}

/// Where this node would send a request for the key in the header.
fn owner(shell: &Shell, head: &RequestHead) -> Served {
    let service = &head.uri.path()[OWNER.len()..];
    let Some(key) = head.headers.get(KEY) else {
        let text = "the header Lagoondyke-Key is missing\n";
        return respond(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let at = shell.locate(service, KeyHash::of(key.as_bytes()));
    let body = serde_json::to_vec(&at).unwrap_or_default();
    respond(StatusCode::OK, "application/json", body)
}

fn ready(shell: &Shell) -> Served {
    let status = shell.status();
    if status.config == 0 {
        let text = "no configuration is in force\n";
        return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    }
    if status.lease == 0 {
        let text = "the node holds no lease\n";
        return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    }
    respond(StatusCode::OK, "text/plain", "ready\n")
}

fn respond(
    status: StatusCode,
    media: &'static str,
    body: impl Into<Bytes>,
) -> Served {
    let mut headers = HeaderMap::new();
    let media = HeaderValue::from_static(media);
    headers.insert(header::CONTENT_TYPE, media);
    let body = body.into();
    Served { status, headers, body, node: None, scope: None }
}

/// Whether a path reaches the endpoints under `/lagoondyke/` of an
/// upstream, which would let a caller install fences. The path is judged
/// as an upstream may normalise it.
#[must_use]
pub fn is_reserved(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let plain =
        !path.contains('%') && !path.contains("//") && !path.contains("/.");
    if plain {
        let first = path.split('/').nth(1).unwrap_or_default();
        return first.eq_ignore_ascii_case(RESERVED);
    }
    let mut segments = Vec::new();
    for segment in decode(path).split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            other => segments.push(other.to_ascii_lowercase()),
        }
    }
    segments.first().is_some_and(|first| first == RESERVED)
}

fn decode(path: &str) -> String {
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
