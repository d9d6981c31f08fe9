//! Reads settings from JSON. Validates every value, and reports all errors at once with the file, the path, the value
//! and the allowed values.

use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// One invalid value of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The path of the field, such as `lease.horizon_ms`.
    pub path: String,
    /// The invalid value.
    pub value: String,
    /// The allowed values.
    pub allowed: String,
}

/// All errors of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the file.
    pub file: String,
    /// The errors, in the order of the file's fields.
    pub errors: Vec<InvalidSetting>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let end = if index + 1 < self.errors.len() { "\n" } else { "" };
            let InvalidSetting { path, value, allowed } = error;
            write!(
                f,
                "{}: {path}: {value} is not allowed; allowed: {allowed}{end}",
                self.file
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads the fields of one JSON object, collects the errors, and finally rejects fields that were not requested.
///
/// ```
/// use barleyspool_wire::SettingsReader;
/// let mut reader = SettingsReader::parse("a.json", r#"{"zone": "mi-a", "beat_ms": 0, "x": 1}"#);
/// assert_eq!(reader.text("zone", None), "mi-a");
/// reader.number("beat_ms", 50..=10_000, "ms", Some(500));
/// let errors = reader.finish().unwrap_err().errors;
/// assert_eq!(errors.len(), 2);
/// ```
#[derive(Debug)]
pub struct SettingsReader {
    file: String,
    prefix: String,
    fields: Map<String, Value>,
    requested: Vec<String>,
    errors: Vec<InvalidSetting>,
}

impl SettingsReader {
    /// Reads a file. A file that cannot be read or that is not a JSON object is reported like an invalid value.
    pub fn load(path: &Path) -> Self {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Self::invalid_file(file, &error.to_string(), "a readable file"),
        }
    }

    /// Reads `text` as the content of `file`.
    pub fn parse(file: &str, text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => Self::from_fields(file.to_owned(), String::new(), fields),
            Ok(other) => Self::invalid_file(file.to_owned(), &truncated_json(&other), "a JSON object"),
            Err(error) => Self::invalid_file(file.to_owned(), &error.to_string(), "valid JSON"),
        }
    }

    fn from_fields(file: String, prefix: String, fields: Map<String, Value>) -> Self {
        Self {
            file,
            prefix,
            fields,
            requested: Vec::new(),
            errors: Vec::new(),
        }
    }

    fn invalid_file(file: String, value: &str, allowed: &str) -> Self {
        let mut reader = Self::from_fields(file, String::new(), Map::new());
        let (path, value, allowed) = ("(file)".to_owned(), value.to_owned(), allowed.to_owned());
        reader.errors.push(InvalidSetting { path, value, allowed });
        reader
    }

    fn path(&self, name: &str) -> String {
        if self.prefix.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.prefix)
        }
    }

    /// Adds an error of the field `name`.
    pub fn add_error(&mut self, name: &str, value: &str, allowed: &str) {
        let (path, value, allowed) = (self.path(name), value.to_owned(), allowed.to_owned());
        self.errors.push(InvalidSetting { path, value, allowed });
    }

    fn field(&mut self, name: &str) -> Option<Value> {
        self.requested.push(name.to_owned());
        self.fields.get(name).cloned()
    }

    /// Reads a non-empty string. Without a default the field is required.
    pub fn text(&mut self, name: &str, default: Option<&str>) -> String {
        match (self.field(name), default) {
            (Some(Value::String(text)), _) if !text.is_empty() => text,
            (Some(other), _) => {
                self.add_error(name, &truncated_json(&other), "a non-empty string");
                String::new()
            }
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                self.add_error(name, "nothing", "a string; the field is required");
                String::new()
            }
        }
    }

    /// Reads a string that must be one of `choices`.
    pub fn choice(&mut self, name: &str, choices: &[&str], default: &str) -> String {
        let text = self.text(name, Some(default));
        if !choices.contains(&text.as_str()) && !text.is_empty() {
            self.add_error(
                name,
                &format!("\"{text}\""),
                &format!("one of {}", choices.join(", ")),
            );
        }
        text
    }

    /// Reads an integer in a range; `unit` appears in the error text.
    pub fn number(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: Option<u64>,
    ) -> u64 {
        let allowed = format!("an integer from {} to {} {unit}", range.start(), range.end());
        match (self.field(name), default) {
            (Some(value), _) => match value.as_u64() {
                Some(number) if range.contains(&number) => number,
                _ => {
                    self.add_error(name, &truncated_json(&value), allowed.trim_end());
                    *range.start()
                }
            },
            (None, Some(default)) => default,
            (None, None) => {
                self.add_error(
                    name,
                    "nothing",
                    &format!("{}; the field is required", allowed.trim_end()),
                );
                *range.start()
            }
        }
    }

    /// Reads a floating-point number in a range.
    pub fn decimal(&mut self, name: &str, range: RangeInclusive<f64>, unit: &str, default: f64) -> f64 {
        let Some(value) = self.field(name) else {
            return default;
        };
        match value.as_f64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a number from {} to {} {unit}", range.start(), range.end());
                self.add_error(name, &truncated_json(&value), allowed.trim_end());
                default
            }
        }
    }

    /// Reads a boolean.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.field(name) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(other) => {
                self.add_error(name, &truncated_json(&other), "true or false");
                default
            }
        }
    }

    /// Reads an IP address with a port; host names are not allowed.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name, None);
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                if !text.is_empty() {
                    self.add_error(
                        name,
                        &format!("\"{text}\""),
                        "an IP address and port, such as 10.0.0.1:7100",
                    );
                }
                SocketAddr::from(([127, 0, 0, 1], 0))
            }
        }
    }

    /// Reads a list of strings.
    pub fn texts(&mut self, name: &str) -> Vec<String> {
        let Some(value) = self.field(name) else {
            return Vec::new();
        };
        let texts: Option<Vec<String>> = value.as_array().and_then(|items| {
            items
                .iter()
                .map(|item| item.as_str().map(str::to_owned))
                .collect()
        });
        texts.unwrap_or_else(|| {
            self.add_error(name, &truncated_json(&value), "a list of strings");
            Vec::new()
        })
    }

    /// Reads a list of IP addresses with ports.
    pub fn addresses(&mut self, name: &str) -> Vec<String> {
        let texts = self.texts(name);
        for (index, text) in texts.iter().enumerate() {
            if text.parse::<SocketAddr>().is_err() {
                self.add_error(
                    &format!("{name}[{index}]"),
                    &format!("\"{text}\""),
                    "an IP address and port",
                );
            }
        }
        texts
    }

    /// Reads a nested object by `read`. A missing object is read as an empty one, so that the defaults apply.
    pub fn object<T>(&mut self, name: &str, read: impl FnOnce(&mut Self) -> T) -> T {
        let fields = match self.field(name) {
            None => Map::new(),
            Some(Value::Object(fields)) => fields,
            Some(other) => {
                self.add_error(name, &truncated_json(&other), "an object");
                Map::new()
            }
        };
        let mut inner = Self::from_fields(self.file.clone(), self.path(name), fields);
        let value = read(&mut inner);
        inner.reject_unknown_fields();
        self.errors.append(&mut inner.errors);
        value
    }

    /// Returns any JSON value, for fields that the caller validates.
    pub fn raw(&mut self, name: &str) -> Option<Value> {
        self.field(name)
    }

    fn reject_unknown_fields(&mut self) {
        let unknown: Vec<(String, Value)> = self
            .fields
            .iter()
            .filter(|(name, _)| !self.requested.contains(name))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        for (name, value) in unknown {
            let allowed = format!("one of the fields {}", self.requested.join(", "));
            self.add_error(&name, &truncated_json(&value), &allowed);
        }
    }

    /// Finishes reading, and returns the errors if there are any.
    ///
    /// # Errors
    /// All invalid values and unknown fields.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        if self.errors.first().is_none_or(|error| error.path != "(file)") {
            self.reject_unknown_fields();
        } else {
            self.errors.truncate(1);
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        Err(SettingsError {
            file: self.file,
            errors: self.errors,
        })
    }
}

/// Formats a value for an error text, truncated to `MAX_CHARS` characters.
fn truncated_json(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(MAX_CHARS) {
        Some((cut, _)) => format!("{}…", &text[..cut]),
        None => text,
    }
}
