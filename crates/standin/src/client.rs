//! A minimal HTTP/1.1 client on the codec of `monoio-http`.

use std::fmt;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Uri};
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio_http::common::body::BodyExt;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::{FillPayload, ResponseDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use crate::server::Reply;

/// Why a call has no complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    Connect(String),
    /// The connection ended before the complete answer was received.
    Lost(String),
    /// No complete answer was received in time.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::Lost(cause) => write!(f, "connection lost: {cause}"),
            Self::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// A client connection that carries one call at a time.
pub struct Client {
    addr: SocketAddr,
    fd: RawFd,
    encoder: GenericEncoder<TcpOwnedWriteHalf>,
    decoder: ResponseDecoder<TcpOwnedReadHalf>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if the connection cannot be opened.
    pub async fn connect(addr: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect_addr(addr)
            .await
            .map_err(|e| CallError::Connect(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let fd = stream.as_raw_fd();
        let (read, write) = stream.into_split();
        Ok(Self {
            addr,
            fd,
            encoder: GenericEncoder::new(write),
            decoder: ResponseDecoder::new(read),
        })
    }

    /// Whether the idle connection is still open. The peer may close it at
    /// any time after this check.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut byte = 0_u8;
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        // SAFETY: the descriptor is open while both halves of the stream
        // exist, and the buffer is valid for one byte.
        let n =
            unsafe { libc::recv(self.fd, (&raw mut byte).cast(), 1, flags) };
        let error = std::io::Error::last_os_error();
        // An open idle connection has nothing to read. Data or an end of the
        // stream mean that the peer closes it.
        n < 0 && error.kind() == std::io::ErrorKind::WouldBlock
    }

    /// Sends a request and reads the whole answer. After an error the
    /// connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the connection ends early.
    ///
    /// # Panics
    ///
    /// Panics if `path` or a header is not valid HTTP.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        let is_head = method == Method::HEAD;
        let request = self.build_request(method, path, headers, body.into());
        self.encoder
            .send_and_flush(request)
            .await
            .map_err(|e| CallError::Lost(e.to_string()))?;
        self.read_reply(is_head).await
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Request {
        let mut map = HeaderMap::with_capacity(headers.len() + 1);
        map.insert(http::header::HOST, header_value(&self.addr.to_string()));
        for &(name, value) in headers {
            let name: HeaderName = name.parse().expect("valid header name");
            map.insert(name, header_value(value));
        }
        let payload: Payload = if body.is_empty() {
            Payload::None
        } else {
            Payload::Fixed(FixedPayload::new(body))
        };
        let mut request = Request::new(payload);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse::<Uri>().expect("valid target");
        *request.headers_mut() = map;
        request
    }

    async fn read_reply(&mut self, is_head: bool) -> Result<Reply, CallError> {
        let lost = |e: &dyn fmt::Display| CallError::Lost(e.to_string());
        let response: Response = self
            .decoder
            .next()
            .await
            .ok_or_else(|| lost(&"closed before the answer"))?
            .map_err(|e| lost(&e))?;
        let (parts, body) = response.into_parts();
        let body = if is_head {
            Bytes::new()
        } else {
            self.decoder.fill_payload().await.map_err(|e| lost(&e))?;
            body.bytes().await.map_err(|e| lost(&e))?
        };
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("valid header value")
}

/// Makes one call over a new connection. The time-out covers connecting and
/// receiving the whole answer.
///
/// # Errors
///
/// Returns an error if no complete answer was received in time.
///
/// # Panics
///
/// Panics if `path` or a header is not valid HTTP.
pub async fn call_once(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    timeout_ms: u64,
) -> Result<Reply, CallError> {
    let timeout = std::time::Duration::from_millis(timeout_ms);
    monoio::time::timeout(timeout, async {
        let mut client = Client::connect(addr).await?;
        client.call(method, path, headers, body).await
    })
    .await
    .unwrap_or(Err(CallError::Timeout))
}

impl Reply {
    /// Value of the header `name`, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the status is 2xx.
    #[must_use]
    pub fn ok(&self) -> bool {
        self.status.is_success()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON of type `T`.
    pub fn parse_json<T: serde::de::DeserializeOwned>(
        &self,
    ) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the status is `code`.
    #[must_use]
    pub fn has_status(&self, code: u16) -> bool {
        self.status.as_u16() == code
    }

    /// The status code as a number.
    #[must_use]
    pub fn code(&self) -> u16 {
        StatusCode::as_u16(&self.status)
    }
}
