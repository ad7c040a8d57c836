//! The daemon: arguments, settings, logs and signals round the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    kelpdoord::main(std::env::args_os())
}
