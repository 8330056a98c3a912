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

/// Starts a request head in [`Conn::out`]; the caller appends headers and
/// then calls [`exchange`].
pub fn request_line(out: &mut BytesMut, method: &Method, path: &str) {
    for part in [method.as_str(), " ", path, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Sends the request whose head is in [`Conn::out`] and reads the response,
/// of at most `limit` bytes. Appends the length and the end of the head.
///
/// # Errors
///
/// Returns an error that says whether the request may have arrived.
pub async fn exchange(
    conn: &mut Conn,
    method: &Method,
    body: Bytes,
    limit: usize,
) -> Result<Response, ExchangeError> {
    let bodiless = matches!(
        *method,
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
    );
    if !bodiless || !body.is_empty() {
        let size = body.len() as u64;
        put_number(conn.out(), "content-length", size);
    }
    conn.out().extend_from_slice(b"\r\n");
    let copied = body.len() <= COPY_MAX;
    if copied {
        conn.out().extend_from_slice(&body);
    }
    conn.flush().await.map_err(|sent| {
        if sent { ExchangeError::Lost } else { ExchangeError::Unsent }
    })?;
    if !copied {
        conn.write(body).await.map_err(|_| ExchangeError::Lost)?;
    }
    receive(conn, method, limit).await
}

/// Reads the response to a request that has been sent.
///
/// # Errors
///
/// Returns an error that says how far the response came.
pub async fn receive(
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
