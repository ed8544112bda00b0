//! Records of the placement log's segments. Stored field names are one letter each, since there are many entries.

use crate::units::Wall;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// The id of a segment of the placement log. A segment is written once, and deleted when nothing refers to it any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// The id that stands for no segment.
    pub const NONE: Self = Self(0);

    /// Parses the id from a segment's key without the prefix.
    pub fn of_name(name: &str) -> Option<Self> {
        u64::from_str_radix(name, 16).ok().map(Self)
    }
}

/// A segment of the leader's placement log, with what was decided at one time. The recorded state is the union of all
/// segments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Machines, and the tasks that may be on them.
    #[serde(rename = "m", skip_serializing_if = "Vec::is_empty", default)]
    pub machines: Vec<SegmentMachine>,
    /// Tasks that are done, by job: ranges of task indexes with both ends included.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty", default)]
    pub done: Vec<(JobId, Vec<(u32, u32)>)>,
    /// Suspected jobs (see `jobs::failures`), each with the number of attempts that failed.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty", default)]
    pub suspected: Vec<(JobId, u32)>,
}

/// The line of a machine in a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentMachine {
    /// Id of the machine.
    #[serde(rename = "n")]
    pub id: MachineId,
    /// Type of the machine.
    #[serde(rename = "t")]
    pub machine_type: TypeName,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When the machine was rented or first seen.
    #[serde(rename = "w")]
    pub since: Wall,
    /// Tasks that may be on the machine: task indexes by job and attempt.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty", default)]
    pub tasks: Vec<(JobId, Attempt, Vec<u32>)>,
}
