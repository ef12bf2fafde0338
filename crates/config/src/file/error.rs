//! Errors in the text of one field.

/// An error in the text of a field. Its message continues the field's text, as in
/// `'x': is not an address`.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text is not of this kind.
    #[error("is not {0}")]
    NotA(&'static str),
    /// Not an IP address with a port.
    #[error("is not an address")]
    Address(#[source] std::net::AddrParseError),
    /// Not a header's name.
    #[error("is not a header name (RFC 9110 5.1)")]
    HeaderName(#[source] http::header::InvalidHeaderName),
    /// Not a header's value.
    #[error("is not a header's value")]
    HeaderValue(#[source] http::header::InvalidHeaderValue),
    /// Not a network with its prefix length.
    #[error("is not a network")]
    Network(#[source] ipnet::AddrParseError),
    /// An address without a port to connect to.
    #[error("has port 0")]
    PortZero,
    /// Not a duration with its unit.
    #[error(transparent)]
    Duration(#[from] humantime::DurationError),
    /// Not a size with its unit. The library gives no error type.
    #[error("{0}")]
    Size(String),
    /// Under the lower or over the upper bound, which are formatted for people.
    #[error("is not between {min} and {max}")]
    OutOfBounds {
        /// The lower bound.
        min: String,
        /// The upper bound.
        max: String,
    },
    /// A path that is not absolute.
    #[error("does not begin with a slash")]
    RelativePath,
    /// A path with a character or an element that no request path can have.
    #[error("holds what no path does: a space, '?', '#', or an element '.' or '..'")]
    InvalidPath,
    /// A rate of 0.
    #[error("would let nothing through")]
    ZeroRate,
    /// Not a name of a process or a fleet.
    #[error("is no name")]
    InvalidName,
}
