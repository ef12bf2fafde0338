//! Builds the text of an explanation, with the line of the file that states each setting.

use mintshelf_config::model::OperatorConfig;
use std::fmt::{Arguments, Display};

/// A text about one configuration, which is built line by line.
pub struct Report<'a> {
    config: &'a OperatorConfig,
    text: String,
}

impl<'a> Report<'a> {
    /// Creates an empty report.
    pub fn new(config: &'a OperatorConfig) -> Self {
        Report { config, text: String::new() }
    }

    /// Returns the configuration that the report is about.
    pub fn config(&self) -> &'a OperatorConfig {
        self.config
    }

    /// Returns the complete text.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Appends text that contains its own line breaks.
    pub fn append(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Appends formatted text and a line break to the report.
    pub fn append_line(&mut self, line: Arguments) {
        self.text.push_str(&line.to_string());
        self.text.push('\n');
    }

    /// Appends a setting that only one field can state.
    pub fn append_setting(&mut self, field: &str, value: impl Display) {
        self.append_setting_from(&[field.to_string()], value);
    }

    /// Appends a setting that several fields can state, in order of precedence. The line names the
    /// field that states it. If none does, the value is shown as the default of the last field that
    /// is not in `defaults`.
    pub fn append_setting_from(&mut self, fields: &[String], value: impl Display) {
        let lines = &self.config.explicit_lines;
        let stated = fields.iter().find_map(|field| Some((field, lines.get(field)?)));
        if let Some((field, line)) = stated {
            self.append_line(format_args!("  {field} = {value} (line {line})"));
            return;
        }
        let own = fields.iter().rfind(|field| !field.starts_with("defaults."));
        if let Some(field) = own {
            self.append_line(format_args!("  {field} = {value} (default)"));
        }
    }
}
