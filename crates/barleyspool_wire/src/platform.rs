//! The JSON of the platform: the configuration service and the fleet list. Both can only be read.

use barleyspool_core::{ConfigDocument, ConfigHead, ConfigPart, Revision, VersionedPart};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Where the configuration service gives a value: `/v1/config/KEY?after=REVISION&wait_ms=MS`.
pub const CONFIG_PATH: &str = "/v1/config/";
/// Where the platform gives the fleet list: `/v1/fleet?after=REVISION&wait_ms=MS`.
pub const FLEET_PATH: &str = "/v1/fleet";
/// The key of the head of the configuration.
pub const HEAD_KEY: &str = "serving";
/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value of the configuration service, with its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigValue<T> {
    /// The revision at which it was written.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The head as the service gives it.
pub type HeadValue = ConfigValue<ConfigHead>;
/// A part as the service gives it.
pub type PartValue = ConfigValue<ConfigPart>;

/// The whole configuration, from its head and the values of its parts.
pub fn assemble_document(
    revision: Revision,
    head: &ConfigHead,
    values: &[(String, PartValue)],
) -> ConfigDocument {
    let versioned_part = |(key, value): &(String, PartValue)| VersionedPart {
        key: key.clone(),
        revision: value.revision,
        part: Arc::new(value.value.clone()),
    };
    ConfigDocument {
        revision,
        head: head.clone(),
        parts: values.iter().map(versioned_part).collect(),
    }
}
