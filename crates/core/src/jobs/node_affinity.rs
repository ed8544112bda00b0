//! Node affinity: which machines a job allows, and which machine types it can ever run on.
//!
//! Admission, placement, scale-out and the comparison of prices all judge by these functions, so that none of them
//! counts on a machine that another rules out.

use crate::units::Resources;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{TypeName, Zone};
use rudderreel_wire::job::JobSpec;

/// Returns whether a job may use machines of a type and zone, and spot instances.
pub fn satisfies_node_affinity(
    spec: &JobSpec,
    machine_type: &TypeName,
    zone: &Zone,
    is_spot: bool,
) -> bool {
    (spec.spot || !is_spot)
        && (spec.types.as_ref()).is_none_or(|types| types.contains(machine_type))
        && (spec.zone.as_ref()).is_none_or(|wanted| wanted == zone)
}

/// Iterates over the machine types that can hold a task which needs `need`, and that the cloud offers in a zone that
/// the job allows.
pub fn usable_machine_types<'a>(
    catalog: &'a Catalog,
    spec: &'a JobSpec,
    need: &'a Resources,
) -> impl Iterator<Item = &'a MachineType> {
    // Every type is offered on demand, which every job allows.
    let is_allowed_in = |machine_type: &MachineType, zone: &Zone| {
        satisfies_node_affinity(spec, &machine_type.name, zone, false)
    };
    (catalog.types.iter()).filter(move |machine_type| {
        let mut zones = machine_type.zones.iter();
        zones.any(|zone| is_allowed_in(machine_type, zone))
            && Resources::of_machine(machine_type).holds(need)
    })
}

#[cfg(test)]
mod tests;
