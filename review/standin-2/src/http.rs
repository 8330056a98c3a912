//! A small HTTP/1.1 server and client on threads.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let text = self.line.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}

/// An answer with this status, headers and body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Message {
    let headers = headers.iter().map(|(n, v)| ((*n).into(), (*v).into()));
    Message {
        line: format!("HTTP/1.1 {status} -"),
        headers: headers.collect(),
        body: body.as_bytes().to_vec(),
    }
}

/// Reads a message; `None` at the end of the connection.
pub fn read(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message =
        Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(io::Error::other)?;
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a message, with a length if it has a body or is an answer.
pub fn write(to: &mut impl Write, message: &Message) -> io::Result<()> {
    let mut text = format!("{}\r\n", message.line);
    for (name, value) in &message.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let is_answer = message.line.starts_with("HTTP/");
    if is_answer || !message.body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", message.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(&message.body);
    to.write_all(&bytes)
}

/// What a server does with a request; `None` closes the connection without an
/// answer.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Message) -> Option<Message>;

    /// Whether the server is up. One that is not refuses connections.
    fn is_up(&self) -> bool {
        true
    }
}

/// Interval at which a server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Serves each connection on a thread of its own, until the process ends or
/// the handler is down. Then all connections break.
pub fn serve(listener: TcpListener, handler: Arc<impl Handler>) {
    thread::spawn(move || {
        let _ = listener.set_nonblocking(true);
        let mut open: Vec<TcpStream> = Vec::new();
        while handler.is_up() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            open.retain(|old| old.peer_addr().is_ok());
            open.extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || {
                let _ = serve_connection(&stream, &*handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
        drop(listener);
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
}

fn serve_connection(
    stream: &TcpStream,
    handler: &impl Handler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream);
    let mut to = stream;
    while let Some(request) = read(&mut from)? {
        let Some(answer) = handler.handle(&request) else { return Ok(()) };
        write(&mut to, &answer)?;
    }
    Ok(())
}

/// A connection of a client, which is kept for several requests.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream =
            TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    pub fn call(&mut self, request: &Message) -> io::Result<Message> {
        write(self.stream.get_mut(), request)?;
        read(&mut self.stream)?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request over a connection of its own.
pub fn call_once(
    addr: SocketAddr,
    limit: Duration,
    request: &Message,
) -> io::Result<Message> {
    Client::connect(addr, limit)?.call(request)
}
