//! Buffered connections and HTTP/1.1 message framing.
//!
//! Message heads are decoded by the codec of `monoio-http`. This module adds
//! size limits and the framing of bodies, for connections of callers and to
//! upstreams and the store alike.

use std::fmt;
use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};
use http::{Method, StatusCode, Version};
use monoio::buf::{IoBuf, IoBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::RequestHead;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DecodeError, RequestHeadDecoder, ResponseHeadDecoder,
};

use crate::budget::{Budget, Reservation};
use crate::message::is_passed_on;

/// Largest status of a response. The parser accepts all numbers from 100 to
/// 999.
const MAX_STATUS: u16 = 599;

/// Largest message head: request or status line, and headers.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Most informational responses (1xx) before a final one. An upstream that
/// sends them without end would keep the reader busy for good.
pub const MAX_INFORMATIONAL_COUNT: usize = 16;

/// Capacity by which a read buffer in use grows.
const READ_BYTES: usize = 8 * 1024;

/// Capacity of an empty read buffer. It is smaller than [`READ_BYTES`], since
/// the buffer stays allocated while the connection waits for a message.
const FIRST_READ_BYTES: usize = 2 * 1024;

/// Capacity that the buffer of a body with a length gets at once. Most bodies
/// are smaller and take a single read.
const MAX_AT_ONCE_BYTES: usize = 64 * 1024;

/// Number of bytes after which reading from a connection pauses. A read of
/// bytes that have arrived already does not wait, so a fast sender would keep
/// all other connections waiting.
const PAUSE_BYTES: usize = 256 * 1024;

/// Length of such a pause. The event loop turns to timers and to other sockets
/// only if there is something to wait for.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// Largest write buffer that a connection keeps between messages.
const MAX_KEPT_OUT_BYTES: usize = 1024;

/// Size of the buffer while a connection is only watched for its end. It is
/// small since it is lost when the watch is cancelled.
const WATCH_BYTES: usize = 64;

/// Why a message could not be read.
#[derive(Debug)]
pub enum WireError {
    /// The connection ended or failed before the end of the message.
    Closed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has too many headers.
    HeadTooLarge,
    /// The body exceeds the limit that the reader set.
    BodyTooLarge,
    /// The messages being read exceed the memory set aside for them.
    BudgetExceeded,
    /// The message is not valid HTTP/1.1, for the reason given.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed"),
            Self::HeadTooLarge => {
                write!(f, "head exceeds the limit of {MAX_HEAD_BYTES} bytes")
            }
            Self::BodyTooLarge => f.write_str("body exceeds its limit"),
            Self::BudgetExceeded => f.write_str(
                "the messages being read exceed the memory set aside for them",
            ),
            Self::Malformed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for WireError {}

impl WireError {
    /// The status of the response to a caller whose request failed this way.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge | Self::BudgetExceeded => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            Self::Closed | Self::Malformed(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A connection, or one direction of it, with its read and write buffers.
#[derive(Debug)]
pub struct Conn<S = TcpStream> {
    stream: S,
    buf: BytesMut,
    out: BytesMut,
    write_timeout: Duration,
    unframed: bool,
    budget: Option<Budget>,
    /// Bytes read since the last pause.
    since_pause: usize,
}

impl Conn {
    /// Creates a connection on `stream` and turns off Nagle's algorithm, which
    /// would delay small messages.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self::from_stream(stream)
    }

    /// The send queue of the connection's socket.
    #[must_use]
    pub fn send_queue(&self) -> SendQueue {
        SendQueue(self.stream.as_raw_fd())
    }

    /// Makes closing the connection reset it, which discards data that has not
    /// been delivered.
    pub fn reset_on_close(&self) {
        let linger = libc::linger { l_onoff: 1, l_linger: 0 };
        set_option(&self.stream, libc::SOL_SOCKET, libc::SO_LINGER, &linger);
    }
}

impl<S> Conn<S> {
    /// Creates a connection on a stream, or on one direction of it, without
    /// changing its options.
    #[must_use]
    pub fn from_stream(stream: S) -> Self {
        let (buf, out) = (BytesMut::new(), BytesMut::new());
        let write_timeout = Duration::MAX;
        Self {
            stream,
            buf,
            out,
            write_timeout,
            unframed: false,
            budget: None,
            since_pause: 0,
        }
    }

    /// Accepts a body without a length as complete if the connection ends
    /// without an error. By default such a body is rejected.
    pub fn allow_unframed(&mut self) {
        self.unframed = true;
    }

    /// Makes the responses that are being read take their memory from `budget`.
    /// By default only the limits of each head and body apply.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = Some(budget);
    }

    /// Sets the value of [`Conn::write_timeout`].
    pub fn set_write_timeout(&mut self, timeout: Duration) {
        self.write_timeout = timeout;
    }

    /// The time that writing a message may take; unlimited by default. Whoever
    /// writes a message applies it.
    #[must_use]
    pub fn write_timeout(&self) -> Duration {
        self.write_timeout
    }

    /// The buffer that [`Conn::flush`] writes.
    pub fn out(&mut self) -> &mut BytesMut {
        &mut self.out
    }

    /// Frees the buffers of a connection that becomes idle.
    pub fn release_buffers(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
        self.out = BytesMut::new();
    }

    /// Whether the read buffer holds bytes that no message has used yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.buf.is_empty()
    }
}

impl<S: AsyncReadRent> Conn<S> {
    /// Reads more bytes into the buffer and returns their number; 0 at the end
    /// of the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut buf = std::mem::take(&mut self.buf);
        if buf.capacity() - buf.len() < READ_BYTES / 4 {
            buf.reserve(if buf.is_empty() {
                FIRST_READ_BYTES
            } else {
                READ_BYTES
            });
        }
        let begin = buf.len();
        let (result, slice) = self.stream.read(buf.slice_mut(begin..)).await;
        self.buf = slice.into_inner();
        self.since_pause += *result.as_ref().unwrap_or(&0);
        if self.since_pause >= PAUSE_BYTES {
            self.since_pause = 0;
            monoio::time::sleep(READ_PAUSE).await;
        }
        result
    }

    /// Discards the read buffer and reads into it again; returns 0 at the end
    /// of the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn discard(&mut self) -> io::Result<usize> {
        self.buf.clear();
        self.fill().await
    }

    /// Reads a request head; `None` if the stream ended before it began.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is cut off, oversized or malformed.
    pub async fn request_head(
        &mut self,
    ) -> Result<Option<RequestHead>, WireError> {
        loop {
            if let Some(head) = decode_request(&mut self.buf)? {
                return Ok(Some(head));
            }
            let empty = self.buf.is_empty();
            match self.fill().await {
                Ok(0) | Err(_) if empty => return Ok(None),
                Ok(0) | Err(_) => return Err(WireError::Closed),
                Ok(_) => {}
            }
        }
    }

    /// Reads the head of a final response. Informational responses (1xx) are
    /// skipped, up to [`MAX_INFORMATIONAL_COUNT`].
    ///
    /// # Errors
    ///
    /// Returns an error if the head is cut off, oversized or malformed.
    pub async fn response_head(&mut self) -> Result<ResponseHead, WireError> {
        let mut reserved = Reservation::new(self.budget.clone());
        let mut skipped = 0;
        loop {
            match decode_response(&mut self.buf)? {
                Some(head) if head.status.is_informational() => {
                    skipped += 1;
                    if skipped > MAX_INFORMATIONAL_COUNT {
                        let what = "too many informational responses";
                        return Err(WireError::Malformed(what.to_owned()));
                    }
                    continue;
                }
                Some(head) if head.status.as_u16() > MAX_STATUS => {
                    let what = format!("{} is no status", head.status);
                    return Err(WireError::Malformed(what));
                }
                Some(head) => return Ok(head),
                None => {}
            }
            reserved.grow_to(self.buf.len())?;
            if let Ok(0) | Err(_) = self.fill().await {
                return Err(WireError::Closed);
            }
        }
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off, oversized or malformed.
    pub async fn body(
        &mut self,
        framing: Framing,
        limit: usize,
    ) -> Result<Bytes, WireError> {
        let mut reserved = Reservation::new(self.budget.clone());
        match framing {
            Framing::Length(0) => Ok(Bytes::new()),
            Framing::Length(size) if size > limit => {
                Err(WireError::BodyTooLarge)
            }
            Framing::Length(size) => {
                self.read_fixed(size, &mut reserved).await
            }
            Framing::Chunked => self.read_chunked(limit, &mut reserved).await,
            Framing::UntilClose if self.unframed => {
                self.read_to_end(limit, &mut reserved).await
            }
            Framing::UntilClose => Err(WireError::Malformed(
                "the end of the body cannot be told from a cut".to_owned(),
            )),
        }
    }

    async fn read_fixed(
        &mut self,
        size: usize,
        reserved: &mut Reservation,
    ) -> Result<Bytes, WireError> {
        while self.buf.len() < size {
            // Room for a whole read is left, so that the end needs no growth.
            let target = size.min(MAX_AT_ONCE_BYTES) + READ_BYTES / 4;
            if self.buf.capacity() < target {
                reserved.grow_to(target)?;
                self.buf.reserve(target - self.buf.len());
            }
            self.make_room(size, 0, reserved)?;
            if let Ok(0) | Err(_) = self.fill().await {
                return Err(WireError::Closed);
            }
        }
        Ok(self.buf.split_to(size).freeze())
    }

    /// Reads a body that ends with the connection.
    async fn read_to_end(
        &mut self,
        limit: usize,
        reserved: &mut Reservation,
    ) -> Result<Bytes, WireError> {
        loop {
            if self.buf.len() > limit {
                return Err(WireError::BodyTooLarge);
            }
            self.make_room(limit, 0, reserved)?;
            match self.fill().await {
                Ok(0) => return Ok(self.buf.split().freeze()),
                Ok(_) => {}
                Err(_) => return Err(WireError::Closed),
            }
        }
    }

    async fn read_chunked(
        &mut self,
        limit: usize,
        reserved: &mut Reservation,
    ) -> Result<Bytes, WireError> {
        let mut decoder = ChunkedBodyDecoder::default();
        let mut body = ChunkedBody::default();
        let mut consumed = 0;
        loop {
            let before = self.buf.len();
            let decoded = decoder.decode(&mut self.buf);
            consumed += before - self.buf.len();
            match decoded.map_err(decode_error)? {
                Decoded::Some(None) => return Ok(body.finish()),
                Decoded::Some(Some(chunk)) => {
                    let size = body.size_with(&chunk) + self.buf.capacity();
                    reserved.grow_to(size)?;
                    body.push(chunk);
                }
                // The decoder needs a whole chunk in the buffer, so the limit
                // must also hold for a chunk that is not complete.
                _ if self.buf.len() > limit => {
                    return Err(WireError::BodyTooLarge);
                }
                _ => {
                    self.make_room(limit, body.size(), reserved)?;
                    if let Ok(0) | Err(_) = self.fill().await {
                        return Err(WireError::Closed);
                    }
                }
            }
            // The framing of very small chunks is many times their content.
            if body.len() > limit || consumed > 2 * limit {
                return Err(WireError::BodyTooLarge);
            }
        }
    }

    /// Makes room for the next bytes of a body, of which at most `limit` bytes
    /// are in the buffer, and reserves its memory together with `other` bytes.
    /// The buffer grows as bytes arrive: the length that a peer announces says
    /// nothing of what it sends.
    fn make_room(
        &mut self,
        limit: usize,
        other: usize,
        reserved: &mut Reservation,
    ) -> Result<(), WireError> {
        let (len, capacity) = (self.buf.len(), self.buf.capacity());
        if capacity - len >= READ_BYTES / 4 {
            return reserved.grow_to(capacity + other);
        }
        let doubled = (2 * capacity).min(limit.saturating_add(READ_BYTES));
        let target = doubled.max(len + READ_BYTES);
        reserved.grow_to(target + other)?;
        self.buf.reserve(target - len);
        Ok(())
    }

    /// Waits for the next bytes or the end of the stream. Unlike with
    /// [`Conn::fill`], the read buffer is not lost if this is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn watch(&mut self) -> io::Result<usize> {
        let small = Vec::with_capacity(WATCH_BYTES);
        let (result, small) = self.stream.read(small).await;
        self.buf.extend_from_slice(&small);
        result
    }

    /// Whether an idle connection can still be used: the other side has
    /// neither closed it nor sent unexpected bytes.
    pub async fn is_idle(&mut self) -> bool {
        if !self.buf.is_empty() {
            return false;
        }
        let mut watch = std::pin::pin!(self.watch());
        std::future::poll_fn(|context| {
            std::task::Poll::Ready(watch.as_mut().poll(context).is_pending())
        })
        .await
    }
}

impl<S: AsyncWriteRent> Conn<S> {
    /// Writes the contents of [`Conn::out`].
    ///
    /// # Errors
    ///
    /// The error tells whether some of the bytes were written before the
    /// failure.
    pub async fn flush(&mut self) -> Result<(), bool> {
        let mut out = std::mem::take(&mut self.out);
        let mut sent = 0;
        while sent < out.len() {
            let (result, slice) = self.stream.write(out.slice(sent..)).await;
            out = slice.into_inner();
            sent += result.map_err(|_| sent > 0)?;
        }
        out.clear();
        // Frees a buffer that has grown for a large body.
        if out.capacity() <= MAX_KEPT_OUT_BYTES {
            self.out = out;
        }
        Ok(())
    }

    /// Writes all of `bytes` directly, without [`Conn::out`].
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        self.stream.write_all(bytes).await.0.map(|_| ())
    }

    /// Shuts down the sending direction. Failures are ignored.
    pub async fn shut_down(&mut self) {
        let _ = self.stream.shutdown().await;
    }
}

/// The chunks of a body that have been decoded. A single one is not copied.
#[derive(Debug, Default)]
struct ChunkedBody {
    first: Bytes,
    rest: BytesMut,
}

impl ChunkedBody {
    fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Memory that the chunks take.
    fn size(&self) -> usize {
        self.first.len() + self.rest.capacity()
    }

    /// Memory that the chunks take together with another one.
    fn size_with(&self, chunk: &Bytes) -> usize {
        let needed = self.len() + chunk.len();
        if self.rest.capacity() >= needed {
            return self.size();
        }
        self.first.len() + needed.max(2 * self.rest.capacity())
    }

    fn push(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.first = chunk;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.rest.extend_from_slice(&first);
        self.rest.extend_from_slice(&chunk);
    }

    fn finish(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}

/// The send queue of a connection's socket. Must not outlive the connection.
#[derive(Clone, Copy, Debug)]
pub struct SendQueue(RawFd);

impl SendQueue {
    /// Number of bytes that were written and that the other side's system has
    /// not acknowledged; 0 if it is unknown.
    #[must_use]
    pub fn unacknowledged(self) -> usize {
        let mut count: libc::c_int = 0;
        // SAFETY: the call writes one integer. A closed descriptor is an
        // error, which leaves the count at 0.
        let code = unsafe {
            libc::ioctl(self.0, libc::TIOCOUTQ, std::ptr::from_mut(&mut count))
        };
        if code == 0 { usize::try_from(count).unwrap_or(0) } else { 0 }
    }
}

/// Sets a socket option. Failures are ignored: without the options used here,
/// a lost connection is only detected later.
pub(crate) fn set_option<T>(
    stream: &TcpStream,
    level: libc::c_int,
    name: libc::c_int,
    value: &T,
) {
    // SAFETY: the descriptor is open while `stream` lives, and the value is
    // of the size given.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            level,
            name,
            std::ptr::from_ref(value).cast(),
            size_of::<T>() as libc::socklen_t,
        );
    }
}

fn decode_error(error: DecodeError) -> WireError {
    match error {
        DecodeError::Parse(httparse::Error::TooManyHeaders) => {
            WireError::HeadTooLarge
        }
        other => WireError::Malformed(other.to_string()),
    }
}

/// Decodes a request head from the start of `buf`, if it is complete.
///
/// # Errors
///
/// Returns an error if the head is oversized or malformed.
pub fn decode_request(
    buf: &mut BytesMut,
) -> Result<Option<RequestHead>, WireError> {
    decode_head(&mut RequestHeadDecoder, buf)
}

/// Decodes a response head from the start of `buf`, if it is complete.
///
/// # Errors
///
/// Returns an error if the head is oversized or malformed.
pub fn decode_response(
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, WireError> {
    decode_head(&mut ResponseHeadDecoder, buf)
}

fn decode_head<T, D: Decoder<Item = T, Error = DecodeError>>(
    decoder: &mut D,
    buf: &mut BytesMut,
) -> Result<Option<T>, WireError> {
    if buf.is_empty() {
        return Ok(None);
    }
    let before = buf.len();
    match decoder.decode(buf).map_err(decode_error)? {
        Decoded::Some(_) if before - buf.len() > MAX_HEAD_BYTES => {
            Err(WireError::HeadTooLarge)
        }
        Decoded::Some(head) => Ok(Some(head)),
        _ if buf.len() > MAX_HEAD_BYTES => Err(WireError::HeadTooLarge),
        _ => Ok(None),
    }
}

/// How the body of a request is framed. A request without length has no body.
///
/// # Errors
///
/// Returns an error if the framing is ambiguous. Two parsers that disagree
/// about the end of a request would see different requests after it, which
/// allows request smuggling.
pub fn request_framing(headers: &HeaderMap) -> Result<Framing, WireError> {
    Ok(framing(headers)?.unwrap_or(Framing::Length(0)))
}

/// How the body of a response to `method` is framed.
///
/// # Errors
///
/// Returns an error if the framing is ambiguous.
pub fn response_framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, WireError> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if *method == Method::HEAD || bodiless.contains(&status) {
        return Ok(Framing::Length(0));
    }
    Ok(framing(headers)?.unwrap_or(Framing::UntilClose))
}

fn framing(headers: &HeaderMap) -> Result<Option<Framing>, WireError> {
    let malformed = |what: &str| Err(WireError::Malformed(what.to_owned()));
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return malformed("Content-Length differs between headers");
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !chunked || codings.next().is_some() {
            return malformed("Transfer-Encoding is not chunked");
        }
        if length.is_some() {
            return malformed(
                "Content-Length and Transfer-Encoding are both given",
            );
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(length) = length else { return Ok(None) };
    let digits = length.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return malformed("Content-Length is not a number");
    }
    let size = length.to_str().ok().and_then(|text| text.parse().ok());
    size.map_or_else(
        || malformed("Content-Length is out of range"),
        |size| Ok(Some(Framing::Length(size))),
    )
}

/// Whether the connection stays open after a message with this version and
/// these headers.
#[must_use]
pub fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    let Some(value) = connection else { return version == Version::HTTP_11 };
    let text = value.to_str().unwrap_or("close").to_ascii_lowercase();
    let mut tokens = text.split(',').map(str::trim);
    if version == Version::HTTP_11 {
        return !tokens.any(|token| token == "close");
    }
    tokens.any(|token| token == "keep-alive")
}

/// Appends one header line to a message head.
pub fn put_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends one header line with a decimal number.
pub fn put_number(out: &mut BytesMut, name: &str, value: u64) {
    let mut digits = [0; 20];
    let mut at = digits.len();
    let mut rest = value;
    loop {
        at -= 1;
        digits[at] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    put_header(out, name, &digits[at..]);
}

/// Appends those headers of a map that are passed on; see [`is_passed_on`].
pub fn put_headers(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if !is_passed_on(name) {
            continue;
        }
        put_header(out, name.as_str(), value.as_bytes());
    }
}
