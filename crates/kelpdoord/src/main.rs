//! The `kelpdoord` program; see the library of the same name.

use std::process::ExitCode;

fn main() -> ExitCode {
    kelpdoord::main(std::env::args_os())
}
