//! Traces: one span per hop, as OTLP JSON lines in a file.
//!
//! A span continues the W3C `traceparent` that came with the request, or
//! starts a trace. Spans wait in a bounded buffer for a thread that writes
//! them; when it is full, further spans are dropped, so that a slow disk
//! never delays a request.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Spans that wait to be written.
const BUFFER: usize = 4_096;

/// Most spans in one line of the file.
const LINE_MAX: usize = 256;

/// `SPAN_KIND_SERVER` of OTLP.
const SERVER: u8 = 2;

/// `SPAN_KIND_CLIENT` of OTLP.
const CLIENT: u8 = 3;

/// `STATUS_CODE_ERROR` of OTLP.
const ERROR: u8 = 2;

/// The trace context that one hop passes to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Context {
    /// The trace.
    pub trace: u128,
    /// The span.
    pub span: u64,
    /// Whether spans of this trace are recorded.
    pub sampled: bool,
}

impl Context {
    /// Parses a `traceparent` header; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('-');
        let version = hex(fields.next()?, 2)?;
        let trace = hex(fields.next()?, 32)?;
        let span = hex(fields.next()?, 16)? as u64;
        let flags = hex(fields.next()?, 2)?;
        // Later versions may add fields; version 255 is not allowed.
        let more = fields.next().is_some();
        if version == 255 || version == 0 && more || trace == 0 || span == 0 {
            return None;
        }
        Some(Self { trace, span, sampled: flags & 1 == 1 })
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

fn hex(text: &str, size: usize) -> Option<u128> {
    let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != size || !text.bytes().all(digit) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

/// A span that has not ended.
#[derive(Clone, Debug)]
pub struct Span {
    context: Context,
    parent: u64,
    start: SystemTime,
    name: &'static str,
    kind: u8,
}

impl Span {
    /// The `traceparent` for the next hop.
    #[must_use]
    pub fn header(&self) -> String {
        self.context.to_string()
    }

    /// A span of a call that this hop makes.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        let span = rand::random_range(1..=u64::MAX);
        Self {
            context: Context { span, ..self.context },
            parent: self.context.span,
            start: SystemTime::now(),
            name,
            kind: CLIENT,
        }
    }
}

#[derive(Debug)]
struct Ended {
    span: Span,
    end: SystemTime,
    fields: Vec<(&'static str, String)>,
    failed: bool,
}

/// Records spans; without a file it records none.
#[derive(Debug, Default)]
pub struct Tracer {
    sender: RefCell<Option<SyncSender<Ended>>>,
    writer: RefCell<Option<JoinHandle<()>>>,
    dropped: Cell<u64>,
}

impl Tracer {
    /// Records to a file, which is created or extended. `node` names this
    /// node in each line.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(file: impl AsRef<Path>, node: String) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(file)?;
        let (sender, ended) = sync_channel(BUFFER);
        let builder = std::thread::Builder::new().name("traces".to_owned());
        let writer = builder.spawn(move || write(file, &node, &ended))?;
        Ok(Self {
            sender: RefCell::new(Some(sender)),
            writer: RefCell::new(Some(writer)),
            dropped: Cell::new(0),
        })
    }

    /// Starts the span of a request that arrived with this `traceparent`;
    /// `None` if no spans are recorded.
    #[must_use]
    pub fn start(
        &self,
        name: &'static str,
        traceparent: Option<&str>,
    ) -> Option<Span> {
        self.sender.borrow().as_ref()?;
        let parent = traceparent.and_then(Context::parse);
        let span = rand::random_range(1..=u64::MAX);
        let trace = || rand::random_range(1..=u128::MAX);
        let context = Context {
            trace: parent.map_or_else(trace, |parent| parent.trace),
            span,
            sampled: parent.is_none_or(|parent| parent.sampled),
        };
        let parent = parent.map_or(0, |parent| parent.span);
        let start = SystemTime::now();
        Some(Span { context, parent, start, name, kind: SERVER })
    }

    /// Ends a span.
    pub fn end(
        &self,
        span: Span,
        fields: Vec<(&'static str, String)>,
        failed: bool,
    ) {
        if !span.context.sampled {
            return;
        }
        let end = SystemTime::now();
        let ended = Ended { span, end, fields, failed };
        let sender = self.sender.borrow();
        let Some(sender) = sender.as_ref() else { return };
        if sender.try_send(ended).is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// Spans that were dropped since the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Writes all spans that wait, and records no more.
    pub fn close(&self) {
        self.sender.borrow_mut().take();
        let writer = self.writer.borrow_mut().take();
        if let Some(writer) = writer {
            let _ = writer.join();
        }
    }
}

fn write(mut file: File, node: &str, ended: &Receiver<Ended>) {
    while let Ok(first) = ended.recv() {
        let mut spans = vec![encode(&first)];
        while spans.len() < LINE_MAX
            && let Ok(next) = ended.try_recv()
        {
            spans.push(encode(&next));
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
        // A full disk loses spans, not requests.
        let _ = writeln!(file, "{line}");
    }
}

fn encode(ended: &Ended) -> Value {
    let span = &ended.span;
    let fields = ended.fields.iter();
    let fields: Vec<_> =
        fields.map(|(key, value)| attribute(key, value)).collect();
    let parent = match span.parent {
        0 => String::new(),
        parent => format!("{parent:016x}"),
    };
    json!({
        "traceId": format!("{:032x}", span.context.trace),
        "spanId": format!("{:016x}", span.context.span),
        "parentSpanId": parent,
        "name": span.name,
        "kind": span.kind,
        "startTimeUnixNano": nanoseconds(span.start),
        "endTimeUnixNano": nanoseconds(ended.end),
        "attributes": fields,
        "status": {"code": if ended.failed { ERROR } else { 0 }},
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({"key": key, "value": {"stringValue": value}})
}

fn nanoseconds(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_nanos().to_string()
}
