//! Plays the cases of this review: `review-world CASE FOLDER`.
//!
//! The daemons run as processes; store, servers, callers and the platform are stand-ins. The exit
//! code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod cluster;
mod endless_answers;
mod http;
mod json;
mod odd_entry;
mod record;
mod repeated_answers;
mod server;
mod store;
mod store_copy;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("expected: review-world CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(folder).join("record.txt");
    let scratch = scratch_folder();
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let verdict = match case.as_str() {
        "store-copy" => store_copy::run(&scratch, &record, has_trouble),
        "endless-answers" => endless_answers::run(&scratch, &record, has_trouble),
        "odd-entry" => odd_entry::run(&scratch, &record, has_trouble),
        "repeated-answers" => repeated_answers::run(&scratch, &record, has_trouble),
        _ => Verdict::CannotRun,
    };
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    };
    if std::env::var("KEEP").is_ok() {
        println!("the daemons' logs are in {}", scratch.display());
    } else {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(code)
}

fn scratch_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-world-{}", std::process::id()))
}
