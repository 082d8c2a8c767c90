//! Stand-ins and cases of the second review, without dependencies. The program plays the platform's
//! store, the replicas and the clients, and starts the project's entry as a process.

mod client;
mod denied_headers;
mod deployment;
mod http;
mod load;
mod rank;
mod renewed_budget;
mod replica;
mod slow_rank;
mod store;
mod unseen_crash;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    // A panic means that the case couldn't run. Unwinding ends the processes that it started.
    let code = std::panic::catch_unwind(|| play(&words)).unwrap_or(2);
    std::process::exit(code);
}

fn play(words: &[&str]) -> i32 {
    match words {
        ["replica", id, address, log, mode] => replica::main(id, address, log, mode),
        ["rank", id, address, number, size, slow, log] => {
            rank::main(id, address, number, size, slow, log)
        }
        ["slow-rank", folder] => slow_rank::main(folder),
        ["unseen-crash", folder] => unseen_crash::main(folder),
        ["renewed-budget", folder] => renewed_budget::main(folder),
        ["denied-headers", folder] => denied_headers::main(folder),
        _ => {
            eprintln!("usage: standin CASE FOLDER");
            2
        }
    }
}
