//! `mintshelf explain`: the route that a request takes, and the settings that apply to it.

mod attempts;
mod report;
mod settings;

use crate::config_file;
use crate::EXIT_UNUSABLE;
use http::uri::InvalidUri;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Uri};
use mintshelf_config::model::OperatorConfig;
use mintshelf_routing::{RequestView, RouteTable, TableError};
use report::Report;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// Why a request cannot be explained.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// A header is not a name, a colon and a value.
    #[error("header '{0}': write it as in -H 'name: value'")]
    Header(String),
    /// The method is not one of HTTP.
    #[error("method '{0}': is not a method")]
    Method(String),
    /// The URL cannot be parsed.
    #[error("URL '{url}': {source}")]
    Url {
        /// The URL as it was given.
        url: String,
        /// Why it cannot be parsed.
        source: InvalidUri,
    },
    /// The routes of the file contradict each other.
    #[error(transparent)]
    Routes(#[from] TableError),
}

/// Prints the explanation of one request; returns the exit code, which is 2 for a request that
/// cannot be parsed.
pub fn run(path: &Path, method: &str, url: &str, headers: &[String]) -> ExitCode {
    let config = match config_file::read(path) {
        Ok(config) => config,
        Err(error) => {
            error.lines().iter().for_each(|line| eprintln!("{line}"));
            return error.exit_code();
        }
    };
    let request = Request::parse(method, url, headers);
    match request.and_then(|request| explain(&config, &request)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("mintshelf: {error}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

/// A request to explain.
struct Request {
    method: Method,
    /// The URL as it was given.
    url: String,
    uri: Uri,
    headers: HeaderMap,
}

impl Request {
    fn parse(method: &str, url: &str, headers: &[String]) -> Result<Self, ExplainError> {
        let headers = parse_headers(headers)?;
        let parsed = method.parse();
        let method = parsed.map_err(|_| ExplainError::Method(method.to_string()))?;
        let invalid_url = |source| ExplainError::Url { url: url.to_string(), source };
        let uri = url.parse().map_err(invalid_url)?;
        Ok(Request { method, url: url.to_string(), uri, headers })
    }

    /// The host of the URL, else that of the `Host` header, else an empty name.
    fn host(&self) -> String {
        let stated = self.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let authority = self.uri.authority().map(|authority| authority.as_str());
        authority.or(stated).unwrap_or_default().to_string()
    }

    fn target(&self) -> &str {
        self.uri.path_and_query().map_or("/", |target| target.as_str())
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

/// The explanation of a request, for people.
fn explain(config: &OperatorConfig, request: &Request) -> Result<String, ExplainError> {
    let host = request.host();
    let view = RequestView::new(&host, request.target(), &request.method, &request.headers);
    let table = RouteTable::new(config.routes.iter().map(|route| route.rule.clone()))?;
    let selected = table.find(&view);
    let mut report = Report::new(config);
    explain_selection(&mut report, request, selected);
    explain_other_routes(&mut report, &view, selected);
    if let Some(route_index) = selected {
        settings::explain_route(&mut report, route_index, request);
    }
    Ok(report.into_text())
}

fn explain_selection(report: &mut Report, request: &Request, selected: Option<usize>) {
    let Request { method, url, .. } = request;
    match selected.map(|index| &report.config().routes[index]) {
        Some(route) => report.line(format_args!(
            "{method} {url} takes route '{}' (line {})",
            route.name, route.line
        )),
        None => {
            report.line(format_args!("{method} {url} takes no route: it is answered 404, no-route"))
        }
    }
}

/// Why each of the other routes is not taken.
fn explain_other_routes(report: &mut Report, view: &RequestView, selected: Option<usize>) {
    let routes = report.config().routes.iter().enumerate();
    for (_, route) in routes.filter(|(index, _)| Some(*index) != selected) {
        let reason = match view.mismatch(&route.rule) {
            Some(mismatch) => mismatch.to_string(),
            None => "it matches too, but is less specific, or comes later".to_string(),
        };
        report.line(format_args!("  not '{}' (line {}): {reason}", route.name, route.line));
    }
}
