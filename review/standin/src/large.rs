//! A server loop for requests with bodies that the project's stand-in does not
//! take. It discards the bodies.

use std::rc::Rc;

use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, Uri};
use lagoondyke_standin::server::{Call, Handler, Reply};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

const BLOCK_BYTES: usize = 64 * 1024;

pub async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = Rc::clone(&handler);
        monoio::spawn(async move {
            let _ = serve_connection(stream, &*handler).await;
        });
    }
}

async fn serve_connection<H: Handler>(
    mut stream: TcpStream,
    handler: &H,
) -> Option<()> {
    let mut read: Vec<u8> = Vec::new();
    loop {
        let end = loop {
            let end = read.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            let block = Vec::with_capacity(BLOCK_BYTES);
            let (count, block) = stream.read(block).await;
            if count.ok()? == 0 {
                return None;
            }
            read.extend_from_slice(&block);
        };
        let call = parse(&read[..end])?;
        let length = call.header("content-length");
        let length: usize = length.map_or(Some(0), |l| l.parse().ok())?;
        let mut missing = (end + length).saturating_sub(read.len());
        read.drain(..read.len().min(end + length));
        while missing > 0 {
            let block = Vec::with_capacity(BLOCK_BYTES);
            let (count, block) = stream.read(block).await;
            if count.ok()? == 0 {
                return None;
            }
            let used = missing.min(block.len());
            missing -= used;
            read.extend_from_slice(&block[used..]);
        }
        let reply = handler.handle(call).await?;
        let (result, _) = stream.write_all(encode(&reply)).await;
        result.ok()?;
    }
}

fn parse(head: &[u8]) -> Option<Call> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let method: Method = first.next()?.parse().ok()?;
    let uri: Uri = first.next()?.parse().ok()?;
    let mut headers = HeaderMap::new();
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_str(value.trim()).ok()?);
    }
    Some(Call { method, uri, headers, body: Default::default() })
}

fn encode(reply: &Reply) -> Vec<u8> {
    let code = reply.code();
    let length = reply.body.len();
    let mut out = format!("HTTP/1.1 {code} x\r\ncontent-length: {length}\r\n");
    for (name, value) in &reply.headers {
        let value = value.to_str().unwrap_or_default();
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(&reply.body);
    out
}
