//! Host conditions of a route.

use std::net::Ipv6Addr;

/// A host that a route matches. Case and ports are ignored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostMatch {
    /// Any host, including none.
    Any,
    /// One or more labels before this suffix: `*.lab.example` has the suffix `lab.example`.
    Wildcard(String),
    /// The host that equals this name.
    Exact(String),
}

/// The reason for which a string is not a valid host condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HostError {
    /// A wildcard that does not replace whole labels at the start.
    #[error("a wildcard must replace whole labels at the start, as in '*.a'")]
    MisplacedWildcard,
    /// The host has a port or a scheme.
    #[error("a host must not have a port or a scheme")]
    PortOrScheme,
    /// Not a valid host name.
    #[error("not a host name")]
    InvalidName,
}

impl HostMatch {
    /// Parses `*`, `*.suffix`, a name or an IPv6 address in brackets.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the string is not valid.
    pub fn parse(text: &str) -> Result<Self, HostError> {
        let text = text.to_ascii_lowercase();
        if text == "*" {
            return Ok(HostMatch::Any);
        }
        let suffix = text.strip_prefix("*.");
        let name = suffix.unwrap_or(&text);
        let is_ipv6 = is_ipv6_literal(name);
        if name.contains('*') {
            return Err(HostError::MisplacedWildcard);
        }
        if name.contains(':') && !is_ipv6 {
            return Err(HostError::PortOrScheme);
        }
        if !is_ipv6 && !name.split('.').all(is_label) {
            return Err(HostError::InvalidName);
        }
        Ok(match suffix {
            Some(suffix) => HostMatch::Wildcard(suffix.to_string()),
            None => HostMatch::Exact(text),
        })
    }

    /// Returns whether the condition matches `host`, which must be in lower case and without a
    /// port.
    #[must_use]
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostMatch::Any => true,
            HostMatch::Exact(name) => name == host,
            HostMatch::Wildcard(suffix) => {
                let labels = host.strip_suffix(suffix.as_str());
                labels.is_some_and(|labels| labels.len() > 1 && labels.ends_with('.'))
            }
        }
    }
}

fn is_label(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn is_ipv6_literal(text: &str) -> bool {
    let address = text.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
    address.is_some_and(|address| address.parse::<Ipv6Addr>().is_ok())
}
