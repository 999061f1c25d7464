//! Runs balancers for the simulator: reads batches on standard input and writes replies to standard output.
//!
//! Exits with 0 at the end of input between two frames. At the first fault it writes one line to standard
//! error and exits with 1.

#![warn(missing_docs)]

mod effects;
mod error;
mod instance;
mod records;
mod session;
mod wire;

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported as a crash record of its instance; the default hook would also print it.
    std::panic::set_hook(Box::new(|_| {}));
    match session::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "doorproxy-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
