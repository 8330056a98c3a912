//! A small HTTP/1.1 server over the codec of `monoio-http`.
//!
//! Each connection has a task that decodes requests and a task that answers
//! them in order. While a request is being answered the first task keeps
//! reading, so that a closed connection cancels the work at once.

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

/// Largest announced body that is read, in bytes; a connection that
/// announces more is closed.
const BODY_MAX: usize = 8 * 1024 * 1024;

/// A decoded request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Call {
    /// A header's value, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A parameter of the query string, undecoded.
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
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Reply {
    /// An answer without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// An answer of plain text.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let body = Bytes::from(text.into());
        Self { status, headers: HeaderMap::new(), body }
            .with("content-type", "text/plain")
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
            .with("content-type", "application/json")
    }

    /// The answer with another body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// The answer with one more header.
    ///
    /// # Panics
    ///
    /// Panics if `value` has characters that headers cannot hold.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        let value = HeaderValue::from_str(value.as_ref())
            .expect("header value is printable");
        self.headers.insert(HeaderName::from_static(name), value);
        self
    }
}

/// What answers requests.
pub trait Handler {
    /// Answers a request, or returns `None` to close the connection without
    /// an answer. The future is dropped if the caller goes away.
    fn answer(&self, call: Call) -> impl Future<Output = Option<Reply>>;

    /// Decides whether a new connection is kept; may delay it.
    fn accept(&self) -> impl Future<Output = bool> {
        async { true }
    }

    /// Called when a kept connection ends.
    fn closed(&self) {}
}

/// Accepts connections until the runtime ends.
///
/// # Errors
///
/// Returns the error of `accept` if the listener cannot be used any more.
pub async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
) -> io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(connection(stream, Rc::clone(&handler)));
            }
            // The peer gave up before accept; the listener is unharmed.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
}

async fn connection<H: Handler + 'static>(stream: TcpStream, handler: Rc<H>) {
    if !handler.accept().await {
        return;
    }
    // Without this, small answers wait for delayed acknowledgements.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (sender, receiver) = spsc_pair();
    monoio::spawn(read_calls(read, sender));
    answer_calls(receiver, write, &*handler).await;
    handler.closed();
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
    if length.is_some_and(|l| l > BODY_MAX) {
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
            let mut work = std::pin::pin!(handler.answer(call));
            monoio::select! {
                reply = &mut work => reply,
                // Either the connection closed, which cancels the work, or
                // a pipelined request came, which waits for its turn.
                later = receiver.recv() => {
                    if later.is_none() {
                        return;
                    }
                    next = later;
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
