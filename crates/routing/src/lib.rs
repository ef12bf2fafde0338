//! Matches requests to routes and splits the requests of a route between clusters. No I/O.
//!
//! Precedence follows the Gateway API's `HTTPRoute` (see [`rank`]). [`RouteTable`] finds the route
//! with hash lookups, so that the cost depends on the request and not on the number of routes.
//!
//! ```
//! use http::{HeaderMap, Method};
//! use mintshelf_routing::{HostMatch, PathMatch, RequestView, RouteRule, RouteTable};
//! use std::sync::Arc;
//!
//! let rule = |host: &str, prefix: &str| RouteRule {
//!     hosts: vec![HostMatch::parse(host).unwrap()],
//!     path: PathMatch::Prefix(prefix.into()),
//!     ..RouteRule::default()
//! };
//! let rules = [rule("*", "/"), rule("*.example", "/"), rule("*.example", "/api")];
//! let table = RouteTable::new(rules.map(Arc::new)).unwrap();
//! let headers = HeaderMap::new();
//! let request = RequestView::new("a.example:8080", "/api/v1?q=1", &Method::GET, &headers);
//! assert_eq!(table.find(&request), Some(2));
//! ```

#![forbid(unsafe_code)]

pub mod host;
pub mod path;
pub mod pattern;
pub mod rank;
pub mod request;
pub mod rule;
pub mod split;
pub mod table;

pub use host::{HostError, HostMatch};
pub use path::PathMatch;
pub use pattern::{Pattern, PatternError};
pub use request::{Mismatch, RequestView};
pub use rule::{FieldMatch, RouteRule, ValueMatch};
pub use split::ClusterSplit;
pub use table::{RouteTable, TableError};
