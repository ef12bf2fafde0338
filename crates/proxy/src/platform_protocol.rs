//! Header names and paths of the platform's HTTP protocol, and this program's terms for them.
//!
//! | on the wire | in this program |
//! | --- | --- |
//! | `X-Txn` | transaction id: the id that the client assigns to a request |
//! | `X-Lane` | class |
//! | `X-Org` | tenant |
//! | `X-Remaining-Ms` | client timeout in milliseconds; in attempts, the time left |
//! | `X-Estimate` | cost estimate: the expected processing time in microseconds |
//! | `X-Labels` | labels, which are validated but not used |
//! | `X-Resent` | marks a retry by the client |
//! | `obj` (cookie) | key: the object that the request concerns, in hexadecimal |
//! | `X-Turned-Away` (response) | the server rejected the request without running it |
//! | `X-Pressure` (response) | load report |
//! | `/-/ready` | readiness of this sidecar |
//! | `/-/healthy` | health check of a server |
//! | `/-/load` | health check of a server that responds with a load report |

use hyper::header::HeaderName;

/// Request header: the id that the client assigns to the request.
pub(crate) const TRANSACTION_ID: HeaderName = HeaderName::from_static("x-txn");
/// Request header: the name of the class.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-lane");
/// Request header: the name of the tenant.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-org");
/// Request header with the rest of the time that the sender waits for the response, in
/// milliseconds.
pub(crate) const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");
/// Request header: the expected processing time, in microseconds.
pub(crate) const COST_ESTIMATE_US: HeaderName = HeaderName::from_static("x-estimate");
/// Request header: numeric labels, `name=number, ...`.
pub(crate) const LABELS: HeaderName = HeaderName::from_static("x-labels");
/// Request header: `1` marks a retry by the client.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("x-resent");
/// Start of the cookie pair with the key of the request, in hexadecimal.
pub(crate) const KEY_COOKIE_PREFIX: &str = "obj=";

/// Response header: `1` states that the request was not run.
pub(crate) const NEVER_RAN: HeaderName = HeaderName::from_static("x-turned-away");
/// Response header: a load report.
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("x-pressure");

/// Path of the readiness check of this sidecar.
pub(crate) const READY_PATH: &str = "/-/ready";
/// Path of the health check of a server.
pub(crate) const HEALTH_PATH: &str = "/-/healthy";
/// Path of the health check that a server answers with a load report.
pub(crate) const LOAD_PATH: &str = "/-/load";
