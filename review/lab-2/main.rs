//! The cases of the second review, each a command: `lab 6 ROOT FOLDER`. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run.

mod case_6;
mod case_7;
mod case_8;
mod common;
mod discovery;
mod load;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: lab CASE ROOT FOLDER");
        std::process::exit(2);
    };
    if let Err(error) = common::open_record(&format!("{folder}/record.txt")) {
        eprintln!("{folder}/record.txt: {error}");
        std::process::exit(2);
    }
    common::end_on_signals();
    common::seed_rng(common::now_us() as u64);
    // No case takes longer than this.
    let _ = common::spawn(|| {
        common::sleep_ms(110_000);
        common::conclude("could not run: not over after 110 s");
        common::kill_all();
        std::process::exit(2);
    });
    let run = || match case.as_str() {
        "6" => case_6::run(root),
        "7" => case_7::run(root),
        "8" => case_8::run(root),
        _ => Err(std::io::Error::other("no such case")),
    };
    let result = std::panic::catch_unwind(run).unwrap_or_else(|_| Err(std::io::Error::other("a panic")));
    let code = match result {
        Ok(faults) if faults.is_empty() => {
            common::conclude("HELD");
            0
        }
        Ok(faults) => {
            for fault in faults.iter().take(20) {
                common::conclude(fault);
            }
            common::conclude(&format!("BROKEN: {} breaks", faults.len()));
            1
        }
        Err(error) => {
            common::conclude(&format!("could not run: {error}"));
            2
        }
    };
    std::process::exit(code);
}
