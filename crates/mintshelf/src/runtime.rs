//! Creates single-threaded asynchronous runtimes.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// Creates a runtime that runs futures on the calling thread.
///
/// # Errors
/// Returns an error if the system lacks the resources for it.
pub fn current_thread_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
