//! Segments of the placement log. Stored field names are one letter each, since there are many.

use crate::units::Wall;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// A segment of the placement log. It is written once, and deleted when nothing in it holds any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// In no segment.
    pub const NONE: Self = Self(0);

    /// The segment of a key without its prefix.
    pub fn of_name(name: &str) -> Option<Self> {
        u64::from_str_radix(name, 16).ok().map(Self)
    }
}

/// A segment of the leader's placement log: what was decided at one time. What holds is the sum of all segments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Machines, and what may be on them.
    #[serde(rename = "m", skip_serializing_if = "Vec::is_empty", default)]
    pub machines: Vec<SegmentMachine>,
    /// Which tasks of jobs are done: ranges with both ends included.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty", default)]
    pub done: Vec<(JobId, Vec<(u32, u32)>)>,
    /// Jobs that are suspected of a mistake, with the tries that failed.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty", default)]
    pub suspected: Vec<(JobId, u32)>,
}

/// A machine in a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentMachine {
    /// Its name.
    #[serde(rename = "n")]
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "t")]
    pub machine_type: TypeName,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When it was scaled out or first seen.
    #[serde(rename = "w")]
    pub since: Wall,
    /// Tasks that may be on it: by job and attempt, their numbers.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty", default)]
    pub tasks: Vec<(JobId, Attempt, Vec<u32>)>,
}
