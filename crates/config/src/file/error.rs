//! Errors in the value of a single field.

/// An error in the value of a field. The message follows the quoted value, as in
/// `'x': is not an address`.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The value is not of the named kind.
    #[error("is not {0}")]
    NotA(&'static str),
    /// The value is not an IP address with a port.
    #[error("is not an address")]
    Address(#[source] std::net::AddrParseError),
    /// The value is not a valid header name.
    #[error("is not a header name (RFC 9110 5.1)")]
    HeaderName(#[source] http::header::InvalidHeaderName),
    /// The value is not valid in a header.
    #[error("is not a valid header value")]
    HeaderValue(#[source] http::header::InvalidHeaderValue),
    /// The value is not a network with a prefix length.
    #[error("is not a network")]
    Network(#[source] ipnet::AddrParseError),
    /// The value is an address with port 0.
    #[error("has port 0")]
    PortZero,
    /// The value is not a duration with a unit.
    #[error(transparent)]
    Duration(#[from] humantime::DurationError),
    /// The value is not a size with a unit. The parsing library gives a string in place of an error
    /// type.
    #[error("{0}")]
    Size(String),
    /// The value is less than the lower bound or greater than the upper bound.
    #[error("is not between {min} and {max}")]
    OutOfBounds {
        /// The smallest valid value, formatted for display.
        min: String,
        /// The greatest valid value, formatted for display.
        max: String,
    },
    /// The value is a path that does not begin with a slash.
    #[error("does not begin with a slash")]
    RelativePath,
    /// The value is a path with a character or a segment that no request path can have.
    #[error("contains a space, '?', '#', or a segment '.' or '..'")]
    InvalidPath,
    /// The value is a rate of 0.
    #[error("would reject every request")]
    ZeroRate,
    /// The value is not a valid name of a process or a fleet.
    #[error("is not a valid name")]
    InvalidName,
}
