//! Compact encoding of a target list for transfers between nodes.
//!
//! Names of services, zones and software versions are stored once and addresses as numbers. A target takes about 35 bytes,
//! compared with 75 in an encoded [`TargetTable`] and 370 at the source. A list of 6,000 targets takes 90 ms
//! on a link of 20 Mbit/s.

use super::{TargetEntry, TargetIncarnation, TargetTable};
use crate::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Bits of [`PackedTarget::flags`].
const LEAVING: u8 = 1;
const EVACUATED: u8 = 2;
const UNREADABLE: u8 = 4;
const UNVERIFIED: u8 = 8;

/// The address of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PackedAddress {
    /// IPv4 address and port.
    V4(u32, u16),
    /// Any other address, as it is listed.
    Text(String),
}

/// A target, with its service, zone and software version as indexes into the name tables of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedTarget {
    id: String,
    /// The start of its run, in milliseconds after [`PackedList::run_base`]; `None` when the target does not
    /// report it.
    run: Option<u64>,
    sequence: u64,
    service: usize,
    zone: usize,
    software: usize,
    address: PackedAddress,
    slots: u32,
    flags: u8,
    cold_us: u64,
}

/// A target list in compact encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedList {
    services: Vec<String>,
    zones: Vec<String>,
    software_versions: Vec<String>,
    run_base: u64,
    targets: Vec<PackedTarget>,
}

/// A packed list refers to a name that it does not contain.
#[derive(Copy, Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum UnpackError {
    /// target {0}: service index out of range
    Service(usize),
    /// target {0}: zone index out of range
    Zone(usize),
    /// target {0}: software version index out of range
    SoftwareVersion(usize),
}

impl std::error::Error for UnpackError {}

impl PackedList {
    /// Packs a target list.
    pub fn pack(table: &TargetTable) -> Self {
        let runs = table
            .values()
            .map(|entry| entry.incarnation.0)
            .filter(|run| *run != 0);
        let run_base = runs.min().unwrap_or_default();
        let mut services = NameTable::default();
        let mut zones = NameTable::default();
        let mut software_versions = NameTable::default();
        let pack = |entry: &TargetEntry| PackedTarget {
            id: entry.id.clone(),
            run: (entry.incarnation != TargetIncarnation(0)).then(|| entry.incarnation.0 - run_base),
            sequence: entry.sequence,
            service: services.index(&entry.service),
            zone: zones.index(&entry.zone),
            software: software_versions.index(&entry.software_version),
            address: pack_address(&entry.address),
            slots: entry.slots,
            flags: flags(entry),
            cold_us: entry.cold.0,
        };
        let targets = table.values().map(pack).collect();
        Self {
            services: services.names,
            zones: zones.names,
            software_versions: software_versions.names,
            run_base,
            targets,
        }
    }

    /// Number of targets in the list.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the list has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Restores the target list.
    ///
    /// # Errors
    /// Fails if a target refers to a name that the list does not contain.
    pub fn unpack(self) -> Result<TargetTable, UnpackError> {
        let mut table = TargetTable::new();
        for (index, target) in self.targets.into_iter().enumerate() {
            let service = self.services.get(target.service);
            let zone = self.zones.get(target.zone);
            let software = self.software_versions.get(target.software);
            let entry = TargetEntry {
                incarnation: TargetIncarnation(target.run.map_or(0, |run| run.saturating_add(self.run_base))),
                sequence: target.sequence,
                service: service.cloned().ok_or(UnpackError::Service(index))?,
                address: unpack_address(target.address),
                zone: zone.cloned().ok_or(UnpackError::Zone(index))?,
                software_version: software.cloned().ok_or(UnpackError::SoftwareVersion(index))?,
                slots: target.slots,
                leaving: target.flags & LEAVING != 0,
                evacuated: target.flags & EVACUATED != 0,
                unreadable: target.flags & UNREADABLE != 0,
                unverified: target.flags & UNVERIFIED != 0,
                cold: Span(target.cold_us),
                id: target.id,
                ..TargetEntry::default()
            };
            table.insert(entry.id.clone(), entry);
        }
        Ok(table)
    }
}

/// Assigns indexes to names in the order of their first use.
#[derive(Default)]
struct NameTable {
    names: Vec<String>,
    indexes: BTreeMap<String, usize>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }
}

fn flags(entry: &TargetEntry) -> u8 {
    let bit = |set: bool, bit: u8| if set { bit } else { 0 };
    bit(entry.leaving, LEAVING)
        | bit(entry.evacuated, EVACUATED)
        | bit(entry.unreadable, UNREADABLE)
        | bit(entry.unverified, UNVERIFIED)
}

/// Packs an address as numbers if these unpack to the same text.
fn pack_address(text: &str) -> PackedAddress {
    match text.parse::<SocketAddr>() {
        Ok(SocketAddr::V4(address)) if address.to_string() == text => {
            PackedAddress::V4(address.ip().to_bits(), address.port())
        }
        _ => PackedAddress::Text(text.to_owned()),
    }
}

fn unpack_address(packed: PackedAddress) -> String {
    match packed {
        PackedAddress::V4(ip, port) => SocketAddrV4::new(Ipv4Addr::from_bits(ip), port).to_string(),
        PackedAddress::Text(text) => text,
    }
}
