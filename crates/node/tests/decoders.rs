//! Random and mutated input to each decoder that reads from a socket.

use bytes::BytesMut;
use lagoondyke_core::control::{Control, Locate, MAX_DATAGRAM_BYTES};
use lagoondyke_core::id::GroupId;
use lagoondyke_core::peer::{Frame, encode};
use lagoondyke_node::frames;
use lagoondyke_node::wire::{
    MAX_HEAD_BYTES, decode_request, keeps_alive, request_framing,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64;

const ROUNDS: usize = 100_000;

/// How inputs were judged.
#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    partial: usize,
    refused: usize,
}

/// Throws inputs at `decode`, half of them random and half mutated from
/// `samples`.
fn throw(
    name: &str,
    samples: &[Vec<u8>],
    mut decode: impl FnMut(&[u8]) -> Option<bool>,
) {
    let mut random = Pcg64::seed_from_u64(0x1a60);
    let mut counts = Counts::default();
    for round in 0..ROUNDS {
        let input = if round % 2 == 0 {
            let mut bytes = vec![0; random.random_range(0..200)];
            random.fill_bytes(&mut bytes);
            bytes
        } else {
            mutate(
                &samples[random.random_range(0..samples.len())],
                &mut random,
            )
        };
        match decode(&input) {
            Some(true) => counts.whole += 1,
            Some(false) => counts.partial += 1,
            None => counts.refused += 1,
        }
    }
    println!("{name}: {ROUNDS} inputs, {counts:?}");
    // Mutations must reach past the first check of each decoder.
    assert!(counts.whole > 0 && counts.refused > 0, "{name}: {counts:?}");
}

fn mutate(sample: &[u8], random: &mut Pcg64) -> Vec<u8> {
    let mut bytes = sample.to_vec();
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..=bytes.len());
        match random.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, random.random()),
            2 if at < bytes.len() => bytes[at] = random.random(),
            3 if at < bytes.len() => {
                bytes[at] ^= 1 << random.random_range(0..8);
            }
            _ => {
                let copy = bytes[at..].to_vec();
                bytes.extend(copy);
            }
        }
    }
    bytes
}

/// Guards against a datagram that ends the node.
#[test]
fn control_datagrams() {
    let group = GroupId::of("s", 0);
    let samples = [
        Control::Locate(Locate { group, known: 7 }).encode().unwrap(),
        vec![0; MAX_DATAGRAM_BYTES + 1],
    ];
    throw("control datagrams", &samples, |input| {
        Control::decode(input).ok().map(|_| true)
    });
}

/// Guards against a frame that ends the node or takes its memory.
#[test]
fn peer_frames() {
    let config = Frame::Config { id: 3, version: 9 };
    let fetch = Frame::FetchConfig { id: 1, operator: "o".to_owned() };
    let samples = [
        encode(&config, b"document").unwrap(),
        encode(&fetch, b"").unwrap(),
        encode(&request(), b"body").unwrap(),
        vec![255; 16],
    ];
    throw("peer frames", &samples, |input| {
        let mut buf = BytesMut::from(input);
        match frames::split_frame(&mut buf).ok()? {
            Some((Frame::Request(request), body)) => {
                frames::call_of(request, body).ok().map(|_| true)
            }
            other => Some(other.is_some()),
        }
    });
}

fn request() -> Frame {
    use lagoondyke_core::id::Fingerprint;
    Frame::Request(lagoondyke_core::peer::RequestFrame {
        id: 5,
        service: "s".to_owned(),
        key: None,
        deadline: 100,
        idempotent: true,
        token: Some("t".to_owned()),
        scope: None,
        partner: None,
        fingerprint: Fingerprint(1),
        method: "GET".to_owned(),
        path: "/x".to_owned(),
        headers: vec![("accept".to_owned(), b"text/plain".to_vec())],
        trace: None,
    })
}

/// Guards against a head that ends the node, and against one over the limit
/// that is accepted.
#[test]
fn caller_heads() {
    let head = "POST /a?b=c HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\
        connection: close\r\nlagoondyke-service: s\r\n\r\nbody";
    let chunked = "PUT / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    let samples = [
        head.as_bytes().to_vec(),
        chunked.as_bytes().to_vec(),
        vec![b'a'; MAX_HEAD_BYTES + 1],
    ];
    throw("caller heads", &samples, |input| {
        let mut buf = BytesMut::from(input);
        let Some(head) = decode_request(&mut buf).ok()? else {
            return Some(false);
        };
        let _ = keeps_alive(head.version, &head.headers);
        let _ = lagoondyke_node::ops::is_reserved(head.uri.path());
        request_framing(&head.headers).ok().map(|_| true)
    });
}
