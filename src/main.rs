//! The `pondbay` binary.

use std::process::ExitCode;

use pond_command::{Output, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut stdout = std::io::stdout();
    match run(&args, &mut Output::new(&mut stdout)) {
        Ok(exit) => ExitCode::from(exit.0 as u8),
        Err(error) => {
            eprintln!("pondbay: {error}");
            ExitCode::from(error.status() as u8)
        }
    }
}
