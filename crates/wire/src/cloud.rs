//! The API of the cloud: the catalog of machine types with prices, scale-out and scale-in requests, and the list of
//! machines.

use crate::ids::{MachineId, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// Maximum number of machines that one scale-out request may ask for, by the protocol.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Maximum number of machines that one scale-in request may return, by the protocol.
pub const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// Number of machines on a page of the machine list.
pub const MACHINES_PER_PAGE: usize = 500;

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: TypeName,
    /// Number of CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Size of the image cache, in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current spot price per hour, if the type has one.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "berths", default)]
    pub zones: Vec<Zone>,
}

/// The answer to a catalog request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types on offer.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// Lower bound of the fetch rates from which fetch times are calculated, in GB per second. The catalog may omit a rate,
/// which is then 0.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

impl Catalog {
    /// Returns the longest nominal boot time of all types, in seconds.
    pub fn slowest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// Returns the time that the type with the lowest fetch rate takes to fetch an image of this size, in seconds.
    pub fn slowest_fetch_s(&self, gb: f64) -> f64 {
        let lowest_rate = (self.types.iter())
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        gb / lowest_rate.max(MIN_FETCH_GB_PER_S)
    }

    /// Returns the highest on-demand price per hour of all types.
    pub fn highest_price(&self) -> f64 {
        self.types.iter().map(|t| t.price).fold(0.0, f64::max)
    }
}

/// A scale-out request, which rents machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// The request's id, which is never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Type of the machines.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// Zone of the machines.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether the machines are to be spot instances.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_SCALE_OUT`].
    pub count: u32,
}

/// Names of machines: those that a scale-out request has rented, or those that a scale-in request returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "decks")]
    pub machines: Vec<MachineId>,
}

/// A machine's state in the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// The machine has not booted yet, according to the list, which may be out of date.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is running.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped without a request.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    pub id: MachineId,
    /// Address of the machine's agent.
    #[serde(default)]
    pub addr: Option<String>,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// The machine's zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The machine's state.
    #[serde(rename = "bearing")]
    pub state: ListedState,
    /// Time since the scale-out request, in seconds.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines on this page.
    #[serde(rename = "decks")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more pages.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
