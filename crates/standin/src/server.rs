//! A minimal HTTP/1.1 server on the codec of `monoio-http`.
//!
//! Each connection has one task that decodes requests and one that answers
//! them in order. While a request is being answered, the first task goes on
//! reading, so that work is cancelled as soon as the client closes the
//! connection.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Uri};
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::BodyExt;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use monoio_http::util::spsc::{SPSCReceiver, SPSCSender, spsc_pair};
use serde::Serialize;

/// Largest `Content-Length` that is accepted. The connection of a request
/// with a larger one is closed without an answer.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Request target, with the query string.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Whole body; empty if there is none.
    pub body: Bytes,
}

impl Call {
    /// Value of the header `name`, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of the query parameter `name`, without percent-decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        for pair in pairs {
            match pair.split_once('=') {
                Some((key, value)) if key == name => return Some(value),
                _ => {}
            }
        }
        None
    }
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Answer headers, apart from those that frame the body.
    pub headers: HeaderMap,
    /// Whole body; empty if there is none.
    pub body: Bytes,
}

impl Reply {
    /// An answer without headers and body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// An answer with a plain-text body.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let body = Bytes::from(text.into());
        Self { status, headers: HeaderMap::new(), body }
            .with_header("content-type", "text/plain")
    }

    /// A 200 answer with `value` as JSON.
    ///
    /// # Panics
    ///
    /// Panics if `value` has a map with keys that are not strings.
    #[must_use]
    pub fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("value encodes as JSON");
        let headers = HeaderMap::new();
        Self { status: StatusCode::OK, headers, body: body.into() }
            .with_header("content-type", "application/json")
    }

    /// Replaces the body and leaves the headers as they are.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a header; an earlier value of it is replaced.
    ///
    /// # Panics
    ///
    /// Panics if `value` contains characters that are not allowed in header
    /// values.
    #[must_use]
    pub fn with_header(
        mut self,
        name: &'static str,
        value: impl AsRef<str>,
    ) -> Self {
        let value = HeaderValue::from_str(value.as_ref())
            .expect("header value is printable");
        self.headers.insert(HeaderName::from_static(name), value);
        self
    }
}

/// Application of a server: answers requests and admits connections.
pub trait Handler {
    /// Answers a request, or returns `None` to close the connection without
    /// an answer. The future is dropped if the client closes the connection.
    fn handle(&self, call: Call) -> impl Future<Output = Option<Reply>>;

    /// Called for each new connection. The connection is closed if this
    /// returns false; no request is read from it before.
    fn accept(&self) -> impl Future<Output = bool> {
        async { true }
    }

    /// Called when a connection that [`Handler::accept`] admitted has ended.
    fn on_close(&self) {}
}

/// Accepts and serves connections until the runtime ends.
///
/// # Errors
///
/// Returns the error of the listener if it can accept no more connections.
pub async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
) -> io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_connection(stream, Rc::clone(&handler)));
            }
            // The client closed the connection before it was accepted; the
            // listener still works.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
}

async fn serve_connection<H: Handler + 'static>(
    stream: TcpStream,
    handler: Rc<H>,
) {
    if !handler.accept().await {
        return;
    }
    // With Nagle's algorithm, small answers would wait for delayed
    // acknowledgements.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (sender, receiver) = spsc_pair();
    monoio::spawn(read_calls(read, sender));
    answer_calls(receiver, write, &*handler).await;
    handler.on_close();
}

async fn read_calls(read: TcpOwnedReadHalf, mut sender: SPSCSender<Call>) {
    let mut decoder = RequestDecoder::new(read);
    loop {
        let call = monoio::select! {
            call = read_call(&mut decoder) => call,
            () = sender.closed() => return,
        };
        let Some(call) = call else { return };
        if sender.send(call).await.is_err() {
            return;
        }
    }
}

async fn read_call(
    decoder: &mut RequestDecoder<TcpOwnedReadHalf>,
) -> Option<Call> {
    let request: Request = decoder.next().await?.ok()?;
    let length = request
        .headers()
        .get(http::header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|l| l > MAX_BODY_BYTES) {
        return None;
    }
    decoder.fill_payload().await.ok()?;
    let (head, body) = request.into_parts();
    let body = body.bytes().await.ok()?;
    Some(Call {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}

async fn answer_calls<H: Handler>(
    mut receiver: SPSCReceiver<Call>,
    write: TcpOwnedWriteHalf,
    handler: &H,
) {
    let mut encoder = GenericEncoder::new(write);
    let mut next = receiver.recv().await;
    while let Some(call) = next.take() {
        let reply = {
            let mut work = std::pin::pin!(handler.handle(call));
            monoio::select! {
                reply = &mut work => reply,
                // Either the client closed the connection, which cancels the
                // work, or it sent a pipelined request, which is answered
                // next.
                next_call = receiver.recv() => {
                    if next_call.is_none() {
                        return;
                    }
                    next = next_call;
                    work.await
                }
            }
        };
        let Some(reply) = reply else { return };
        if write_reply(&mut encoder, reply).await.is_err() {
            return;
        }
        if next.is_none() {
            next = receiver.recv().await;
        }
    }
}

async fn write_reply(
    encoder: &mut GenericEncoder<TcpOwnedWriteHalf>,
    reply: Reply,
) -> Result<(), HttpError> {
    let payload: Payload = if reply.body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(reply.body))
    };
    let mut response: Response = Response::new(payload);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    encoder.send_and_flush(response).await
}
