//! Stand-in for the platform's store.
//!
//! It answers as `PROTOCOL.md` says. A drill takes it away for a moment and
//! brings it back from an earlier copy: what the system wrote since is gone,
//! what the operator wrote is written again, revisions are given out again, a
//! watch from a revision that it does not have gets 410, and `Store-Era` in
//! all answers rises by one.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Handler, Message, answer};
use crate::json::Json;
use crate::record::Record;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval between copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// Age at which copies are dropped.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Deleted objects by the revision of the deletion.
    deleted: BTreeMap<u64, (String, String)>,
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        self.revision += 1;
        let object = Object { revision: self.revision, spec };
        self.objects.insert((kind.to_owned(), name.to_owned()), object);
        self.revision
    }
}

struct State {
    content: Content,
    era: u64,
    away: bool,
    copies: Vec<(Instant, Content)>,
    /// What the operator wrote, and when.
    operator: Vec<(Instant, String, String, Json)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0");
        let listener = listener.unwrap_or_else(|_| std::process::exit(2));
        let addr = listener.local_addr();
        let addr = addr.unwrap_or_else(|_| std::process::exit(2));
        let state = State {
            content: Content { revision: 100, ..Content::default() },
            era: 1,
            away: false,
            copies: Vec::new(),
            operator: Vec::new(),
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        http::serve(listener, Arc::clone(&store));
        let copier = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                copier.copy();
                thread::sleep(COPY_INTERVAL);
            }
        });
        (store, addr)
    }

    fn copy(&self) {
        let Ok(mut state) = self.state.lock() else { return };
        if state.away {
            return;
        }
        let content = state.content.clone();
        let now = Instant::now();
        state.copies.push((now, content));
        state.copies.retain(|(at, _)| now - *at < MAX_COPY_AGE);
    }

    /// Writes an object, as the operator does.
    pub fn operate(&self, kind: &str, name: &str, spec: Json) {
        let Ok(mut state) = self.state.lock() else { return };
        let revision = state.content.put(kind, name, spec.clone());
        let entry = (Instant::now(), kind.to_owned(), name.to_owned(), spec);
        state.operator.push(entry);
        self.changed.notify_all();
        self.record.line(&format!(
            "the operator writes {kind}/{name} at revision {revision}"
        ));
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().map_or(0, |state| state.content.revision)
    }

    /// Takes the store away for `away`, and brings it back from the copy that
    /// is `age` old at the moment it goes away.
    pub fn drill(&self, age: Duration, away: Duration) {
        let gone_at = Instant::now();
        let Ok(mut state) = self.state.lock() else { return };
        let lost = state.content.revision;
        let mut copies = state.copies.iter().rev();
        let copy = copies.find(|(at, _)| gone_at - *at >= age).cloned();
        let Some((copied, content)) = copy else {
            self.record.show("there is no copy of this age");
            return;
        };
        state.away = true;
        self.changed.notify_all();
        drop(state);
        thread::sleep(away);
        let Ok(mut state) = self.state.lock() else { return };
        state.content = content;
        state.era += 1;
        state.copies.clear();
        let back = state.content.revision;
        let again: Vec<_> = state
            .operator
            .iter()
            .filter(|entry| entry.0 > copied)
            .cloned()
            .collect();
        for (_, kind, name, spec) in again {
            state.content.put(&kind, &name, spec);
        }
        state.away = false;
        self.changed.notify_all();
        self.record.show(&format!(
            "the store was away for {} ms and is back from a copy {:.1} s \
             old: revision {back} instead of {lost}, Store-Era {}",
            away.as_millis(),
            (gone_at - copied).as_secs_f64(),
            state.era
        ));
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<Message> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().ok()?;
        let era = state.era;
        loop {
            // A watch that is waiting is cut off when the store goes away.
            if state.away || state.era != era {
                return None;
            }
            if after > state.content.revision {
                return Some(with_era(answer(410, &[], "{}"), era));
            }
            let events = events(&state.content, kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.content.revision
                );
                return Some(with_era(json_answer(200, &body), era));
            }
            state = self.changed.wait_timeout(state, left).ok()?.0;
        }
    }

    fn write(&self, state: &mut State, kind: &str, request: &Message) -> Message {
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, &[], "");
        };
        let create = request.method() == "POST";
        let path_name = request.path().rsplit('/').next().unwrap_or_default();
        let body_name = body.get("metadata").get("name").text();
        let name = if create { body_name } else { path_name };
        let key = (kind.to_owned(), name.to_owned());
        let expected = body.get("metadata").get("revision").number();
        let current = state.content.objects.get(&key);
        let conflict = match current {
            None if create => false,
            None => return answer(404, &[], ""),
            Some(_) if create => true,
            Some(found) => expected.is_some_and(|e| e != found.revision),
        };
        let spec = body.get("spec");
        if conflict {
            let text = current.map(|found| object_text(name, found));
            return json_answer(409, &text.unwrap_or_default());
        }
        if current.is_none_or(|found| found.spec != *spec) {
            let revision = state.content.put(kind, name, spec.clone());
            if kind.ends_with("tables") {
                self.record.line(&format!(
                    "the system writes {kind}/{name} at revision {revision}"
                ));
            }
            self.changed.notify_all();
        }
        let found = &state.content.objects[&key];
        json_answer(if create { 201 } else { 200 }, &object_text(name, found))
    }
}

fn json_answer(status: u16, body: &str) -> Message {
    answer(status, &[("Content-Type", "application/json")], body)
}

fn with_era(mut message: Message, era: u64) -> Message {
    message.headers.push(("Store-Era".to_owned(), era.to_string()));
    message
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":1,\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{},\
         \"status\":null}}",
        Json::Text(name.to_owned()),
        object.revision,
        object.spec
    )
}

fn events(content: &Content, kind: &str, after: u64) -> Vec<String> {
    let mut events = Vec::new();
    for (key, object) in &content.objects {
        if key.0 == kind && object.revision > after {
            let object = object_text(&key.1, object);
            events.push(format!("{{\"deleted\":false,\"object\":{object}}}"));
        }
    }
    for (&revision, key) in content.deleted.range(after + 1..) {
        if key.0 == kind {
            let object = Object { revision, spec: Json::Null };
            let object = object_text(&key.1, &object);
            events.push(format!("{{\"deleted\":true,\"object\":{object}}}"));
        }
    }
    events
}

impl Handler for Store {
    fn handle(&self, request: &Message) -> Option<Message> {
        thread::sleep(ANSWER_TIME);
        let rest = request.path().strip_prefix("/api/objects/")?;
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let number = |name| request.query(name).and_then(|n| n.parse().ok());
        if let Some(after) = number("watch") {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            return self.watch(kind, after, wait);
        }
        let mut state = self.state.lock().ok()?;
        if state.away {
            return None;
        }
        let era = state.era;
        let reply = if request.method() != "GET" {
            self.write(&mut state, kind, request)
        } else if name.is_empty() {
            let objects = state.content.objects.iter();
            let items = objects.filter(|(key, _)| key.0 == kind);
            let items: Vec<String> =
                items.map(|(key, o)| object_text(&key.1, o)).collect();
            let body = format!(
                "{{\"items\":[{}],\"more\":false,\"as_of\":{}}}",
                items.join(","),
                state.content.revision
            );
            json_answer(200, &body)
        } else {
            let key = (kind.to_owned(), name.to_owned());
            match state.content.objects.get(&key) {
                None => answer(404, &[], ""),
                Some(object) => json_answer(200, &object_text(name, object)),
            }
        };
        Some(with_era(reply, era))
    }
}
