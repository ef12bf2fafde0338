//! The names of the platform's HTTP protocol, mapped to this program's terms.
//!
//! | on the wire | in this program |
//! | --- | --- |
//! | `X-Txn` | transaction id: the id that a client gives a request |
//! | `X-Lane` | class |
//! | `X-Org` | tenant |
//! | `X-Remaining-Ms` | client timeout, in milliseconds: of a client, and of an attempt towards its server |
//! | `X-Estimate` | cost estimate: the expected work, in microseconds |
//! | `X-Labels` | labels, which are checked and not used |
//! | `X-Resent` | whether a request is a client's retry |
//! | `obj` (cookie) | key: what a request concerns, in hexadecimal digits |
//! | `X-Turned-Away` (response) | whether the server rejected a request without running it |
//! | `X-Pressure` (response) | load report |
//! | `/-/ready` | readiness of this sidecar |
//! | `/-/healthy` | health check of a server |
//! | `/-/load` | health check of a server that answers with a load report |

use hyper::header::HeaderName;

/// Header with the id that a client gives a request.
pub(crate) const TRANSACTION_ID: HeaderName = HeaderName::from_static("x-txn");
/// Header with the name of a request's class.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-lane");
/// Header with the name of a request's tenant.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-org");
/// Header with the time for which the sender still waits, in milliseconds.
pub(crate) const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");
/// Header with the expected work, in microseconds.
pub(crate) const COST_ESTIMATE_US: HeaderName = HeaderName::from_static("x-estimate");
/// Header with figures by name.
pub(crate) const LABELS: HeaderName = HeaderName::from_static("x-labels");
/// Header that marks a client's retry, with the value 1.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("x-resent");
/// Name and equals sign of the cookie with what a request concerns, in hexadecimal digits.
pub(crate) const KEY_COOKIE_PREFIX: &str = "obj=";

/// Header that marks a response whose request was never run, with the value 1.
pub(crate) const NEVER_RAN: HeaderName = HeaderName::from_static("x-turned-away");
/// Header of a response that carries a load report.
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("x-pressure");

/// Path that answers whether this sidecar takes requests.
pub(crate) const READY_PATH: &str = "/-/ready";
/// Path at which a server answers whether it is healthy.
pub(crate) const HEALTH_PATH: &str = "/-/healthy";
/// Path at which a server answers with a load report.
pub(crate) const LOAD_PATH: &str = "/-/load";
