//! Reads peer frames from a stream, and converts them from and to requests
//! and answers.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use lagoondyke_core::clock::Millis;
use lagoondyke_core::peer::{
    AnswerFrame, Frame, FrameError, MAX_FRAME_BYTES, RequestFrame, decode,
};
use monoio::buf::IoBufMut;
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;

use crate::budget::{Budget, Reservation};
use crate::message::{Answer, Call, is_passed_on};
use crate::ports::Forward;
use crate::wire::set_option;

/// Capacity by which the read buffer grows.
const READ_BYTES: usize = 32 * 1024;

/// Time after which a peer connection with unacknowledged bytes fails. Without
/// it, a connection that was cut by a network partition would stay in
/// retransmission for minutes after the end of the partition.
const USER_TIMEOUT_MS: libc::c_uint = 2_000;

/// Reads frames from a stream through a buffer.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buf: BytesMut,
    budget: Option<Budget>,
}

impl<R: AsyncReadRent> FrameReader<R> {
    /// Creates a reader with an empty buffer.
    #[must_use]
    pub fn new(stream: R) -> Self {
        Self { stream, buf: BytesMut::new(), budget: None }
    }

    /// Makes the frames that are being read take their memory from `budget`.
    /// By default only the limit of each frame applies.
    #[must_use]
    pub fn with_budget(self, budget: Budget) -> Self {
        Self { budget: Some(budget), ..self }
    }

    /// The next frame and its body; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if a frame is oversized, truncated or malformed. The
    /// stream must then be closed, since the start of the next frame is
    /// unknown.
    pub async fn next(
        &mut self,
    ) -> Result<Option<(Frame, Bytes)>, FrameError> {
        let mut reserved = Reservation::new(self.budget.clone());
        loop {
            if let Some(frame) = split_frame(&mut self.buf)? {
                return Ok(Some(frame));
            }
            let size = self.buf.capacity();
            let result = reserved.grow_to(size);
            result.map_err(|_| FrameError::TooLarge { size })?;
            match self.fill().await {
                Ok(0) | Err(_) if self.buf.is_empty() => return Ok(None),
                Ok(0) | Err(_) => return Err(FrameError::Truncated),
                Ok(_) => {}
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut buf = std::mem::take(&mut self.buf);
        if buf.capacity() - buf.len() < READ_BYTES / 4 {
            buf.reserve(READ_BYTES);
        }
        let begin = buf.len();
        let (result, slice) = self.stream.read(buf.slice_mut(begin..)).await;
        self.buf = slice.into_inner();
        result
    }
}

/// Splits the first frame off `buf`; `None` if it is not complete yet.
///
/// # Errors
///
/// Returns an error if the frame is oversized or malformed.
pub fn split_frame(
    buf: &mut BytesMut,
) -> Result<Option<(Frame, Bytes)>, FrameError> {
    let Some(length) = buf.first_chunk::<4>() else { return Ok(None) };
    let size = u32::from_be_bytes(*length) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { size });
    }
    if buf.len() < 4 + size {
        return Ok(None);
    }
    let bytes = buf.split_to(4 + size).freeze();
    let (frame, body) = decode(&bytes[4..])?;
    let body = bytes.slice_ref(body);
    Ok(Some((frame, body)))
}

/// The frame that forwards a request, with the time left until its deadline
/// at `now`. The body is encoded separately.
#[must_use]
pub fn request_frame(id: u64, forward: &Forward, now: Millis) -> Frame {
    let call = &forward.call;
    let left_ms = forward.deadline.since(now);
    Frame::Request(RequestFrame {
        id,
        service: call.service.clone(),
        key: call.key,
        deadline: u32::try_from(left_ms).unwrap_or(u32::MAX),
        idempotent: call.idempotent,
        token: call.idempotency_key.clone(),
        scope: call.scope.clone(),
        partner: call.partner.clone(),
        fingerprint: call.fingerprint,
        method: call.method.as_str().to_owned(),
        path: call.path.clone(),
        headers: header_list(&call.headers),
        trace: forward.trace.clone(),
    })
}

/// The request that a frame carries.
///
/// # Errors
///
/// Returns an error if the method, the path or a header is not valid HTTP.
pub fn call_of(frame: RequestFrame, body: Bytes) -> Result<Call, FrameError> {
    let method = Method::from_bytes(frame.method.as_bytes())
        .map_err(|_| FrameError::Malformed)?;
    let is_graphic = |byte: u8| byte.is_ascii_graphic();
    if frame.path.is_empty() || !frame.path.bytes().all(is_graphic) {
        return Err(FrameError::Malformed);
    }
    Ok(Call {
        service: frame.service,
        key: frame.key,
        timeout_ms: u64::from(frame.deadline),
        idempotent: frame.idempotent,
        idempotency_key: frame.token,
        scope: frame.scope,
        partner: frame.partner,
        fingerprint: frame.fingerprint,
        method,
        path: frame.path,
        headers: header_map(frame.headers).ok_or(FrameError::Malformed)?,
        body,
        trace: frame.trace.filter(|text| text.bytes().all(is_graphic)),
    })
}

/// The frame that carries an answer. The body is encoded separately.
#[must_use]
pub fn answer_frame(id: u64, answer: &Answer) -> Frame {
    Frame::Answer(AnswerFrame {
        id,
        status: answer.status.as_u16(),
        headers: header_list(&answer.headers),
        scope: answer.scope.clone(),
        shard: answer.shard,
    })
}

/// The answer that a frame carries. `node` names the node that sent it.
///
/// # Errors
///
/// Returns an error if the status or a header is not valid HTTP.
pub fn answer_of(
    frame: AnswerFrame,
    body: Bytes,
    node: Rc<str>,
) -> Result<Answer, FrameError> {
    let status = StatusCode::from_u16(frame.status)
        .map_err(|_| FrameError::Malformed)?;
    let headers = header_map(frame.headers).ok_or(FrameError::Malformed)?;
    let (scope, shard) = (frame.scope, frame.shard);
    Ok(Answer { status, headers, body, scope, shard, node })
}

/// The headers that are passed on, as a frame lists them.
fn header_list(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let mut list = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_passed_on(name) {
            continue;
        }
        list.push((name.as_str().to_owned(), value.as_bytes().to_vec()));
    }
    list
}

/// The headers that a frame lists; `None` if one is not valid.
fn header_map(list: Vec<(String, Vec<u8>)>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(Bytes::from(value)).ok()?;
        headers.try_append(name, value).ok()?;
    }
    Some(headers)
}

/// Sets `TCP_USER_TIMEOUT`, so that the connection fails if sent bytes stay
/// unacknowledged for `USER_TIMEOUT_MS`.
pub fn set_user_timeout(stream: &TcpStream) {
    let (level, name) = (libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT);
    set_option(stream, level, name, &USER_TIMEOUT_MS);
}
