//! The request to explain, parsed from the command line.

use http::uri::{Authority, InvalidUri};
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Uri};
use mintshelf_routing::{RequestView, TableError};
use thiserror::Error;

/// An error that prevents a request from being explained.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// A header is not of the form `name: value`.
    #[error("invalid header '{0}': write it as in -H 'name: value'")]
    Header(String),
    /// The method is not a valid HTTP method.
    #[error("invalid method '{0}'")]
    Method(String),
    /// The URL cannot be parsed.
    #[error("invalid URL '{url}': {source}")]
    Url {
        /// The unparsed URL argument of `mintshelf explain`.
        url: String,
        /// The underlying parse error.
        source: InvalidUri,
    },
    /// Routes of the file conflict.
    #[error(transparent)]
    Routes(#[from] TableError),
}

/// A request to explain.
pub(super) struct Request {
    pub(super) method: Method,
    /// The unparsed URL argument of `mintshelf explain`.
    pub(super) url: String,
    uri: Uri,
    pub(super) headers: HeaderMap,
}

impl Request {
    /// Parses the arguments of the command.
    ///
    /// # Errors
    /// Returns an error for the first argument that cannot be parsed.
    pub(super) fn parse(method: &str, url: &str, headers: &[String]) -> Result<Self, ExplainError> {
        let headers = parse_headers(headers)?;
        let parsed = method.parse();
        let method = parsed.map_err(|_| ExplainError::Method(method.to_string()))?;
        let invalid_url = |source| ExplainError::Url { url: url.to_string(), source };
        let uri = url.parse().map_err(invalid_url)?;
        Ok(Request { method, url: url.to_string(), uri, headers })
    }

    /// Returns the host of the URL, or else that of the `Host` header, or else an empty string.
    pub(super) fn host(&self) -> String {
        let stated = self.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let authority = self.uri.authority().map(Authority::as_str);
        authority.or(stated).unwrap_or_default().to_string()
    }

    /// Returns the request as it is matched with routes; `host` is the result of [`Request::host`].
    pub(super) fn view<'a>(&'a self, host: &'a str) -> RequestView<'a> {
        let target = self.uri.path_and_query().map_or("/", |target| target.as_str());
        RequestView::new(host, target, &self.method, &self.headers)
    }
}

fn parse_headers(headers: &[String]) -> Result<HeaderMap, ExplainError> {
    let mut parsed = HeaderMap::new();
    for header in headers {
        let invalid = || ExplainError::Header(header.clone());
        let (name, value) = header.split_once(':').ok_or_else(invalid)?;
        let name: HeaderName = name.trim().parse().map_err(|_| invalid())?;
        let value: HeaderValue = value.trim().parse().map_err(|_| invalid())?;
        parsed.append(name, value);
    }
    Ok(parsed)
}
