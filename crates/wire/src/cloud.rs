//! The interface of the cloud: machine types with prices, renting and returning machines, and the list of machines.

use crate::ids::{MachineId, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// Machines that one rental request may name, by the protocol.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Machines that one return may name.
pub const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// Machines on a page of the list.
pub const MACHINES_PER_PAGE: usize = 500;

/// A machine type on offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: TypeName,
    /// CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Speed of image fetches.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current spot price per hour.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "berths", default)]
    pub zones: Vec<Zone>,
}

/// The answer to a catalog request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The types.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A lower fetch rate counts as this one.
const LEAST_FETCH_GB_PER_S: f64 = 1e-3;

impl Catalog {
    /// The longest time that a type usually takes to boot, in seconds.
    pub fn slowest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// How long the slowest type takes to fetch so many GB, in seconds.
    pub fn slowest_fetch_s(&self, gb: f64) -> f64 {
        let slowest = (self.types.iter())
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        gb / slowest.max(LEAST_FETCH_GB_PER_S)
    }

    /// The highest ordinary price.
    pub fn highest_price(&self) -> f64 {
        self.types.iter().map(|t| t.price).fold(0.0, f64::max)
    }
}

/// A scale-out request: machines to rent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// The request's id, never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// Zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Names of machines: what was rented, or what to return.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "decks")]
    pub machines: Vec<MachineId>,
}

/// A machine's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Not up yet, as far as the list knows.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped on its own.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: MachineId,
    /// Its agent's address.
    #[serde(default)]
    pub addr: Option<String>,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// Its zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "bearing")]
    pub state: ListedState,
    /// Age since the rental request.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines.
    #[serde(rename = "decks")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more pages.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
