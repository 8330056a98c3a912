//! Stand-in of the platform's store: objects by kind and name with revisions,
//! conditional writes, lists and watches. Each answer takes 4 ms.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::{Message, serve};
use crate::json::{Value, parse};
use crate::record::sleep;

const ANSWER_MS: u64 = 4;

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Answers take this many times as long.
    slow: u64,
    /// Rises with each drill.
    era: u64,
    /// Connections are closed without an answer.
    away: bool,
}

#[derive(Clone, Default)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    copy: Arc<Mutex<Content>>,
}

impl Store {
    pub fn start() -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Self::default();
        {
            let mut content = store.content.lock().unwrap();
            (content.revision, content.era) = (100, 1);
        }
        let handler = store.clone();
        serve(listener, Arc::default(), move |call| {
            sleep(ANSWER_MS * handler.slow().max(1));
            if handler.content.lock().unwrap().away {
                return None;
            }
            let answer = handler.answer(call);
            let content = handler.content.lock().unwrap();
            (!content.away).then(|| answer.with("Store-Era", content.era))
        });
        Ok((store, addr))
    }

    fn slow(&self) -> u64 {
        self.content.lock().unwrap().slow
    }

    /// Makes answers take `times` as long.
    pub fn set_slow(&self, times: u64) {
        self.content.lock().unwrap().slow = times;
    }

    /// Makes the copy from which the store comes back in a drill.
    pub fn make_copy(&self) {
        let content = self.content.lock().unwrap().clone();
        *self.copy.lock().unwrap() = content;
    }

    /// A drill: the store is away for a moment and comes back from the copy.
    /// The operator has written nothing since.
    pub fn drill(&self, away_ms: u64) {
        self.content.lock().unwrap().away = true;
        sleep(away_ms);
        let mut content = self.content.lock().unwrap();
        let era = content.era + 1;
        *content = self.copy.lock().unwrap().clone();
        content.era = era;
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let entry = (content.revision, spec.to_owned());
        content.objects.insert((kind.to_owned(), name.to_owned()), entry);
    }

    fn answer(&self, call: &Message) -> Message {
        let rest = call.path().strip_prefix("/api/objects/");
        let Some(rest) = rest else { return Message::response(404, "") };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if call.method != "GET" {
            return self.write(kind, name, call);
        }
        if let Some(after) = call.query("watch") {
            let after = after.parse().unwrap_or(0);
            let wait = call.query("wait_ms").and_then(|w| w.parse().ok());
            return self.watch(kind, after, wait.unwrap_or(0));
        }
        let content = self.content.lock().unwrap();
        if name.is_empty() {
            let of_kind = content.objects.iter().filter(|o| o.0.0 == kind);
            let items: Vec<String> =
                of_kind.map(|(key, o)| object(&key.1, o)).collect();
            let (items, as_of) = (items.join(","), content.revision);
            let body = format!(
                "{{\"items\":[{items}],\"more\":false,\"as_of\":{as_of}}}"
            );
            return Message::response(200, body);
        }
        let key = (kind.to_owned(), name.to_owned());
        match content.objects.get(&key) {
            Some(found) => Message::response(200, object(name, found)),
            None => Message::response(404, ""),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Message {
        let mut waited = 0;
        let era = self.content.lock().unwrap().era;
        loop {
            let content = self.content.lock().unwrap();
            if after > content.revision || content.era != era {
                return Message::response(410, "");
            }
            let changed = content.objects.iter();
            let changed: Vec<String> = changed
                .filter(|(key, o)| key.0 == kind && o.0 > after)
                .map(|(key, o)| {
                    let object = object(&key.1, o);
                    format!("{{\"deleted\":false,\"object\":{object}}}")
                })
                .collect();
            if !changed.is_empty() || waited >= wait_ms {
                let (events, as_of) = (changed.join(","), content.revision);
                let body =
                    format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
                return Message::response(200, body);
            }
            drop(content);
            sleep(5);
            waited += 5;
        }
    }

    fn write(&self, kind: &str, name: &str, call: &Message) -> Message {
        let Some(body) = parse(&call.text()) else {
            return Message::response(400, "");
        };
        let meta = body.get("metadata").cloned().unwrap_or(Value::Null);
        let create = call.method == "POST";
        let named = meta.get("name").and_then(Value::text);
        let name = if create { named.unwrap_or_default() } else { name };
        let key = (kind.to_owned(), name.to_owned());
        let expected = meta.get("revision").and_then(Value::number);
        let mut content = self.content.lock().unwrap();
        let current = content.objects.get(&key);
        let conflict = match (create, current) {
            (true, found) => found.is_some(),
            (false, None) => return Message::response(404, ""),
            (false, Some(found)) => expected.is_some_and(|e| e != found.0),
        };
        if conflict {
            let body = current.map(|found| object(name, found));
            return Message::response(409, body.unwrap_or_default());
        }
        content.revision += 1;
        let spec = body.get("spec").cloned().unwrap_or(Value::Null);
        let entry = (content.revision, spec.to_string());
        let body = object(name, &entry);
        content.objects.insert(key, entry);
        Message::response(if create { 201 } else { 200 }, body)
    }
}

fn object(name: &str, (revision, spec): &(u64, String)) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\
         \"created\":1,\"finalizers\":[],\"deletion_pending\":false}},\
         \"spec\":{spec},\"status\":null}}"
    )
}
