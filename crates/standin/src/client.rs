//! A small HTTP/1.1 client over the codec of `monoio-http`.

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

/// Why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    Connect(String),
    /// The connection ended before a complete answer came.
    Lost(String),
    /// The answer did not come in time.
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

/// A connection that carries one call at a time.
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
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if the connection is refused.
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

    /// Whether an idle connection is still open. The peer may close it at
    /// any later time.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut byte = 0_u8;
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        // SAFETY: the descriptor is open while the halves exist, and the
        // buffer is valid for one byte.
        let n =
            unsafe { libc::recv(self.fd, (&raw mut byte).cast(), 1, flags) };
        let error = std::io::Error::last_os_error();
        // An idle connection has nothing to read; data or an end mean that
        // the peer gave it up.
        n < 0 && error.kind() == std::io::ErrorKind::WouldBlock
    }

    /// Sends a request and reads the whole answer. After an error the
    /// connection is of no further use.
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
        let head = method == Method::HEAD;
        let request = self.request(method, path, headers, body.into());
        self.encoder
            .send_and_flush(request)
            .await
            .map_err(|e| CallError::Lost(e.to_string()))?;
        self.read_reply(head).await
    }

    fn request(
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

    async fn read_reply(&mut self, head: bool) -> Result<Reply, CallError> {
        let lost = |e: &dyn fmt::Display| CallError::Lost(e.to_string());
        let response: Response = self
            .decoder
            .next()
            .await
            .ok_or_else(|| lost(&"closed before the answer"))?
            .map_err(|e| lost(&e))?;
        let (parts, body) = response.into_parts();
        let body = if head {
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

/// Makes one call over a connection of its own, waiting at most `limit`
/// milliseconds.
///
/// # Errors
///
/// Returns an error if no complete answer came in time.
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
    limit: u64,
) -> Result<Reply, CallError> {
    let limit = std::time::Duration::from_millis(limit);
    monoio::time::timeout(limit, async {
        let mut client = Client::connect(addr).await?;
        client.call(method, path, headers, body).await
    })
    .await
    .unwrap_or(Err(CallError::Timeout))
}

impl Reply {
    /// A header's value, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the status is of the 2xx class.
    #[must_use]
    pub fn ok(&self) -> bool {
        self.status.is_success()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's error.
    pub fn parse<T: serde::de::DeserializeOwned>(
        &self,
    ) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the status is `code`.
    #[must_use]
    pub fn is(&self, code: u16) -> bool {
        self.status.as_u16() == code
    }

    /// The status as a number.
    #[must_use]
    pub fn code(&self) -> u16 {
        StatusCode::as_u16(&self.status)
    }
}
