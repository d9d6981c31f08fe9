//! A list of targets packed for the way between nodes.
//!
//! Names of services and zones stand once, addresses as numbers: some 35 bytes a target in place of 75 as a [`TargetTable`], and of 370 at the
//! source. On a link of 20 Mbit/s, a list of 6,000 takes 90 ms.

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

/// An address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PackedAddress {
    V4(u32, u16),
    /// Any other, as it is listed.
    Text(String),
}

/// A target; services and zones are named by their place in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedTarget {
    id: String,
    /// The start of its run, in milliseconds after [`PackedList::run_base`]; `None` when it does not tell.
    run: Option<u64>,
    sequence: u64,
    service: usize,
    zone: usize,
    address: PackedAddress,
    slots: u32,
    flags: u8,
    cold_us: u64,
}

/// A list of targets packed for the way between nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedList {
    services: Vec<String>,
    zones: Vec<String>,
    run_base: u64,
    targets: Vec<PackedTarget>,
}

/// A packed list that names a service or a zone which does not stand in it.
#[derive(Copy, Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum UnpackError {
    /// target {0}: there is no service of that number
    Service(usize),
    /// target {0}: there is no zone of that number
    Zone(usize),
}

impl std::error::Error for UnpackError {}

impl PackedList {
    /// Packs a list.
    pub fn pack(table: &TargetTable) -> Self {
        let runs = table
            .values()
            .map(|entry| entry.incarnation.0)
            .filter(|run| *run != 0);
        let run_base = runs.min().unwrap_or_default();
        let mut services = Names::default();
        let mut zones = Names::default();
        let pack = |entry: &TargetEntry| PackedTarget {
            id: entry.id.clone(),
            run: (entry.incarnation != TargetIncarnation(0)).then(|| entry.incarnation.0 - run_base),
            sequence: entry.sequence,
            service: services.place(&entry.service),
            zone: zones.place(&entry.zone),
            address: pack_address(&entry.address),
            slots: entry.slots,
            flags: flags(entry),
            cold_us: entry.cold.0,
        };
        let targets = table.values().map(pack).collect();
        Self {
            services: services.names,
            zones: zones.names,
            run_base,
            targets,
        }
    }

    /// How many targets it holds.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The list that was packed.
    ///
    /// # Errors
    /// When it names a service or a zone that does not stand in it.
    pub fn unpack(self) -> Result<TargetTable, UnpackError> {
        let mut table = TargetTable::new();
        for (place, target) in self.targets.into_iter().enumerate() {
            let service = self.services.get(target.service);
            let zone = self.zones.get(target.zone);
            let entry = TargetEntry {
                incarnation: TargetIncarnation(target.run.map_or(0, |run| run.saturating_add(self.run_base))),
                sequence: target.sequence,
                service: service.cloned().ok_or(UnpackError::Service(place))?,
                address: unpack_address(target.address),
                zone: zone.cloned().ok_or(UnpackError::Zone(place))?,
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

/// Names in the order in which they first came.
#[derive(Default)]
struct Names {
    names: Vec<String>,
    places: BTreeMap<String, usize>,
}

impl Names {
    fn place(&mut self, name: &str) -> usize {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.names.len();
        self.names.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }
}

fn flags(entry: &TargetEntry) -> u8 {
    let bit = |set: bool, bit: u8| if set { bit } else { 0 };
    bit(entry.leaving, LEAVING)
        | bit(entry.evacuated, EVACUATED)
        | bit(entry.unreadable, UNREADABLE)
        | bit(entry.unverified, UNVERIFIED)
}

/// Packs an address as numbers if these give back the same text.
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
