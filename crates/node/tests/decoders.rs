//! Fuzz tests: random and mutated input to each decoder of data that arrives
//! at a socket.

use bytes::BytesMut;
use lagoondyke_core::control::{Control, Locate, MAX_DATAGRAM_BYTES};
use lagoondyke_core::fleet::gossip::{Gossip, MAX_GOSSIP_BYTES};
use lagoondyke_core::id::{Fingerprint, GroupId};
use lagoondyke_core::peer::{Frame, encode};
use lagoondyke_node::frames;
use lagoondyke_node::wire::{
    MAX_HEAD_BYTES, decode_request, keeps_alive, request_framing,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64;

const ROUND_COUNT: usize = 100_000;

/// Numbers of inputs by the decoder's result.
#[derive(Debug, Default)]
struct ResultCounts {
    complete: usize,
    partial: usize,
    rejected: usize,
}

/// Feeds inputs to `decode`, half of them random and half mutated `samples`.
/// `decode` returns whether the input is complete, or `None` if it rejects it.
fn feed(
    name: &str,
    samples: &[Vec<u8>],
    mut decode: impl FnMut(&[u8]) -> Option<bool>,
) {
    let mut random = Pcg64::seed_from_u64(0x1a60);
    let mut counts = ResultCounts::default();
    for round in 0..ROUND_COUNT {
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
            Some(true) => counts.complete += 1,
            Some(false) => counts.partial += 1,
            None => counts.rejected += 1,
        }
    }
    println!("{name}: {ROUND_COUNT} inputs, {counts:?}");
    // Mutated inputs must pass the decoder's first check, or the later ones are
    // not tested.
    assert!(counts.complete > 0 && counts.rejected > 0, "{name}: {counts:?}");
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

/// Guards against control datagrams that crash the node.
#[test]
fn control_datagrams() {
    let group = GroupId::of("s", 0);
    let samples = [
        Control::Locate(Locate { group, known: 7 }).encode().unwrap(),
        vec![0; MAX_DATAGRAM_BYTES + 1],
    ];
    feed("control datagrams", &samples, |input| {
        Control::decode(input).ok().map(|_| true)
    });
}

/// Guards against gossip datagrams that crash the node.
#[test]
fn gossip_datagrams() {
    let gossip = Gossip {
        node: "n1".to_owned(),
        lease: Some((7, 3_000)),
        suspects: vec![Fingerprint(u64::MAX); 3],
        ..Gossip::default()
    };
    let samples = [
        gossip.encode().expect("gossip can be encoded"),
        vec![2; MAX_GOSSIP_BYTES + 1],
    ];
    feed("gossip datagrams", &samples, |input| {
        Gossip::decode(input).map(|_| true)
    });
}

/// Guards against peer frames that crash the node or exhaust its memory.
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
    feed("peer frames", &samples, |input| {
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

/// Guards against request heads that crash the node, and against oversized
/// ones that are accepted.
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
    feed("caller heads", &samples, |input| {
        let mut buf = BytesMut::from(input);
        let Some(head) = decode_request(&mut buf).ok()? else {
            return Some(false);
        };
        let _ = keeps_alive(head.version, &head.headers);
        let _ = lagoondyke_node::ops::is_reserved(head.uri.path());
        request_framing(&head.headers).ok().map(|_| true)
    });
}
