//! Reading settings: JSON, every value checked, every fault reported at once with file, path, value and
//! what is allowed.

use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Where, such as `lease.horizon_ms`.
    pub path: String,
    /// What stands there.
    pub value: String,
    /// What may stand there.
    pub allowed: String,
}

/// Everything that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
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

/// Reads the fields of one JSON object, collects errors, and at the end refuses fields it was not asked for.
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
    /// Reads a file. One that cannot be read or is not a JSON object is a fault like any other.
    pub fn load(path: &Path) -> Self {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Self::unreadable(file, &error.to_string(), "a readable file"),
        }
    }

    /// Reads a text as if it stood in `file`.
    pub fn parse(file: &str, text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => Self::from_fields(file.to_owned(), String::new(), fields),
            Ok(other) => Self::unreadable(file.to_owned(), &truncated_json(&other), "a JSON object"),
            Err(error) => Self::unreadable(file.to_owned(), &error.to_string(), "valid JSON"),
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

    fn unreadable(file: String, value: &str, allowed: &str) -> Self {
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

    /// Reports a fault of the field `name`.
    pub fn add_error(&mut self, name: &str, value: &str, allowed: &str) {
        let (path, value, allowed) = (self.path(name), value.to_owned(), allowed.to_owned());
        self.errors.push(InvalidSetting { path, value, allowed });
    }

    fn field(&mut self, name: &str) -> Option<Value> {
        self.requested.push(name.to_owned());
        self.fields.get(name).cloned()
    }

    /// A text that is not empty. Without a default it must be there.
    pub fn text(&mut self, name: &str, default: Option<&str>) -> String {
        match (self.field(name), default) {
            (Some(Value::String(text)), _) if !text.is_empty() => text,
            (Some(other), _) => {
                self.add_error(name, &truncated_json(&other), "a text that is not empty");
                String::new()
            }
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                self.add_error(name, "nothing", "a text; it has no default");
                String::new()
            }
        }
    }

    /// One of a few texts.
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

    /// A whole number in a range, in a unit.
    pub fn number(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: Option<u64>,
    ) -> u64 {
        let allowed = format!("a whole number from {} to {} {unit}", range.start(), range.end());
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
                    &format!("{}; it has no default", allowed.trim_end()),
                );
                *range.start()
            }
        }
    }

    /// A number that need not be whole.
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

    /// Yes or no.
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

    /// An IP number with a port; names are not allowed.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name, None);
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                if !text.is_empty() {
                    self.add_error(
                        name,
                        &format!("\"{text}\""),
                        "an IP number and port, such as 10.0.0.1:7100",
                    );
                }
                SocketAddr::from(([127, 0, 0, 1], 0))
            }
        }
    }

    /// A list of texts.
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
            self.add_error(name, &truncated_json(&value), "a list of texts");
            Vec::new()
        })
    }

    /// A list of IP numbers with ports.
    pub fn addresses(&mut self, name: &str) -> Vec<String> {
        let texts = self.texts(name);
        for (index, text) in texts.iter().enumerate() {
            if text.parse::<SocketAddr>().is_err() {
                self.add_error(
                    &format!("{name}[{index}]"),
                    &format!("\"{text}\""),
                    "an IP number and port",
                );
            }
        }
        texts
    }

    /// An object of its own, read by `read`. A missing one is read as empty, so that defaults apply.
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

    /// Any JSON, for values that have a check of their own.
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

    /// Ends the reading.
    ///
    /// # Errors
    /// Everything that was wrong, unknown fields included.
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

/// A value as it is shown in a fault.
fn truncated_json(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(MAX_CHARS) {
        Some((cut, _)) => format!("{}…", &text[..cut]),
        None => text,
    }
}
