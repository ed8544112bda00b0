//! A stand-in for the cloud: machines that boot, offers that run out, and a list that is late.

use rudderreel_core::{CloudAnswer, CloudCall};
use rudderreel_wire::cloud::{
    Catalog, ListedMachine, ListedState, MachineNames, MachinePage, MachineType, ScaleOutRequest,
};
use rudderreel_wire::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Machines on a page of the cloud's list at most, by the protocol.
const LISTED: usize = 500;

/// The cloud: one type, two zones, few spot machines.
#[derive(Default)]
pub struct Cloud {
    requested: BTreeMap<String, Vec<MachineId>>,
    machines: BTreeMap<MachineId, (ScaleOutRequest, u64)>,
    /// Those that are not up yet.
    booting: BTreeSet<MachineId>,
    /// Those that were returned since this was last asked.
    gone: Vec<MachineId>,
    next: u32,
    most: usize,
    /// How long machines take to come up, at least and at most.
    boot_ms: (u64, u64),
    zones: &'static [&'static str],
    /// Its interface is down.
    pub down: bool,
}

impl Cloud {
    /// A cloud with so many machines.
    pub fn of(most: usize, boot_ms: (u64, u64), zones: &'static [&'static str]) -> Self {
        Self {
            most,
            boot_ms,
            zones,
            ..Self::default()
        }
    }

    /// How long a machine takes to come up: some sooner, some later.
    fn boot(&self, id: &MachineId) -> u64 {
        let n = id.as_str().bytes().map(u64::from).sum::<u64>() % 7;
        self.boot_ms.0 + (self.boot_ms.1 - self.boot_ms.0) * n / 6
    }

    pub fn has(&self, id: &MachineId) -> bool {
        self.machines.contains_key(id)
    }

    /// Machines that have come up since the last time.
    pub fn booted(&mut self, now: u64) -> Vec<(MachineId, ScaleOutRequest)> {
        let up = |id: &&MachineId| now >= self.machines[*id].1 + self.boot(id);
        let new: Vec<MachineId> = self.booting.iter().filter(up).cloned().collect();
        let rented = |id: MachineId| {
            self.booting.remove(&id);
            let rent = self.machines[&id].0.clone();
            (id, rent)
        };
        new.into_iter().map(rented).collect()
    }

    /// Machines that were returned since this was last asked.
    pub fn gone(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.gone)
    }

    pub fn call(&mut self, call: &CloudCall, now: u64) -> CloudAnswer {
        if self.down {
            return CloudAnswer::Refused;
        }
        match call {
            CloudCall::Catalog => CloudAnswer::Catalog(Catalog {
                types: vec![MachineType {
                    name: "m4".into(),
                    cpus: 4.0,
                    gpus: 0.0,
                    memory_gb: 16.0,
                    cache_gb: 10.0,
                    fetch_gb_per_s: 1.0,
                    price: 1.0,
                    spot_price: Some(0.3),
                    boot_s: 4.0,
                    zones: self.zones.iter().map(|zone| (*zone).into()).collect(),
                }],
            }),
            CloudCall::ScaleOut(rent) => {
                if let Some(machines) = self.requested.get(&rent.request) {
                    let machines = machines.clone();
                    return CloudAnswer::Rented(MachineNames { machines });
                }
                let room = self
                    .most
                    .saturating_sub(self.machines.len())
                    .min(rent.count as usize);
                if room == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let machines: Vec<MachineId> = (0..room).map(|_| self.add(rent, now)).collect();
                self.requested
                    .insert(rent.request.clone(), machines.clone());
                CloudAnswer::Rented(MachineNames { machines })
            }
            CloudCall::ScaleIn(names) => {
                for id in &names.machines {
                    self.machines.remove(id);
                    self.booting.remove(id);
                    self.gone.push(id.clone());
                }
                CloudAnswer::Returned
            }
            CloudCall::List(after) => {
                let mut machines: Vec<ListedMachine> = (self.machines.iter())
                    .filter(|(id, (_, at))| {
                        now >= at + 3_000 && after.as_ref().is_none_or(|a| *id > a)
                    })
                    .map(|(id, (rent, at))| ListedMachine {
                        id: id.clone(),
                        addr: None,
                        machine_type: rent.machine_type.clone(),
                        zone: rent.zone.clone(),
                        spot: rent.spot,
                        state: ListedState::Running,
                        age_s: (now - at) as f64 / 1000.0,
                    })
                    .take(LISTED + 1)
                    .collect();
                let more = machines.len() > LISTED;
                machines.truncate(LISTED);
                CloudAnswer::Page(MachinePage { machines, more })
            }
        }
    }

    fn add(&mut self, rent: &ScaleOutRequest, now: u64) -> MachineId {
        self.next += 1;
        let id = MachineId::from(format!("vm-{:06}", self.next).as_str());
        self.machines.insert(id.clone(), (rent.clone(), now));
        self.booting.insert(id.clone());
        id
    }
}
