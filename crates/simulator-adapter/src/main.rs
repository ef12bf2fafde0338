//! Runs balancers on the simulator's line protocol: reads batches from standard input and writes
//! one reply per batch to standard output.

use mintshelf_simulator_adapter::host::Host;
use mintshelf_simulator_adapter::wire::WireError;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;
use std::str::Utf8Error;
use thiserror::Error;

/// Buffer size for standard input; a batch can be much longer.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// An error that ends the adapter.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    #[error("line {line}: {cause}")]
    NotUtf8 { line: u64, cause: Utf8Error },
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Replies to batches until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(AdapterError::Input)?;
        if read == 0 {
            return Ok(host.finish()?);
        }
        let text = line.strip_suffix(b"\n").unwrap_or(&line);
        let text = std::str::from_utf8(text)
            .map_err(|cause| AdapterError::NotUtf8 { line: host.lines() + 1, cause })?;
        if host.read_line(text)? {
            let reply = host.take_reply();
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(AdapterError::Output)?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mintshelf-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
