//! Stand-ins and checks for the cases of this review. Only the standard library is used.

mod caller;
mod case;
mod entry;
mod http;
mod store;
mod upstream;

use std::{
    env,
    fs::File,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The longest time that a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Exit code of a case in which the rule held.
const HELD: i32 = 0;
/// Exit code of a case in which the rule was broken.
const BROKEN: i32 = 1;
/// Exit code of a case that couldn't run.
const NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the time in seconds.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: PathBuf) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// The time since the run started.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line.
    pub fn write(&self, text: &str) {
        let now = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:8.3} {text}");
        }
    }

    /// Writes one line and prints it.
    pub fn report(&self, text: &str) {
        println!("{text}");
        self.write(text);
    }
}

/// The settings of a run.
pub struct Run {
    /// The repository.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Record,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, root, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE REPOSITORY FOLDER");
        exit(NOT_RUN);
    };
    let record = match Record::create(PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(NOT_RUN);
        }
    };
    let run = Run {
        root: PathBuf::from(root),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: record.clone(),
    };
    record.report(&format!("case {name}, disruption: {}", run.trouble));
    thread::spawn({
        let record = record.clone();
        move || {
            thread::sleep(TIME_LIMIT);
            record.report("time limit reached");
            entry::kill_all();
            exit(NOT_RUN);
        }
    });
    let result = case::run(name, &run);
    entry::kill_all();
    let code = match result {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            record.report(&format!("not run: {error}"));
            NOT_RUN
        }
    };
    record.report(&format!("exit {code}"));
    exit(code);
}
