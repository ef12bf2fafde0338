//! Where a cluster's endpoints come from: discovery, or lists that others set.

use crate::discovery::reader::EndpointListReader;
use crate::discovery::watch_tasks::WatchTasks;
use crate::discovery::Discovery;
use crate::endpoints::{EndpointListObserver, Endpoints};
use mintshelf_config::platform::Names;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The endpoints of a cluster, and the discovery service that lists them.
pub(crate) struct EndpointSource {
    pub(crate) endpoints: Endpoints,
    /// Absent where lists are set from elsewhere.
    discovery: Option<Rc<Discovery>>,
    watches: RefCell<WatchTasks>,
}

impl EndpointSource {
    /// Endpoints from the discovery service at `address`, if there is one.
    pub(crate) fn new(names: Names, address: Option<SocketAddr>) -> Self {
        let endpoints = Endpoints::default();
        let reader = EndpointListReader::new(names, endpoints.clone());
        let discovery = address.map(|address| Rc::new(Discovery::new(reader, address)));
        EndpointSource { endpoints, discovery, watches: RefCell::default() }
    }

    /// Gives the observer the cached list, and follows an agent that lists are pushed to where the
    /// decision module does not poll.
    pub(crate) fn start<O>(&self, cached_list: Option<&str>, observer: &O, must_poll: bool)
    where
        O: EndpointListObserver + Clone,
    {
        let Some(discovery) = &self.discovery else { return };
        discovery.load_cached_list(cached_list, observer);
        if !must_poll {
            spawn_local(discovery.clone().follow_agent(observer.clone()));
        }
    }

    /// Starts a watch. What is on its way to the watch before it is still read.
    pub(crate) fn start_watch(&self, observer: impl EndpointListObserver) {
        if let Some(discovery) = self.discovery.clone() {
            self.watches.borrow_mut().replace(discovery, observer);
        }
    }

    /// Stops watching.
    pub(crate) fn stop_watch(&self) {
        self.watches.borrow_mut().stop();
    }

    /// Fetches the complete list once.
    pub(crate) fn fetch(&self, observer: impl EndpointListObserver) {
        if let Some(discovery) = self.discovery.clone() {
            spawn_local(discovery.fetch(observer));
        }
    }

    /// Uses another address of the discovery service; whether it is another. Calls in progress go
    /// on until new ones are started, so that no event is missed in between.
    pub(crate) fn set_address(&self, address: SocketAddr) -> bool {
        self.discovery.as_ref().is_some_and(|discovery| discovery.set_address(address))
    }
}
