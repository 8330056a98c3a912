//! Cases of the second review. `review-2 CASE FOLDER` runs one and writes
//! `record.txt` to FOLDER; see the `claim.txt` there. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run.

mod clients;
mod cold;
mod exit;
mod fleet;
mod http;
mod json;
mod late;
mod record;
mod rewind;
mod server;
mod store;

use std::path::{Path, PathBuf};

/// The program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/lagoondyked";

/// Longest time that a case takes.
const LIMIT: std::time::Duration = std::time::Duration::from_secs(110);

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let program = Path::new(PROGRAM);
    if !program.exists() {
        fleet::give_up("the build of the deploy file is missing");
    }
    fleet::watch(LIMIT);
    let broken = match case.as_str() {
        "rewind" => rewind::run(program, &folder, trouble),
        "late" => late::run(program, &folder, trouble),
        "exit" => exit::run(program, &folder, trouble),
        "cold" => cold::run(program, &folder, trouble),
        _ => fleet::give_up("there is no such case"),
    };
    std::process::exit(i32::from(broken));
}

/// The operator's configuration: one service with these words, and a route
/// for it.
pub fn configuration(
    version: u64,
    service: &str,
    sharded: bool,
    route_type: &str,
) -> json::Json {
    let text = format!(
        "{{\"version\":\"r{version}\",\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/healthz\",\"max_connections\":120,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\
         \"warmup_per_s\":26.0,\"sharded\":{sharded},\"warm_s\":2.0,\
         \"grants\":\"heartbeat\"}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{}\",\
         \"paths\":[{{\"name\":\"lohu930\",\"path_prefix\":\"/lohu930/\",\
         \"service\":\"{service}\",\"route_type\":\"{route_type}\",\
         \"timeout_ms\":1500,\"target_latency_ms\":500,\"attempts\":2,\
         \"priority\":1}}]}}]}}",
        clients::HOST
    );
    json::Json::parse(text.as_bytes())
        .unwrap_or_else(|| fleet::give_up("the configuration is no JSON"))
}
