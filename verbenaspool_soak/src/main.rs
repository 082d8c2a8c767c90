//! `verbenaspool-soak`: random faults on the real programs, by a seed.

use std::{
    cell::RefCell,
    fs,
    io::Write,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use clap::Parser;
use rand::{SeedableRng, rngs::SmallRng};
use verbenaspool_soak::{
    caller::Caller,
    fault,
    site::{Programs, Site},
};
use verbenaspool_transport::{http::client::Client, runtime};

/// How long entries have to be ready before faults begin, and to calm down behind.
const SETTLE: Duration = Duration::from_millis(1_500);

/// How long a group may stand once all faults are over: an agent may be paused for 2.5 s
/// after the last one, and others look into a held pass within 2 s.
const STOOD: Duration = Duration::from_secs(8);

/// The most entries, and agents, of one run; each is a process.
const MOST: usize = 200;

/// Runs entries and agents under random faults and checks what callers and upstreams see.
#[derive(Debug, Parser)]
#[command(name = "verbenaspool-soak", version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long each seed runs, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Entry processes.
    #[arg(long, default_value_t = 3)]
    processes: usize,
    /// Callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Callers whose requests crash upstreams.
    #[arg(long, default_value_t = 2)]
    crashing: usize,
    /// Ranks of a group, each with an agent process.
    #[arg(long, default_value_t = 4)]
    ranks: usize,
    /// The folder with the programs; that of this one by default.
    #[arg(long)]
    programs: Option<PathBuf>,
    /// Where settings and logs are kept of seeds that fail.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        match play(&options, seed) {
            Ok(0) => {}
            Ok(_) => failed += 1,
            Err(why) => {
                eprintln!("seed {seed}: {why}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} seeds, {failed} failed", options.seeds);
    ExitCode::from(u8::from(failed > 0))
}

/// Plays one seed; tells how many promises were broken.
fn play(options: &Options, seed: u64) -> std::io::Result<usize> {
    let folder = options.folder.join(format!("seed-{seed}"));
    fs::create_dir_all(&folder)?;
    let own = std::env::current_exe()?;
    let programs = options
        .programs
        .clone()
        .unwrap_or_else(|| own.with_file_name(""));
    let programs = Programs {
        entry: programs.join("verbenaspool"),
        agent: programs.join("verbenaspool-agent"),
    };
    let broken = runtime::run(soak(options, seed, programs, folder.clone()))??;
    if broken == 0 {
        fs::remove_dir_all(&folder)?;
    }
    Ok(broken)
}

/// Runs the site, its callers and faults.
async fn soak(
    options: &Options,
    seed: u64,
    programs: Programs,
    folder: PathBuf,
) -> std::io::Result<usize> {
    let faults = RefCell::new(fs::File::create(folder.join("faults.log"))?);
    let entries = options.processes.clamp(1, MOST);
    let ranks = options.ranks.clamp(2, MOST);
    let site = Site::start(entries, ranks, &programs, &folder)?;
    monoio::time::sleep(SETTLE).await;
    let began = Instant::now();
    let until = began + Duration::from_secs(options.seconds);
    let mut callers = Vec::new();
    for number in 0..options.callers {
        let caller = Caller {
            site: site.clone(),
            number,
            rng: SmallRng::seed_from_u64(seed * 10_000 + number as u64),
            client: Client::new(Duration::from_secs(1)),
        };
        callers.push(monoio::spawn(caller.run(until)));
    }
    for number in 0..options.crashing {
        let caller = Caller {
            site: site.clone(),
            number,
            rng: SmallRng::seed_from_u64(seed * 10_000 + 5_000 + number as u64),
            client: Client::new(Duration::from_secs(1)),
        };
        callers.push(monoio::spawn(caller.insist(until)));
    }
    let note = |fault: String| {
        let at = began.elapsed().as_millis();
        // A line that can't be written is missed by nobody but who reads it.
        let _ = writeln!(faults.borrow_mut(), "{at} ms {fault}");
    };
    fault::run(site.clone(), SmallRng::seed_from_u64(seed), until, note).await;
    for caller in callers {
        caller.await;
    }
    monoio::time::sleep(SETTLE).await;
    let checked = site.clone();
    site.checks.settle(move |id| checked.runs(id));
    let crashes = site.fragile.iter().flat_map(|process| process.crashes());
    let crashes: Vec<_> = crashes.collect();
    site.checks
        .counts
        .borrow_mut()
        .insert("crashes", crashes.len() as u64);
    site.checks.settle_crashes(crashes.into_iter());
    settle_group(&site).await;
    report(seed, &site);
    let broken = site.checks.broken.borrow().len();
    site.end();
    Ok(broken)
}

/// Checks what the group saw: passes on one map, and that it goes on.
async fn settle_group(site: &Rc<Site>) {
    let (before, began) = (site.group.step(), Instant::now());
    while site.group.step() == before {
        if began.elapsed() > STOOD {
            let what = format!("pass {before} isn't followed by another");
            site.checks.broke("a group goes on", what);
            break;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    for mixed in site.group.mixed_passes.borrow().iter() {
        site.checks.broke("one map in every pass", mixed.clone());
    }
    let mut counts = site.checks.counts.borrow_mut();
    counts.insert("passes", site.group.step());
    counts.insert("changes of map", site.group.map_changes.get());
}

/// Prints what came of a seed.
fn report(seed: u64, site: &Rc<Site>) {
    let counts = site.checks.counts.borrow();
    let mut counts: Vec<(&&str, &u64)> = counts.iter().collect();
    counts.sort();
    let counts: Vec<String> = counts
        .iter()
        .map(|(what, n)| format!("{n} {what}"))
        .collect();
    println!("seed {seed}: {}", counts.join(", "));
    for broken in site.checks.broken.borrow().iter().take(10) {
        println!("  broken: {broken}");
    }
}
