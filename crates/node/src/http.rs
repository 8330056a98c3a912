//! One HTTP/1.1 exchange as a client.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};

use crate::wire::{
    Conn, Framing, WireError, keeps_alive, put_number, response_framing,
};

/// Bodies up to this size are copied behind their head, so that a message
/// is one write; copying a larger one costs more than a second write.
pub const COPY_MAX: usize = 16 * 1024;

/// A whole response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the connection can carry another exchange.
    pub keep: bool,
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// Nothing of the request was sent.
    Unsent,
    /// The connection was lost after part of the request was sent.
    Lost,
    /// The response ended before its announced end.
    Cut,
    /// The response is malformed or oversized.
    Malformed(WireError),
}

/// Starts a request head; the caller appends headers and then calls
/// [`exchange`], which appends the length and the end of the head.
#[must_use]
pub fn request_line(method: &Method, path: &str) -> BytesMut {
    let mut out = BytesMut::with_capacity(1024);
    for part in [method.as_str(), " ", path, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    out
}

/// Sends a request and reads the response, of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error that says whether the request may have arrived.
pub async fn exchange(
    conn: &mut Conn,
    method: &Method,
    mut head: BytesMut,
    body: Bytes,
    limit: usize,
) -> Result<Response, ExchangeError> {
    let has_body = !matches!(
        *method,
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
    );
    if has_body || !body.is_empty() {
        put_number(&mut head, "content-length", body.len() as u64);
    }
    head.extend_from_slice(b"\r\n");
    send(conn, head, body).await?;
    receive(conn, method, limit).await
}

async fn send(
    conn: &mut Conn,
    mut head: BytesMut,
    body: Bytes,
) -> Result<(), ExchangeError> {
    let copied = body.len() <= COPY_MAX;
    if copied {
        head.extend_from_slice(&body);
    }
    let mut head = head.freeze();
    let sent = conn.write_some(head.clone()).await;
    let sent = sent.map_err(|_| ExchangeError::Unsent)?;
    let rest = head.split_off(sent);
    if !rest.is_empty() {
        conn.write(rest).await.map_err(|_| ExchangeError::Lost)?;
    }
    if !copied {
        conn.write(body).await.map_err(|_| ExchangeError::Lost)?;
    }
    Ok(())
}

async fn receive(
    conn: &mut Conn,
    method: &Method,
    limit: usize,
) -> Result<Response, ExchangeError> {
    let head = conn.response_head().await.map_err(|error| match error {
        WireError::Closed => ExchangeError::Lost,
        other => ExchangeError::Malformed(other),
    })?;
    let framing = response_framing(method, head.status, &head.headers)
        .map_err(ExchangeError::Malformed)?;
    let body =
        conn.body(framing, limit).await.map_err(|error| match error {
            WireError::Closed => ExchangeError::Cut,
            other => ExchangeError::Malformed(other),
        })?;
    let keep = keeps_alive(head.version, &head.headers)
        && framing != Framing::Close
        && !conn.has_unread();
    Ok(Response { status: head.status, headers: head.headers, body, keep })
}
