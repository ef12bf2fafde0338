//! A fleet of one replica that starts with the store fixture.

use super::bindings::{free_address, wait_until, Daemon};
use super::fixtures::{run, TemporaryDirectory, PROGRAM};
use super::store::copied_store;
use std::net::SocketAddr;

/// The running fleet and its file.
pub struct SampleFleet {
    /// Where the replica listens.
    pub replica: SocketAddr,
    /// The operator's file.
    pub file: String,
    _daemon: Daemon,
    _directory: TemporaryDirectory,
}

/// An operator's file with a fleet of one replica.
pub fn file(listen: SocketAddr, replica: SocketAddr, directory: &TemporaryDirectory) -> String {
    format!(
        "listen = \"{listen}\"\n[clusters.a]\nendpoints = [\"127.0.0.1:9\"]\n\
         [[routes]]\ncluster = \"a\"\n\
         [fleet]\nfleet = \"harbour\"\nname = \"v1\"\naddress = \"{replica}\"\n\
         directory = {:?}\nvoters = [{{ name = \"v1\", address = \"{replica}\" }}]\n\
         allow-single = true\nelection = \"500ms\"\nlease = \"3s\"\nsession = \"2s\"\n",
        directory.0
    )
}

impl SampleFleet {
    /// Starts the program with a copy of the stored directory; waits until it leads.
    pub fn start(name: &str) -> Self {
        let directory = copied_store(name);
        let (listen, replica) = (free_address(), free_address());
        let text = file(listen, replica, &directory);
        let file = directory.write("fleet.toml", &text);
        let daemon = Daemon::start(PROGRAM, listen, &text, &[]);
        wait_until("the replica leads", || run(&["fleet", "status", "--config", &file]).0 == 0);
        SampleFleet { replica, file, _daemon: daemon, _directory: directory }
    }

    /// Runs a command with the fleet's file; addresses are written as ADDRESS.
    pub fn run(&self, words: &[&str], rest: &[&str]) -> (i32, String, String) {
        let (code, output, errors) = run(&[words, &["--config", &self.file], rest].concat());
        let address = self.replica.to_string();
        let width = format!("{address:<22}");
        (code, output.replace(&width, "ADDRESS ").replace(&address, "ADDRESS"), errors)
    }
}
