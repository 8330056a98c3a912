//! HTTP/1.1 over blocking sockets: a server with a thread for each connection,
//! and a client. Bodies have a length.

use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request, or status of a response.
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn request(method: &str, target: &str) -> Self {
        let (method, target) = (method.to_owned(), target.to_owned());
        Self { method, target, ..Self::default() }
    }

    pub fn response(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into(), ..Self::default() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request or response; `None` at the end of the connection.
fn read(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.trim_end().splitn(3, ' ');
    let first = words.next().unwrap_or_default().to_owned();
    let second = words.next().unwrap_or_default().to_owned();
    let mut message = Message::default();
    if first.starts_with("HTTP/") {
        message.status = second.parse().unwrap_or(0);
    } else {
        (message.method, message.target) = (first, second);
    }
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn put(out: &mut Vec<u8>, message: &Message) {
    let line = if message.status > 0 {
        format!("HTTP/1.1 {} X\r\n", message.status)
    } else {
        format!("{} {} HTTP/1.1\r\n", message.method, message.target)
    };
    out.extend(line.as_bytes());
    for (name, value) in &message.headers {
        out.extend(format!("{name}: {value}\r\n").as_bytes());
    }
    let bodiless = message.status == 0 && message.body.is_empty();
    if !bodiless {
        let length = message.body.len();
        out.extend(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.extend(b"\r\n");
    out.extend(&message.body);
}

/// Serves requests until `ended` is set. A handler returns `None` to close the
/// connection without an answer.
pub fn serve<H>(listener: TcpListener, ended: Arc<AtomicBool>, handler: H)
where
    H: Fn(&Message) -> Option<Message> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let _ = listener.set_nonblocking(true);
    std::thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut input) {
                    let Some(answer) = handler(&request) else { return };
                    let mut out = Vec::new();
                    put(&mut out, &answer);
                    if output.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request over a new connection.
pub fn call(
    to: SocketAddr,
    request: &Message,
    limit_ms: u64,
) -> io::Result<Message> {
    let limit = Duration::from_millis(limit_ms.max(1));
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut out = Vec::new();
    put(&mut out, request);
    stream.write_all(&out)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
