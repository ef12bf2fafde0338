//! Parses and validates configuration, and reports every problem with its location. Performs no
//! network I/O.
//!
//! [`mod@file`] parses the operator's file into a [`model::OperatorConfig`], from which
//! [`balancer`] and [`admission`] derive the settings of the decision module and of admission
//! control. [`platform`] parses the sidecar's configuration on the platform. [`schema`] is the
//! JSON schema of the operator's file.
//!
//! ```
//! let text = r#"
//! listen = "127.0.0.1:8080"
//! [clusters.web]
//! endpoints = ["127.0.0.1:9001"]
//! [[routes]]
//! cluster = "web"
//! "#;
//! let config = mintshelf_config::file::parse("example.toml", text.as_bytes()).unwrap();
//! assert_eq!(config.clusters["web"].endpoints.len(), 1);
//! let problems = mintshelf_config::file::parse("empty.toml", b"").unwrap_err();
//! assert_eq!(problems.len(), 2, "neither a listener nor a route");
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod balancer;
mod convert;
pub mod file;
pub mod model;
pub mod platform;
pub mod problem;
pub mod schema;
