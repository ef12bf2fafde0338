//! The source of a cluster's endpoints: discovery, or lists that are set from outside.

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
    /// The discovery service; `None` if the lists are set by the caller.
    discovery: Option<Rc<Discovery>>,
    watches: RefCell<WatchTasks>,
}

impl EndpointSource {
    /// Creates a source that uses the discovery service at `address`, if there is one.
    pub(crate) fn new(names: Names, address: Option<SocketAddr>) -> Self {
        let endpoints = Endpoints::default();
        let reader = EndpointListReader::new(names, endpoints.clone());
        let discovery = address.map(|address| Rc::new(Discovery::new(reader, address)));
        EndpointSource { endpoints, discovery, watches: RefCell::default() }
    }

    /// Passes the cached list to the observer. Unless the decision module polls (`must_poll`),
    /// starts to follow the agent that lists are pushed to.
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

    /// Starts a watch in place of the current watch. A response to the replaced watch that is
    /// arriving is still read and applied.
    pub(crate) fn start_watch(&self, observer: impl EndpointListObserver) {
        if let Some(discovery) = self.discovery.clone() {
            self.watches.borrow_mut().replace(discovery, observer);
        }
    }

    /// Stops watching the discovery service for changes of the cluster's endpoints.
    pub(crate) fn stop_watch(&self) {
        self.watches.borrow_mut().stop();
    }

    /// Fetches the full endpoint list once from the discovery service, and passes it to the
    /// observer.
    pub(crate) fn fetch(&self, observer: impl EndpointListObserver) {
        if let Some(discovery) = self.discovery.clone() {
            spawn_local(discovery.fetch(observer));
        }
    }

    /// Sets the address of the discovery service; returns whether it has changed. Calls in progress
    /// continue until new ones are started, so that no event is missed in between.
    pub(crate) fn set_address(&self, address: SocketAddr) -> bool {
        self.discovery.as_ref().is_some_and(|discovery| discovery.set_address(address))
    }
}
