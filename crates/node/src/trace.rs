//! Writes traces to a file: one span per hop, as lines of OTLP JSON.
//!
//! A span continues the trace of the W3C `traceparent` that came with the
//! request, or starts a new trace. Ended spans wait in a bounded buffer for a
//! thread that writes them. When the buffer is full, further spans are
//! dropped, so that a slow disk never delays a request.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Largest number of spans that wait to be written.
const MAX_QUEUED_SPAN_COUNT: usize = 4_096;

/// Largest number of spans in one line of the file.
const MAX_LINE_SPAN_COUNT: usize = 256;

/// The span kind of OTLP for a request that was received.
const SPAN_KIND_SERVER: u8 = 2;

/// The span kind of OTLP for a request that was sent.
const SPAN_KIND_CLIENT: u8 = 3;

/// The status code of OTLP for a failed span.
const STATUS_CODE_ERROR: u8 = 2;

/// A W3C trace context, which one hop passes to the next. [`fmt::Display`]
/// gives the value of the `traceparent` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Context {
    /// Identifies the trace; not 0.
    pub trace_id: u128,
    /// Identifies the sending hop's span; not 0.
    pub span_id: u64,
    /// Whether spans of this trace are recorded.
    pub sampled: bool,
}

impl Context {
    /// Parses a `traceparent` header; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('-');
        let version = parse_hex(fields.next()?, 2)?;
        let trace_id = parse_hex(fields.next()?, 32)?;
        let span_id = parse_hex(fields.next()?, 16)? as u64;
        let flags = parse_hex(fields.next()?, 2)?;
        // Later versions may add fields; version 255 is not allowed.
        let more_fields = fields.next().is_some();
        if version == 255
            || version == 0 && more_fields
            || trace_id == 0
            || span_id == 0
        {
            return None;
        }
        Some(Self { trace_id, span_id, sampled: flags & 1 == 1 })
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            f,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

/// Parses exactly `len` lower-case hexadecimal digits.
fn parse_hex(text: &str, len: usize) -> Option<u128> {
    let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != len || !text.bytes().all(digit) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

/// A span that has not ended.
#[derive(Clone, Debug)]
pub struct Span {
    context: Context,
    /// Id of the parent span; 0 for none.
    parent_id: u64,
    start: SystemTime,
    name: &'static str,
    kind: u8,
}

impl Span {
    /// The value of the `traceparent` header for the next hop.
    #[must_use]
    pub fn traceparent(&self) -> String {
        self.context.to_string()
    }

    /// Starts a child span, for a request that this hop sends.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        let span_id = rand::random_range(1..=u64::MAX);
        Self {
            context: Context { span_id, ..self.context },
            parent_id: self.context.span_id,
            start: SystemTime::now(),
            name,
            kind: SPAN_KIND_CLIENT,
        }
    }
}

/// A span that has ended and waits to be written.
#[derive(Debug)]
struct EndedSpan {
    span: Span,
    end: SystemTime,
    attributes: Vec<(&'static str, String)>,
    failed: bool,
}

/// Records spans to a file. The default tracer has no file and records none.
#[derive(Debug, Default)]
pub struct Tracer {
    sender: RefCell<Option<SyncSender<EndedSpan>>>,
    writer: RefCell<Option<JoinHandle<()>>>,
    dropped: Cell<u64>,
}

impl Tracer {
    /// Opens the file, which is created or appended to, and starts the writing
    /// thread. `node` is written as `service.instance.id` in each line.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the thread cannot be
    /// started.
    pub fn open(file: impl AsRef<Path>, node: String) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(file)?;
        let (sender, ended) = sync_channel(MAX_QUEUED_SPAN_COUNT);
        let builder = std::thread::Builder::new().name("traces".to_owned());
        let writer =
            builder.spawn(move || write_spans(file, &node, &ended))?;
        Ok(Self {
            sender: RefCell::new(Some(sender)),
            writer: RefCell::new(Some(writer)),
            dropped: Cell::new(0),
        })
    }

    /// Starts the span of a request that arrived with this `traceparent`, if
    /// any. `None` if the tracer records no spans.
    #[must_use]
    pub fn start(
        &self,
        name: &'static str,
        traceparent: Option<&str>,
    ) -> Option<Span> {
        self.sender.borrow().as_ref()?;
        let parent = traceparent.and_then(Context::parse);
        let span_id = rand::random_range(1..=u64::MAX);
        let new_trace = || rand::random_range(1..=u128::MAX);
        let context = Context {
            trace_id: parent.map_or_else(new_trace, |parent| parent.trace_id),
            span_id,
            sampled: parent.is_none_or(|parent| parent.sampled),
        };
        let parent_id = parent.map_or(0, |parent| parent.span_id);
        let start = SystemTime::now();
        Some(Span { context, parent_id, start, name, kind: SPAN_KIND_SERVER })
    }

    /// Ends a span and queues it, unless its trace is not sampled or the queue
    /// is full.
    pub fn end(
        &self,
        span: Span,
        attributes: Vec<(&'static str, String)>,
        failed: bool,
    ) {
        if !span.context.sampled {
            return;
        }
        let end = SystemTime::now();
        let ended = EndedSpan { span, end, attributes, failed };
        let sender = self.sender.borrow();
        let Some(sender) = sender.as_ref() else { return };
        if sender.try_send(ended).is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// Number of spans that were dropped because the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Stops recording and waits until all queued spans have been written.
    pub fn close(&self) {
        self.sender.borrow_mut().take();
        let writer = self.writer.borrow_mut().take();
        if let Some(writer) = writer {
            let _ = writer.join();
        }
    }
}

/// Writes ended spans until the tracer is closed.
fn write_spans(mut file: File, node: &str, ended: &Receiver<EndedSpan>) {
    while let Ok(first) = ended.recv() {
        let mut spans = vec![encode_span(&first)];
        while spans.len() < MAX_LINE_SPAN_COUNT
            && let Ok(next) = ended.try_recv()
        {
            spans.push(encode_span(&next));
        }
        let resource = json!({"attributes": [
            attribute("service.name", "lagoondyked"),
            attribute("service.instance.id", node),
        ]});
        let scope = json!({"name": "lagoondyke"});
        let line = json!({"resourceSpans": [{
            "resource": resource,
            "scopeSpans": [{"scope": scope, "spans": spans}],
        }]});
        // Write errors are ignored: a full disk costs spans but does not fail
        // requests.
        let _ = writeln!(file, "{line}");
    }
}

fn encode_span(ended: &EndedSpan) -> Value {
    let span = &ended.span;
    let attributes = ended.attributes.iter();
    let attributes: Vec<_> =
        attributes.map(|(key, value)| attribute(key, value)).collect();
    let parent_id = match span.parent_id {
        0 => String::new(),
        id => format!("{id:016x}"),
    };
    json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "parentSpanId": parent_id,
        "name": span.name,
        "kind": span.kind,
        "startTimeUnixNano": unix_nanos(span.start),
        "endTimeUnixNano": unix_nanos(ended.end),
        "attributes": attributes,
        "status": {"code": if ended.failed { STATUS_CODE_ERROR } else { 0 }},
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({"key": key, "value": {"stringValue": value}})
}

/// Nanoseconds since the Unix epoch, as OTLP JSON has them: in a string.
fn unix_nanos(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_nanos().to_string()
}
