//! Reading the platform: the configuration service and the fleet list.

use barleyspool_core::{ConfigDocument, Fleet, PartRef, Revision, VersionedPart};
use barleyspool_wire::http::{self, HttpError};
use barleyspool_wire::platform::{CONFIG_PATH, FLEET_PATH, HEAD_KEY, HeadValue, MAX_VALUE_BYTES, PartValue};
use std::sync::Arc;
use std::time::Duration;

/// How long a watch waits for a change. Well below the least `read_age_ms`: what a watching node says of its
/// last read has to stay young, or all others read for themselves.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);
/// How long a read that does not wait may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest fleet list, in bytes.
const MAX_FLEET_BYTES: usize = 8 << 20;

/// Where the platform is, and what was last read there.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    configuration_address: String,
    fleet_address: String,
    last_document: Option<ConfigDocument>,
}

impl PlatformClient {
    /// A client that has read nothing.
    pub fn new(configuration_address: String, fleet_address: String) -> Self {
        Self {
            configuration_address,
            fleet_address,
            last_document: None,
        }
    }

    /// The whole configuration, once it is newer than what this client read last; `None` when it did not
    /// become newer within `wait`. Only parts that changed are read.
    ///
    /// # Errors
    /// When the service does not answer, or not with a configuration.
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
                let cause = format!("part {} is older than its head", wanted.key);
                Err(HttpError::Malformed {
                    peer: self.configuration_address.clone(),
                    cause,
                })
            }
        }
    }

    /// The fleet list, once it is newer than `after`; `None` when it did not become so within `wait`.
    ///
    /// # Errors
    /// When the platform does not answer, or not with a list.
    pub async fn read_fleet(&self, after: Revision, wait: Duration) -> Result<Option<Fleet>, HttpError> {
        let path = format!("{FLEET_PATH}?after={after}&wait_ms={}", wait.as_millis());
        http::get_json(&self.fleet_address, &path, MAX_FLEET_BYTES, wait + READ_TIMEOUT).await
    }
}
