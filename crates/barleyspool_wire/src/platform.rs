//! The JSON of the platform: the configuration service and the fleet list. Both are read-only.

use barleyspool_core::{ConfigDocument, ConfigHead, ConfigPart, Revision, VersionedPart};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path prefix of the values of the configuration service: `/v1/config/KEY?after=REVISION&wait_ms=MS`.
pub const CONFIG_PATH: &str = "/v1/config/";
/// Path of the fleet list: `/v1/fleet?after=REVISION&wait_ms=MS`.
pub const FLEET_PATH: &str = "/v1/fleet";
/// The key of the configuration head.
pub const HEAD_KEY: &str = "serving";
/// The largest value that is read.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value of the configuration service, with its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigValue<T> {
    /// The revision at which the value was written.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The configuration head as the service returns it.
pub type HeadValue = ConfigValue<ConfigHead>;
/// A configuration part as the service returns it.
pub type PartValue = ConfigValue<ConfigPart>;

/// Assembles the whole configuration from its head and the values of its parts.
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
