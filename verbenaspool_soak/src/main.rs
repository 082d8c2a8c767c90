//! `verbenaspool-soak`: injects random faults, determined by a seed, into the real
//! programs.

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
use verbenaspool_platform_standin::store::HistoryLoss;
use verbenaspool_soak::{
    caller::Caller,
    deployment::{COMPETING_CUSTOMERS, Deployment, Programs},
    fault,
};
use verbenaspool_transport::{http::client::Client, runtime};

/// Time for entries to become ready before the first fault, and to recover after the
/// last one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How long a group may run no pass at the end of a run: the last fault may still pause an
/// agent for 2.5 s, and the other agents examine a held pass within 2 s.
const MAX_TIME_WITHOUT_PASS: Duration = Duration::from_secs(8);

/// How often the resident memory of entries is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(200);

/// Callers of each small customer.
const CALLERS_OF_SMALL_CUSTOMERS: usize = 2;

/// Maximum number of entries, and of agents, in one run; each is a process.
const MAX_PROCESSES: usize = 200;

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
    /// Availability zones of the entries, at most three.
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// The kinds of faults, by number; all by default.
    #[arg(long, value_delimiter = ',')]
    faults: Vec<u32>,
    /// Add faults in which the store comes back from an older copy or has entries that can't be
    /// read.
    #[arg(long)]
    store_faults: bool,
    /// Add faults after which entries have different copies of what the store has. Watches of two
    /// zones of three may outlive the loss of the store's history.
    #[arg(long)]
    copy_faults: bool,
    /// The mean pause between faults, in milliseconds.
    #[arg(long, default_value_t = 475)]
    pause_ms: u64,
    /// Callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Callers whose requests crash upstreams.
    #[arg(long, default_value_t = 2)]
    crashing: usize,
    /// Callers whose requests share a part of their prompts that crashes upstreams.
    #[arg(long, default_value_t = 1)]
    sharing: usize,
    /// Callers that read streams without end slowly, or not at all.
    #[arg(long, default_value_t = 8)]
    slow: usize,
    /// Callers of a large customer that competes with small ones, of two callers each.
    #[arg(long, default_value_t = 16)]
    competing: usize,
    /// Callers that find out which configuration entries use.
    #[arg(long, default_value_t = 6)]
    probing: usize,
    /// Add faults in which connections to the store go silent, and entries start from outdated listings,
    /// beside changes.
    #[arg(long)]
    silent_faults: bool,
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
        match run_seed(&options, seed) {
            Ok(0) => {}
            Ok(_) => failed += 1,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} seeds, {failed} failed", options.seeds);
    ExitCode::from(u8::from(failed > 0))
}

/// Runs one seed and returns the number of violations.
fn run_seed(options: &Options, seed: u64) -> std::io::Result<usize> {
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
    let violations = runtime::run(run_deployment(options, seed, programs, folder.clone()))??;
    if violations == 0 {
        fs::remove_dir_all(&folder)?;
    }
    Ok(violations)
}

/// Runs the deployment with callers and faults, and returns the number of violations.
async fn run_deployment(
    options: &Options,
    seed: u64,
    programs: Programs,
    folder: PathBuf,
) -> std::io::Result<usize> {
    let faults = RefCell::new(fs::File::create(folder.join("faults.log"))?);
    let entries = options.processes.clamp(1, MAX_PROCESSES);
    let ranks = options.ranks.clamp(2, MAX_PROCESSES);
    let loss = history_loss(&fault_kinds(options));
    let deployment = Deployment::start(entries, options.zones, ranks, loss, &programs, &folder)?;
    monoio::time::sleep(SETTLE_TIME).await;
    let started_at = Instant::now();
    let deadline = started_at + Duration::from_secs(options.seconds);
    let caller = |number: usize, first_seed: u64| Caller {
        deployment: deployment.clone(),
        number,
        rng: SmallRng::seed_from_u64(seed * 10_000 + first_seed + number as u64),
        client: Client::new(Duration::from_secs(1)),
    };
    let mut callers = Vec::new();
    for number in 0..options.callers {
        callers.push(monoio::spawn(caller(number, 0).run(deadline)));
    }
    for number in 0..options.crashing {
        let caller = caller(number, 5_000);
        callers.push(monoio::spawn(caller.run_crashing(deadline)));
    }
    for number in 0..options.sharing {
        let caller = caller(number, 6_000);
        callers.push(monoio::spawn(caller.run_sharing(deadline)));
    }
    for number in 0..options.slow {
        let caller = caller(number, 7_000);
        callers.push(monoio::spawn(caller.run_slow(deadline)));
    }
    for (number, customer) in competing_callers(options.competing).enumerate() {
        let caller = caller(number, 8_000);
        callers.push(monoio::spawn(caller.run_competing(customer, deadline)));
    }
    for number in 0..options.probing {
        let caller = caller(number, 9_000);
        callers.push(monoio::spawn(caller.run_probing(deadline)));
    }
    let (observed, until) = (deployment.clone(), deadline);
    callers.push(monoio::spawn(async move {
        while Instant::now() < until {
            observed.check_memory();
            monoio::time::sleep(MEMORY_INTERVAL).await;
        }
    }));
    let write_fault = |fault: String| {
        let at = started_at.elapsed().as_millis();
        // The checks don't depend on the log, so a failed write is ignored.
        let _ = writeln!(faults.borrow_mut(), "{at} ms {fault}");
    };
    let kinds = fault_kinds(options);
    fault::run(
        deployment.clone(),
        SmallRng::seed_from_u64(seed),
        deadline,
        &kinds,
        Duration::from_millis(options.pause_ms),
        write_fault,
    )
    .await;
    for caller in callers {
        caller.await;
    }
    monoio::time::sleep(SETTLE_TIME).await;
    let checked = deployment.clone();
    deployment
        .checks
        .check_runs(move |id| checked.run_count(id));
    let crashes = deployment
        .fragile
        .iter()
        .flat_map(|process| process.crashes());
    let crashes: Vec<_> = crashes.collect();
    record_totals(&deployment, crashes.len());
    deployment.checks.check_crashes(crashes.into_iter());
    deployment.check_limits();
    deployment.check_notices();
    deployment.checks.check_configurations();
    deployment.checks.check_customers();
    deployment.checks.check_progress(&(started_at..deadline));
    check_group(&deployment).await;
    report(seed, &deployment);
    let violations = deployment.checks.violations.borrow().len();
    deployment.stop();
    Ok(violations)
}

/// Records what is counted over the whole run.
fn record_totals(deployment: &Deployment, crashes: usize) {
    let checks = &deployment.checks;
    let mut counts = checks.counts.borrow_mut();
    counts.insert("crashes", crashes as u64);
    counts.insert("kB of the largest entry", checks.most_resident_kb.get());
    counts.insert("calls to the store", deployment.store.calls.get());
}

/// The kinds of faults of a run.
fn fault_kinds(options: &Options) -> Vec<u32> {
    let mut kinds = options.faults.clone();
    if kinds.is_empty() {
        kinds.extend(0..fault::FAULT_KINDS);
    }
    if options.store_faults {
        kinds.extend(fault::STORE_FAULTS);
    }
    if options.silent_faults {
        kinds.extend(fault::SILENT_FAULTS);
    }
    if options.copy_faults {
        kinds.extend(fault::COPY_FAULTS);
    }
    kinds
}

/// What becomes of the watches of some entries as the history is dropped, with these kinds of faults.
fn history_loss(kinds: &[u32]) -> HistoryLoss {
    if fault::COPY_FAULTS.iter().any(|kind| kinds.contains(kind)) {
        HistoryLoss::GoesUnnoticed
    } else {
        HistoryLoss::EndsWatches
    }
}

/// The customer of each competing caller: the small ones and then the large one.
fn competing_callers(large: usize) -> impl Iterator<Item = usize> {
    let small = if large > 0 {
        CALLERS_OF_SMALL_CUSTOMERS * (COMPETING_CUSTOMERS - 1)
    } else {
        0
    };
    let small = (0..small).map(|number| 1 + number % (COMPETING_CUSTOMERS - 1));
    small.chain(std::iter::repeat_n(0, large))
}

/// Checks that every pass of the group used one map and that the group still runs passes.
async fn check_group(deployment: &Rc<Deployment>) {
    let (step_before, started_at) = (deployment.group.step(), Instant::now());
    while deployment.group.step() == step_before {
        if started_at.elapsed() > MAX_TIME_WITHOUT_PASS {
            let details = format!("pass {step_before} isn't followed by another");
            deployment
                .checks
                .record_violation("a group goes on", details);
            break;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    for mixed in deployment.group.mixed_passes.borrow().iter() {
        deployment
            .checks
            .record_violation("one map in every pass", mixed.clone());
    }
    let mut counts = deployment.checks.counts.borrow_mut();
    counts.insert("passes", deployment.group.step());
    counts.insert("changes of map", deployment.group.map_changes.get());
}

/// Prints the counts and the first violations of a seed.
fn report(seed: u64, deployment: &Rc<Deployment>) {
    let counts = deployment.checks.counts.borrow();
    let mut counts: Vec<(&&str, &u64)> = counts.iter().collect();
    counts.sort();
    let counts: Vec<String> = counts
        .iter()
        .map(|(result, n)| format!("{n} {result}"))
        .collect();
    println!("seed {seed}: {}", counts.join(", "));
    for violation in deployment.checks.violations.borrow().iter().take(10) {
        println!("  broken: {violation}");
    }
}
