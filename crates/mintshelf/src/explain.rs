//! `mintshelf explain`: shows the route that a request takes and the settings that apply to it.

mod attempts;
mod forwarded_request;
mod report;
mod request;
mod settings;

use crate::config_file;
use crate::exit_code::EXIT_UNUSABLE_INPUT;
use mintshelf_config::model::{OperatorConfig, Route};
use mintshelf_routing::{RequestView, RouteTable};
use report::Report;
use request::{ExplainError, Request};
use std::path::Path;
use std::process::ExitCode;

/// Prints the explanation of a request and returns the exit code, which is 2 if the request cannot
/// be parsed.
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
            ExitCode::from(EXIT_UNUSABLE_INPUT)
        }
    }
}

/// Returns the explanation of a request as text.
fn explain(config: &OperatorConfig, request: &Request) -> Result<String, ExplainError> {
    let host = request.host();
    let view = request.view(&host);
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
    let Some(index) = selected else {
        report.append_line(format_args!(
            "{method} {url} takes no route: the response is 404 with the code no-route"
        ));
        return;
    };
    let Route { name, line, .. } = &report.config().routes[index];
    report.append_line(format_args!("{method} {url} takes route '{name}' (line {line})"));
}

/// Appends the reason why each of the other routes is not taken.
fn explain_other_routes(report: &mut Report, view: &RequestView, selected: Option<usize>) {
    let routes = report.config().routes.iter().enumerate();
    for (_, route) in routes.filter(|(index, _)| Some(*index) != selected) {
        let reason = match view.mismatch(&route.rule) {
            Some(mismatch) => mismatch.to_string(),
            None => "it matches too, but is less specific, or comes later".to_string(),
        };
        report.append_line(format_args!("  not '{}' (line {}): {reason}", route.name, route.line));
    }
}
