//! `gaplock-prove [PROMISE...]`: checks with separate processes that promises hold under faults.

use std::process::ExitCode;
use std::time::Instant;

use async_std::task;
use gaplock_demo::prove;

/// The promises that `--quick` checks; the others take longer.
const QUICK: [u32; 4] = [3, 4, 8, 9];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let numbers: Vec<u32> = if args.iter().any(|a| a == "--quick") {
        QUICK.to_vec()
    } else if args.is_empty() {
        (1..=9).collect()
    } else {
        args.iter().filter_map(|a| a.parse().ok()).collect()
    };
    let mut held = 0;
    for number in &numbers {
        held += usize::from(prove_promise(*number));
    }
    let not_held = numbers.len() - held;
    println!("prove: {held} held, {not_held} not");
    if not_held == 0 && held > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn prove_promise(number: u32) -> bool {
    let began = Instant::now();
    match task::block_on(prove::prove(number)) {
        Ok(v) => {
            let held = v.violations.is_empty() && v.checks > 0;
            let word = if held { "held" } else { "NOT HELD" };
            println!(
                "promise {number}: {word} faults={} checks={} violations={} ({:.1} s)",
                v.faults,
                v.checks,
                v.violations.len(),
                began.elapsed().as_secs_f64()
            );
            for figure in &v.figures {
                println!("    {figure}");
            }
            for violation in v.violations.iter().take(10) {
                println!("  ! {violation}");
            }
            held
        }
        Err(e) => {
            println!("promise {number}: NOT HELD: {e}");
            false
        }
    }
}
