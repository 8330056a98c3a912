//! Runs a case of the review: `review-case NAME FOLDER`. Writes `record.txt`
//! in the folder. Ends with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case could not run.

mod clients;
mod fleet;
mod forged;
mod large;
mod leaving;
mod memory;
mod owner;
mod poison;
mod record;
mod revoked;
mod server;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use lagoondyke_standin::block_on;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = args.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    match run(name, Path::new(folder), !trouble) {
        Ok(Some(broken)) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            for line in broken {
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Ok(None) => {
            eprintln!("the deployment did not serve all its routes");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(
    name: &str,
    folder: &Path,
    trouble: bool,
) -> std::io::Result<Option<Vec<String>>> {
    let record = Rc::new(Record::create(&folder.join("record.txt"))?);
    let settings = Settings::create()?;
    record.add(format!("case {name}, trouble {trouble}"));
    let broken = block_on(async {
        match name {
            "memory" => memory::run(trouble, &settings.0, &record).await,
            "poison" => poison::run(trouble, &settings.0, &record).await,
            "revoked" => revoked::run(trouble, &settings.0, &record).await,
            "leaving" => leaving::run(trouble, &settings.0, &record).await,
            "forged" => forged::run(trouble, &settings.0, &record).await,
            _ => Err(std::io::Error::other("no such case")),
        }
    })?;
    for line in broken.iter().flatten() {
        record.add(line);
    }
    if broken.as_ref().is_some_and(Vec::is_empty) {
        record.add("the rule held");
    }
    record.flush();
    Ok(broken)
}

/// A temporary folder for settings files.
struct Settings(PathBuf);

impl Settings {
    fn create() -> std::io::Result<Self> {
        let name = format!("review-case-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Settings {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
