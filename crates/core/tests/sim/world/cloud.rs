//! A stand-in for the cloud: machines with a boot time, a limited capacity, and a machine list that lags behind.

use rudderreel_core::{CloudAnswer, CloudCall};
use rudderreel_wire::cloud::{
    Catalog, ListedMachine, ListedState, MachineNames, MachinePage, MachineType, ScaleOutRequest,
};
use rudderreel_wire::ids::{MachineId, TypeName};
use std::collections::{BTreeMap, BTreeSet};

/// Nominal boot time of a machine, in seconds.
const BOOT_S: f64 = 4.0;
/// Maximum number of machines on a page of the cloud's list, by the protocol.
const MAX_PAGE_MACHINES: usize = 500;

/// A machine type that the simulated cloud offers. All types have 4 CPUs.
#[derive(Clone, Copy, Debug)]
pub struct OfferedType {
    pub name: &'static str,
    pub gpus: f64,
    pub price: f64,
    /// Zones in which the type is offered.
    pub zones: &'static [&'static str],
    /// Maximum number of machines of this type that can be rented at the same time.
    pub capacity: usize,
}

impl OfferedType {
    /// Returns a type without GPUs.
    pub fn without_gpus(capacity: usize, zones: &'static [&'static str]) -> Self {
        Self {
            name: "m4",
            gpus: 0.0,
            price: 1.0,
            zones,
            capacity,
        }
    }

    fn machine_type(&self) -> MachineType {
        MachineType {
            name: self.name.into(),
            cpus: 4.0,
            gpus: self.gpus,
            memory_gb: 16.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: self.price,
            spot_price: Some(0.3 * self.price),
            boot_s: BOOT_S,
            zones: self.zones.iter().map(|zone| (*zone).into()).collect(),
        }
    }
}

/// A simulated cloud.
#[derive(Default)]
pub struct Cloud {
    /// Rented machines by the id of their request, so that a repeated request rents nothing more.
    requested: BTreeMap<String, Vec<MachineId>>,
    /// Rented machines, each with its request and the time at which it was rented.
    machines: BTreeMap<MachineId, (ScaleOutRequest, u64)>,
    /// Machines that have not booted yet.
    booting: BTreeSet<MachineId>,
    /// Machines that were returned since the last call of [`Cloud::take_returned`].
    returned: Vec<MachineId>,
    next_id: u32,
    types: Vec<OfferedType>,
    /// Shortest and longest boot time of a machine, in milliseconds.
    boot_ms: (u64, u64),
    /// Whether the cloud refuses all calls.
    pub down: bool,
}

impl Cloud {
    /// Creates a cloud with a range of boot times and machine types.
    pub fn new(boot_ms: (u64, u64), types: Vec<OfferedType>) -> Self {
        Self {
            boot_ms,
            types,
            ..Self::default()
        }
    }

    /// Returns how many more machines of a type can be rented.
    fn remaining_capacity(&self, name: &TypeName) -> usize {
        let offered = self.types.iter().find(|t| t.name == name.as_str());
        let rented = self.machines.values();
        let rented = rented.filter(|(request, _)| request.machine_type == *name);
        offered.map_or(0, |offered| offered.capacity.saturating_sub(rented.count()))
    }

    /// Takes a machine back without notice.
    pub fn reclaim(&mut self, id: &MachineId) {
        self.machines.remove(id);
        self.booting.remove(id);
        self.returned.push(id.clone());
    }

    /// Returns the boot time of a machine, which varies with its id.
    fn boot_duration_ms(&self, id: &MachineId) -> u64 {
        let n = id.as_str().bytes().map(u64::from).sum::<u64>() % 7;
        self.boot_ms.0 + (self.boot_ms.1 - self.boot_ms.0) * n / 6
    }

    pub fn has(&self, id: &MachineId) -> bool {
        self.machines.contains_key(id)
    }

    /// Returns the machines that have booted since the last call.
    pub fn take_booted(&mut self, now: u64) -> Vec<(MachineId, ScaleOutRequest)> {
        let up = |id: &&MachineId| now >= self.machines[*id].1 + self.boot_duration_ms(id);
        let new: Vec<MachineId> = self.booting.iter().filter(up).cloned().collect();
        let rented = |id: MachineId| {
            self.booting.remove(&id);
            let request = self.machines[&id].0.clone();
            (id, request)
        };
        new.into_iter().map(rented).collect()
    }

    /// Returns the machines that were returned since the last call.
    pub fn take_returned(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.returned)
    }

    pub fn call(&mut self, call: &CloudCall, now: u64) -> CloudAnswer {
        if self.down {
            return CloudAnswer::Refused;
        }
        match call {
            CloudCall::Catalog => CloudAnswer::Catalog(Catalog {
                types: (self.types.iter()).map(OfferedType::machine_type).collect(),
            }),
            CloudCall::ScaleOut(request) => {
                if let Some(machines) = self.requested.get(&request.request) {
                    let machines = machines.clone();
                    return CloudAnswer::Rented(MachineNames { machines });
                }
                let room = self.remaining_capacity(&request.machine_type);
                let room = room.min(request.count as usize);
                if room == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let machines: Vec<MachineId> = (0..room).map(|_| self.add(request, now)).collect();
                self.requested
                    .insert(request.request.clone(), machines.clone());
                CloudAnswer::Rented(MachineNames { machines })
            }
            CloudCall::ScaleIn(names) => {
                for id in &names.machines {
                    self.reclaim(id);
                }
                CloudAnswer::Returned
            }
            CloudCall::List(after) => {
                let mut machines: Vec<ListedMachine> = (self.machines.iter())
                    .filter(|(id, (_, at))| {
                        now >= at + 3_000 && after.as_ref().is_none_or(|a| *id > a)
                    })
                    .map(|(id, (request, at))| ListedMachine {
                        id: id.clone(),
                        addr: None,
                        machine_type: request.machine_type.clone(),
                        zone: request.zone.clone(),
                        spot: request.spot,
                        state: ListedState::Running,
                        age_s: (now - at) as f64 / 1000.0,
                    })
                    .take(MAX_PAGE_MACHINES + 1)
                    .collect();
                let more = machines.len() > MAX_PAGE_MACHINES;
                machines.truncate(MAX_PAGE_MACHINES);
                CloudAnswer::Page(MachinePage { machines, more })
            }
        }
    }

    fn add(&mut self, request: &ScaleOutRequest, now: u64) -> MachineId {
        self.next_id += 1;
        let id = MachineId::from(format!("vm-{:06}", self.next_id).as_str());
        self.machines.insert(id.clone(), (request.clone(), now));
        self.booting.insert(id.clone());
        id
    }
}
