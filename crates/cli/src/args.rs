//! Parser of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{
    OptionParser, ParseFailure, Parser, ShellComp, construct, long, positional,
};

use lagoondyke_core::jsonc::is_name;

use crate::exit::{EXIT_HELP, Exit};

/// Line length of help texts; longer lines are wrapped.
const MAX_HELP_LINE_LEN: usize = 79;

/// Time limit of `--wait` if `--limit` is not given. A configuration is in
/// force within 4 s while the store answers.
const DEFAULT_LIMIT_SECS: u64 = 10;

const COMPLETION_HELP: &str = "Shell completion: write the output of \
--bpaf-complete-style-bash (or -zsh, -fish, -elvish) to the file that your \
shell loads.";

/// A parsed command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Check settings and configuration files.
    Check {
        /// Paths of the files; `-` is standard input.
        files: Vec<String>,
    },
    /// Apply a configuration document.
    Apply {
        /// Address of the store.
        store: SocketAddr,
        /// Path of the document; `-` is standard input.
        file: String,
        /// The version that must be current; 0 if there must be no document.
        /// Absent if any version may be replaced.
        expect: Option<u64>,
        /// Wait until the new version is in force.
        wait: Wait,
    },
    /// Print a configuration document.
    Show {
        /// Address of the store.
        store: SocketAddr,
        /// Name of the operator.
        operator: String,
    },
    /// Print the state of nodes.
    Status {
        /// Addresses of the nodes to ask.
        nodes: Vec<SocketAddr>,
        /// Whether to print JSON instead of a table.
        json: bool,
    },
    /// Print the owner of a key.
    Owner {
        /// Address of the node to ask.
        node: SocketAddr,
        /// Name of the service.
        service: String,
        /// The key as callers send it.
        key: String,
    },
    /// Explain how a node finds the owner of a key.
    Explain {
        /// Address of the node to ask.
        node: SocketAddr,
        /// Name of the service.
        service: String,
        /// The key as callers send it.
        key: String,
    },
    /// Take a domain out of service or put it back.
    Domain {
        /// Whether to take it out of service rather than put it back.
        out: bool,
        /// Address of the store.
        store: SocketAddr,
        /// Name of the operator.
        operator: String,
        /// Name of the domain.
        domain: String,
        /// Wait until the new version is in force.
        wait: Wait,
    },
    /// Stop a node gracefully.
    Drain {
        /// Address of the node.
        node: SocketAddr,
        /// Longest time to wait until it has stopped; absent to not wait.
        wait: Option<Duration>,
    },
    /// Give a group a new leader.
    Reset {
        /// Address of the store.
        store: SocketAddr,
        /// Peer address of the new leader.
        leader: SocketAddr,
        /// Peer addresses of the nodes that the operator declares lost.
        lost: Vec<SocketAddr>,
        /// Name of the group's service.
        service: String,
        /// Index of the group within the service.
        index: u16,
    },
}

/// Options of commands that can wait until a version is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wait {
    /// Whether to wait.
    pub enabled: bool,
    /// Longest time to wait.
    pub limit: Duration,
    /// Addresses of the nodes that must have the version in force.
    pub nodes: Vec<SocketAddr>,
}

impl Command {
    /// Address of the store; `None` for commands that do not use it.
    #[must_use]
    pub fn store(&self) -> Option<SocketAddr> {
        match *self {
            Self::Apply { store, .. }
            | Self::Show { store, .. }
            | Self::Domain { store, .. }
            | Self::Reset { store, .. } => Some(store),
            _ => None,
        }
    }
}

/// Returns the parser of the command line.
///
/// # Example
///
/// ```
/// use lagoondyke_cli::args::{Command, options};
///
/// let line = &["drain", "--node", "127.0.0.1:8101"];
/// let command = options().run_inner(line).unwrap();
/// let node = "127.0.0.1:8101".parse().unwrap();
/// assert_eq!(command, Command::Drain { node, wait: None });
/// ```
#[must_use]
pub fn options() -> OptionParser<Command> {
    let (check, apply, show) = (check(), apply(), show());
    let (status, owner, explain) = (status(), owner(), explain());
    let (domain, drain, group) = (domain(), drain(), group());
    construct!([
        check, apply, show, status, owner, explain, domain, drain, group
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Operates lagoondyke: configuration, domains, nodes and groups.")
    .header(
        "First steps: check a document, apply it, then look at the nodes.\n \
         lagoondyke check examples/jutland.jsonc\n \
         lagoondyke apply --store 127.0.0.1:7000 examples/jutland.jsonc\n \
         lagoondyke status --node 127.0.0.1:8101",
    )
    .footer(format!("{EXIT_HELP} {COMPLETION_HELP}").as_str())
    .fallback_to_usage()
    .max_width(MAX_HELP_LINE_LEN)
}

/// Prints help, completions or the error of a wrong command line, and returns
/// the exit status.
#[must_use]
pub fn report(failure: &ParseFailure) -> ExitCode {
    failure.print_message(MAX_HELP_LINE_LEN);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(Exit::Usage as u8),
        _ => ExitCode::SUCCESS,
    }
}

fn store() -> impl Parser<SocketAddr> {
    long("store")
        .env("LAGOONDYKE_STORE")
        .help("Address of the store's HTTP API, as IP:port")
        .argument::<SocketAddr>("ADDR")
}

fn node() -> impl Parser<SocketAddr> {
    long("node")
        .help("Address on which the node serves callers, as IP:port")
        .argument::<SocketAddr>("ADDR")
}

/// An option that can be repeated, each time with a comma-separated list of
/// addresses.
fn address_list(
    name: &'static str,
    help: &'static str,
) -> impl Parser<Vec<SocketAddr>> {
    long(name)
        .help(help)
        .argument::<String>("ADDR,...")
        .parse(|text| parse_addresses(&text))
        .many()
        .map(|lists| lists.concat())
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let mut list = Vec::new();
    for part in text.split(',') {
        let addr = part.parse().map_err(|_| {
            format!("{part:?} is not an address such as 127.0.0.1:8101")
        })?;
        list.push(addr);
    }
    Ok(list)
}

fn nodes() -> impl Parser<Vec<SocketAddr>> {
    address_list("node", "Nodes, by the addresses on which they serve callers")
}

fn limit() -> impl Parser<Duration> {
    long("limit")
        .help("Longest time to wait, in seconds")
        .argument::<u64>("SECONDS")
        .guard(|s| (1..=3_600).contains(s), "must be 1 to 3600 seconds")
        .fallback(DEFAULT_LIMIT_SECS)
        .display_fallback()
        .map(Duration::from_secs)
}

fn wait() -> impl Parser<Wait> {
    let enabled = long("wait")
        .help("Wait until all nodes given by --node have the version in force")
        .switch();
    let (nodes, limit) = (nodes(), limit());
    construct!(Wait { enabled, limit, nodes }).guard(
        |w| w.enabled != w.nodes.is_empty(),
        "--wait and --node ADDR belong together",
    )
}

/// Error message for an invalid name.
const NAME_ERROR: &str =
    "must be 1 to 63 lowercase letters, digits and dashes";

fn service() -> impl Parser<String> {
    positional::<String>("SERVICE")
        .help("Name of the service")
        .guard(|name| is_name(name), NAME_ERROR)
}

fn key() -> impl Parser<String> {
    positional::<String>("KEY").help("The key as callers send it")
}

fn check() -> impl Parser<Command> {
    let files = positional::<String>("FILE")
        .help("Settings or configuration, - for standard input")
        .complete_shell(ShellComp::File { mask: None })
        .some("expected at least one file");
    construct!(Command::Check { files })
        .to_options()
        .descr("Checks settings and configuration files without network.")
        .footer(EXIT_HELP)
        .command("check")
        .help("Check settings and configuration files")
}

fn apply() -> impl Parser<Command> {
    let store = store();
    let expect = long("expect")
        .help("Apply only if this version is current; 0 if there is none")
        .argument::<u64>("VERSION")
        .optional();
    let wait = wait();
    let file = positional::<String>("FILE")
        .help("Configuration document, - for standard input")
        .complete_shell(ShellComp::File { mask: None });
    construct!(Command::Apply { store, expect, wait, file })
        .to_options()
        .descr("Applies a configuration document as a whole.")
        .header(
            "Without --expect the current version is read and the update is \
             made on the condition that it has not changed since. To go back \
             to an older document, apply it again: it gets a new version.",
        )
        .footer(EXIT_HELP)
        .command("apply")
        .help("Apply a configuration document")
}

fn operator() -> impl Parser<String> {
    positional::<String>("OPERATOR")
        .help("Name of the operator")
        .guard(|name| is_name(name), NAME_ERROR)
}

fn show() -> impl Parser<Command> {
    let (store, operator) = (store(), operator());
    construct!(Command::Show { store, operator })
        .to_options()
        .descr("Prints an operator's document; its version on stderr.")
        .footer(EXIT_HELP)
        .command("show")
        .help("Print the configuration document of an operator")
}

fn status() -> impl Parser<Command> {
    let nodes = nodes().guard(|n| !n.is_empty(), "--node ADDR is required");
    let json = long("json").help("Print JSON instead of a table").switch();
    construct!(Command::Status { nodes, json })
        .to_options()
        .descr("Prints the state of nodes, and the members at leaders.")
        .footer(EXIT_HELP)
        .command("status")
        .help("Print the state of nodes")
}

fn owner() -> impl Parser<Command> {
    let (node, service, key) = (node(), service(), key());
    construct!(Command::Owner { node, service, key })
        .to_options()
        .descr("Prints the node that owns a key.")
        .footer(EXIT_HELP)
        .command("owner")
        .help("Print the owner of a key")
}

fn explain() -> impl Parser<Command> {
    let (node, service, key) = (node(), service(), key());
    construct!(Command::Explain { node, service, key })
        .to_options()
        .descr("Explains step by step how a node finds the owner of a key.")
        .footer(EXIT_HELP)
        .command("explain")
        .help("Explain how a node finds the owner of a key")
}

fn domain() -> impl Parser<Command> {
    let take_out = set_domain(true)
        .to_options()
        .descr("Takes a domain out of service; it receives no new work.")
        .footer(EXIT_HELP)
        .command("out")
        .help("Take a domain out of service");
    let put_back = set_domain(false)
        .to_options()
        .descr("Puts a domain back into service.")
        .footer(EXIT_HELP)
        .command("in")
        .help("Put a domain back into service");
    construct!([take_out, put_back])
        .to_options()
        .descr("Takes a failure domain out of service or puts it back.")
        .header(
            "Changes one field of the operator's document and keeps its \
             comments and layout. If another change comes first, the \
             document is read and edited again.",
        )
        .command("domain")
        .long("zone")
        .help("Take a failure domain out of service or put it back")
}

/// Parser of the arguments of `domain out` and `domain in`.
fn set_domain(out: bool) -> impl Parser<Command> {
    let store = store();
    let operator = long("operator")
        .help("Name of the operator")
        .argument::<String>("NAME")
        .guard(|name| is_name(name), NAME_ERROR);
    let wait = wait();
    let domain =
        positional::<String>("DOMAIN").help("Name of the failure domain");
    let out = bpaf::pure(out);
    construct!(Command::Domain { out, store, operator, wait, domain })
}

fn drain() -> impl Parser<Command> {
    let node = node();
    let enabled = long("wait").help("Wait until it has stopped").switch();
    let limit = limit();
    let wait = construct!(enabled, limit)
        .map(|(enabled, limit)| enabled.then_some(limit));
    construct!(Command::Drain { node, wait })
        .to_options()
        .descr("Stops a node gracefully: its shards move, work is finished.")
        .footer(EXIT_HELP)
        .command("drain")
        .help("Stop a node gracefully")
}

fn group() -> impl Parser<Command> {
    let store = store();
    let leader = long("leader")
        .help("Peer address of the new leader, a running node of the service")
        .argument::<SocketAddr>("ADDR");
    let lost = address_list(
        "confirm-lost",
        "Peer addresses of all nodes in the record, each lost for good",
    );
    let service = service();
    let index = positional::<u16>("INDEX").help("Index of the group");
    let reset =
        construct!(Command::Reset { store, leader, lost, service, index })
            .to_options()
            .descr("Gives a group a new leader after all others are lost.")
            .header(
                "Only for a group whose leader and standbys will never run \
                 again. If one of them still runs, two leaders could grant \
                 the same keys; the command refuses if one accepts \
                 connections.",
            )
            .footer(EXIT_HELP)
            .command("reset")
            .help("Give a group a new leader");
    reset
        .to_options()
        .descr("Repairs a group.")
        .command("group")
        .help("Repair a group whose leader and standbys are lost")
}
