//! The program `lagoondyke-bench`: runs loads and experiments.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lagoondyke_bench::cluster::Directories;
use lagoondyke_bench::experiments::{ALL, Context};
use lagoondyke_bench::load::{
    CallOutcome, TargetPolicy, Workload, count_outcome, latency, top_reasons,
};
use lagoondyke_bench::report::Report;

/// Puts load on lagoondyke and runs failure experiments.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Arguments {
    /// Put load on given addresses
    #[bpaf(command("run"))]
    Run {
        #[bpaf(external(load_arguments))]
        load: LoadArguments,
        #[bpaf(external(output))]
        output: Output,
    },
    /// Run experiments by name, or `all`
    Experiment {
        #[bpaf(external(experiment_arguments))]
        experiment: ExperimentArguments,
        #[bpaf(external(output))]
        output: Output,
        /// Names of experiments
        #[bpaf(positional("NAME"), some("name an experiment, or all"))]
        names: Vec<String>,
    },
}

/// Where results go.
#[derive(Bpaf, Clone, Debug)]
struct Output {
    /// File for the results as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Seed of random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[derive(Bpaf, Clone, Debug)]
struct LoadArguments {
    /// Address to send to; repeat for several
    #[bpaf(argument("ADDR"), some("give an address"))]
    target: Vec<SocketAddr>,
    /// Requests per second; 0 for a closed loop
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// Requests in flight per thread of a closed loop
    #[bpaf(argument("N"), fallback(1))]
    workers: usize,
    /// Length in seconds
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Service to name in requests
    #[bpaf(argument("NAME"), fallback(String::new()))]
    service: String,
    /// Number of keys
    #[bpaf(argument("N"), fallback(200))]
    keys: u32,
    /// Share of requests for the first key, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.0))]
    hot: f64,
    /// Size of the body in bytes
    #[bpaf(argument("N"), fallback(64))]
    body: usize,
    /// Deadline in milliseconds
    #[bpaf(argument("MS"), fallback(5_000))]
    deadline: u64,
    /// Threads
    #[bpaf(argument("N"), fallback(1))]
    threads: u64,
    /// Choose targets at random instead of in turn
    random: bool,
    /// Send every second request as POST without an idempotency key
    posts: bool,
}

#[derive(Bpaf, Clone, Debug)]
struct ExperimentArguments {
    /// Directory of the programs; that of this program if absent
    #[bpaf(argument("DIR"))]
    bin: Option<PathBuf>,
    /// Directory in which settings, records and samples are kept
    #[bpaf(argument("DIR"))]
    keep: Option<PathBuf>,
    /// Directory of the example settings
    #[bpaf(argument("DIR"), fallback(PathBuf::from("examples")))]
    examples: PathBuf,
    /// Divide the length of loads, for a quick trial
    #[bpaf(argument("N"), fallback(1))]
    hurry: u64,
}

fn main() -> ExitCode {
    let (result, output) = match arguments().run() {
        Arguments::Run { load, output } => {
            (run(load, output.seed).map(|r| vec![r]), output)
        }
        Arguments::Experiment { experiment, output, names } => {
            (experiments(experiment, output.seed, &names), output)
        }
    };
    match result.and_then(|reports| write_results(&reports, &output)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("lagoondyke-bench: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(a: LoadArguments, seed: u64) -> io::Result<Report> {
    let load = Workload {
        targets: a.target,
        policy: if a.random {
            TargetPolicy::Random
        } else {
            TargetPolicy::RoundRobin
        },
        rate: a.rate,
        workers: a.workers,
        duration_ms: a.seconds * 1_000,
        service: a.service,
        keys: (0..a.keys.max(1)).collect(),
        hot_share: a.hot,
        body_bytes: a.body,
        deadline_ms: a.deadline,
        threads: a.threads.max(1),
        posts: a.posts,
        seed,
        ..Workload::default()
    };
    let samples = load.run()?;
    let mut report = Report::new("run", seed);
    let latencies = latency(&samples);
    report.add_figure("sent", samples.len() as f64, "");
    let answered = count_outcome(&samples, CallOutcome::Answered) as f64;
    report.add_figure("answered", answered, "");
    report.add_figure("answers per second", answered / a.seconds as f64, "/s");
    report.add_figure("latency p50", latencies.p50_ms, "ms");
    report.add_figure("latency p99", latencies.p99_ms, "ms");
    report.add_figure("latency most", latencies.max_ms, "ms");
    for (reason, count) in top_reasons(&samples) {
        report.add_note(format!("{count} times: {reason}"));
    }
    Ok(report)
}

fn experiments(
    a: ExperimentArguments,
    seed: u64,
    names: &[String],
) -> io::Result<Vec<Report>> {
    let program = std::env::current_exe()?;
    let own_dir = program.parent().map(PathBuf::from).unwrap_or_default();
    let context = Context {
        dirs: Directories { bin: a.bin.unwrap_or(own_dir), keep: a.keep },
        examples: a.examples,
        seed,
        time_divisor: a.hurry,
    };
    let mut selected = Vec::new();
    for name in names {
        let count = selected.len();
        for entry in ALL {
            if name == "all" || name == entry.0 {
                selected.push(entry);
            }
        }
        if selected.len() == count {
            let known: Vec<_> = ALL.iter().map(|e| e.0).collect();
            let text = format!("no experiment {name:?}, known: {known:?}");
            return Err(io::Error::other(text));
        }
    }
    let mut reports = Vec::new();
    for (name, experiment) in selected {
        let report = experiment(&context)
            .map_err(|e| io::Error::new(e.kind(), format!("{name}: {e}")))?;
        println!("{}", report.table());
        reports.push(report);
    }
    Ok(reports)
}

/// Prints the report of a `run`, writes all reports to the JSON file if one
/// is given, and returns whether all bounds hold. Experiments print their
/// reports as they end.
fn write_results(reports: &[Report], output: &Output) -> io::Result<bool> {
    if let [report] = reports
        && report.experiment == "run"
    {
        println!("{}", report.table());
    }
    if let Some(path) = &output.json {
        std::fs::write(path, serde_json::to_vec_pretty(reports)?)?;
    }
    Ok(reports.iter().all(Report::passes))
}
