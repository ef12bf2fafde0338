//! The tasks of the current watch and of watches that it has replaced.

use super::Discovery;
use crate::endpoints::EndpointListObserver;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::sync::CancellationToken;

/// Maximum number of replaced watches that are still read, enough for a few changes of the service's
/// address in a row.
const REPLACED_MAX: usize = 4;

/// The current watch of a discovery service, and the watches that it has replaced. Those still read
/// their last responses, as whatever the service has written counts as notified. They end within
/// half a second.
#[derive(Debug, Default)]
pub(crate) struct WatchTasks {
    current: Option<WatchTask>,
    replaced: VecDeque<WatchTask>,
}

/// The task of one watch, which is aborted when this value is dropped.
#[derive(Debug)]
struct WatchTask {
    task: AbortHandle,
    /// Token that is cancelled when another watch replaces this one.
    replaced: CancellationToken,
}

impl Drop for WatchTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WatchTasks {
    /// Starts a watch in place of the current one.
    pub(crate) fn replace(
        &mut self,
        discovery: Rc<Discovery>,
        observer: impl EndpointListObserver,
    ) {
        let replaced = CancellationToken::new();
        let watch = discovery.watch(observer, replaced.clone());
        let watch = WatchTask { task: spawn_local(watch).abort_handle(), replaced };
        if let Some(before) = self.current.replace(watch) {
            before.replaced.cancel();
            self.replaced.push_back(before);
        }
        self.replaced.retain(|watch| !watch.task.is_finished());
        if self.replaced.len() > REPLACED_MAX {
            self.replaced.pop_front();
        }
    }

    /// Aborts the current watch and the watches that it replaced.
    pub(crate) fn stop(&mut self) {
        self.current = None;
        self.replaced.clear();
    }
}
