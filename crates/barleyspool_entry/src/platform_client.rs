//! The client of the platform: reads the configuration and the fleet list.

use barleyspool_core::{ConfigDocument, Fleet, PartRef, Revision, VersionedPart};
use barleyspool_wire::http::{self, HttpError};
use barleyspool_wire::platform::{CONFIG_PATH, FLEET_PATH, HEAD_KEY, HeadValue, MAX_VALUE_BYTES, PartValue};
use std::sync::Arc;
use std::time::Duration;

/// The time that a watch waits for a change. It is well below the minimum of the setting `read_age_ms`: if
/// the last read of the watching nodes gets older than that, all other nodes read from the platform
/// themselves.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The timeout of a read, in addition to the time that it waits for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of the fleet list.
const MAX_FLEET_BYTES: usize = 8 << 20;

/// The addresses of the platform, and the configuration that was last read.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    configuration_address: String,
    fleet_address: String,
    last_document: Option<ConfigDocument>,
}

impl PlatformClient {
    /// Creates a client that has not read anything yet.
    pub fn new(configuration_address: String, fleet_address: String) -> Self {
        Self {
            configuration_address,
            fleet_address,
            last_document: None,
        }
    }

    /// Reads the configuration if it is newer than the one last read, waiting up to `wait` for a change;
    /// `None` if it did not change. Only the parts that changed are read.
    ///
    /// # Errors
    /// If the configuration service does not respond, or its response is not a configuration.
    pub async fn read_configuration(&mut self, wait: Duration) -> Result<Option<ConfigDocument>, HttpError> {
        let after = self
            .last_document
            .as_ref()
            .map_or(Revision(0), |document| document.revision);
        let path = format!(
            "{CONFIG_PATH}{HEAD_KEY}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let head = http::get_json::<HeadValue>(
            &self.configuration_address,
            &path,
            MAX_VALUE_BYTES,
            wait + READ_TIMEOUT,
        )
        .await?;
        let Some(head) = head else { return Ok(None) };
        let mut parts = Vec::with_capacity(head.value.parts.len());
        for wanted in &head.value.parts {
            parts.push(self.read_part(wanted).await?);
        }
        let document = ConfigDocument {
            revision: head.revision,
            head: head.value,
            parts,
        };
        self.last_document = Some(document.clone());
        Ok(Some(document))
    }

    async fn read_part(&self, wanted: &PartRef) -> Result<VersionedPart, HttpError> {
        let mut previous_parts = self.last_document.iter().flat_map(|document| &document.parts);
        if let Some(part) =
            previous_parts.find(|part| part.key == wanted.key && part.revision >= wanted.revision)
        {
            return Ok(part.clone());
        }
        let path = format!("{CONFIG_PATH}{}", wanted.key);
        let value =
            http::get_json::<PartValue>(&self.configuration_address, &path, MAX_VALUE_BYTES, READ_TIMEOUT)
                .await?;
        match value {
            Some(value) if value.revision >= wanted.revision => Ok(VersionedPart {
                key: wanted.key.clone(),
                revision: value.revision,
                part: Arc::new(value.value),
            }),
            _ => {
                let cause = format!("part {} is older than the revision named in the head", wanted.key);
                Err(HttpError::Malformed {
                    peer: self.configuration_address.clone(),
                    cause,
                })
            }
        }
    }

    /// Reads the fleet list if its revision is later than `after`, waiting up to `wait` for a change; `None`
    /// if it did not change.
    ///
    /// # Errors
    /// If the platform does not respond, or its response is not a fleet list.
    pub async fn read_fleet(&self, after: Revision, wait: Duration) -> Result<Option<Fleet>, HttpError> {
        let path = format!("{FLEET_PATH}?after={after}&wait_ms={}", wait.as_millis());
        http::get_json(&self.fleet_address, &path, MAX_FLEET_BYTES, wait + READ_TIMEOUT).await
    }
}
