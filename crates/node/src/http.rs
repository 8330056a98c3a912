//! The client side of an HTTP/1.1 exchange: one request and its response.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};

use crate::message::REQUEST_HEADER;
use crate::wire::{
    Conn, Framing, WireError, keeps_alive, put_number, response_framing,
};

/// Largest body that is copied behind its head, so that the message is sent in
/// one write. Copying a larger one costs more than a second write.
pub const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Number of answers to earlier requests that are dropped before the request
/// counts as lost.
const MAX_STALE_ANSWER_COUNT: usize = 3;

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// All headers, including those of the connection.
    pub headers: HeaderMap,
    /// The whole body, without its transfer coding.
    pub body: Bytes,
    /// Whether the connection can be used for another exchange.
    pub keep_alive: bool,
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// No part of the request was sent, so it has not run.
    Unsent,
    /// The connection was lost after part of the request was sent and before
    /// the response head arrived.
    Lost,
    /// The connection ended before the end of the response body.
    Truncated,
    /// The response is malformed or oversized.
    Malformed(WireError),
}

/// Appends the request line to `out`, which is [`Conn::out`]. The caller then
/// appends headers and calls [`exchange`].
pub fn request_line(out: &mut BytesMut, method: &Method, path: &str) {
    for part in [method.as_str(), " ", path, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Sends a request and reads the response, whose body may have at most `limit`
/// bytes. [`Conn::out`] holds the request line and the headers; this adds
/// `Content-Length` and the end of the head.
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
    send(conn, method, body).await?;
    receive(conn, method, limit).await
}

/// Sends a request, as [`exchange`] does. Its response is read by [`receive`].
///
/// # Errors
///
/// Returns an error that says whether the request may have arrived.
pub async fn send(
    conn: &mut Conn,
    method: &Method,
    body: Bytes,
) -> Result<(), ExchangeError> {
    let bodiless = matches!(
        *method,
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
    );
    if !bodiless || !body.is_empty() {
        let size = body.len() as u64;
        put_number(conn.out(), "content-length", size);
    }
    conn.out().extend_from_slice(b"\r\n");
    let copied = body.len() <= MAX_COPIED_BYTES;
    if copied {
        conn.out().extend_from_slice(&body);
    }
    conn.flush().await.map_err(|sent| {
        if sent { ExchangeError::Lost } else { ExchangeError::Unsent }
    })?;
    if !copied {
        conn.write(body).await.map_err(|_| ExchangeError::Lost)?;
    }
    Ok(())
}

/// Like [`exchange`], but names the request in the header
/// [`REQUEST_HEADER`]. Drops answers that name another request: an upstream
/// may repeat an answer late, when its connection is in use again. An answer
/// that names no request is taken.
///
/// # Errors
///
/// Returns an error that says whether the request may have arrived.
pub async fn named_exchange(
    conn: &mut Conn,
    id: u64,
    method: &Method,
    body: Bytes,
    limit: usize,
) -> Result<Response, ExchangeError> {
    put_number(conn.out(), REQUEST_HEADER.as_str(), id);
    let id = id.to_string();
    let mut response = exchange(conn, method, body, limit).await?;
    for _ in 0..MAX_STALE_ANSWER_COUNT {
        let named = response.headers.get(REQUEST_HEADER);
        if named.is_none_or(|named| named.as_bytes() == id.as_bytes()) {
            return Ok(response);
        }
        response = receive(conn, method, limit).await?;
    }
    Err(ExchangeError::Lost)
}

/// Reads the response to a request that has been sent.
///
/// # Errors
///
/// Returns an error that says whether the head of the response arrived.
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
            WireError::Closed => ExchangeError::Truncated,
            other => ExchangeError::Malformed(other),
        })?;
    let keep_alive = keeps_alive(head.version, &head.headers)
        && framing != Framing::UntilClose
        && !conn.has_unread();
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
        keep_alive,
    })
}
