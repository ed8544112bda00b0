//! Reserved room in a snapshot: for urgent arrivals, and for gangs.

use super::Snapshot;
use crate::leader::Leader;
use crate::scheduling::arrival_reserve::ArrivalReserve;
use crate::units::Resources;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

/// Number of nodes in a team tree of a single team: the root and the team.
const NODES_OF_SINGLE_TEAM: usize = 2;

/// Reservation of a machine for a gang.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Gang that the machine is reserved for.
    pub gang: JobId,
    /// Expected time in seconds until the gang has enough room on all its machines.
    pub ready_in_s: f64,
}

impl Snapshot {
    /// Returns whether there is room for urgent services that may arrive before a machine could be started for them,
    /// also if the machine `without` is left out. Work that would be preempted for them counts as room.
    pub fn has_room_for_arrivals(&self, leader: &Leader, without: Option<usize>) -> bool {
        let reserves = leader.arrival_reserves(self.now);
        reserves.iter().all(|reserve| {
            // Room on a machine without the image would require a fetch, so each image gets an equal part of the
            // tasks.
            let tasks_per_image = reserve.tasks.div_ceil(reserve.images.len().max(1) as u32);
            (reserve.images.iter()).all(|image| {
                self.room_with_image(&reserve.need, self.image(image), without) >= tasks_per_image
            })
        })
    }

    /// Returns the number of tasks that have room on machines that have their image.
    fn room_with_image(&self, need: &Resources, image: Option<u32>, without: Option<usize>) -> u32 {
        (self.candidates.iter().enumerate())
            .filter(|(candidate_index, candidate)| {
                Some(*candidate_index) != without && candidate.has_image(image)
            })
            .map(|(_, candidate)| (candidate.free + candidate.preemptible).fit_count(need))
            .sum()
    }

    /// Reserves free room for urgent services that may arrive before a machine could be started for them, on machines
    /// that have their images. A single team needs no reservation: its own work yields by priority.
    pub fn reserve_for_arrivals(&mut self, leader: &Leader) {
        if leader.policy.teams.nodes.len() <= NODES_OF_SINGLE_TEAM {
            return;
        }
        for candidate in &mut self.candidates {
            candidate.reserved_for_arrivals = Resources::default();
        }
        for reserve in leader.arrival_reserves(self.now) {
            let mut left = reserve.tasks;
            for candidate_index in self.machines_for_reserve(&reserve) {
                let candidate = &mut self.candidates[candidate_index];
                let tasks = candidate.unreserved().fit_count(&reserve.need).min(left);
                candidate.reserved_for_arrivals += reserve.need.times(tasks);
                left -= tasks;
            }
        }
    }

    /// Returns machines with room for a reserve: those that have the most of its images first, then the fullest.
    fn machines_for_reserve(&self, reserve: &ArrivalReserve) -> Vec<usize> {
        let images: Vec<u32> = (reserve.images.iter())
            .filter_map(|image| self.image(image))
            .collect();
        let mut order: Vec<(usize, i64, usize)> = (self.candidates.iter().enumerate())
            .filter(|(_, candidate)| candidate.capacity.gpus == 0 && !candidate.is_spot)
            .filter(|(_, candidate)| candidate.unreserved().holds(&reserve.need))
            .map(|(candidate_index, candidate)| {
                let is_missing = |image: &&u32| !candidate.cached_images.contains(image);
                let missing = images.iter().filter(is_missing).count();
                (missing, candidate.unreserved().cpus, candidate_index)
            })
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(.., candidate_index)| candidate_index)
            .collect()
    }

    /// Removes all reservations for gangs.
    pub fn clear_gang_reservations(&mut self) {
        for candidate in &mut self.candidates {
            candidate.gang_reservation = None;
        }
        self.gang_reservations.clear();
    }

    /// Reserves machines for a gang, which is expected to have enough room on them in `ready_in_s` seconds.
    pub fn reserve_for_gang(&mut self, gang: &JobId, machines: &[usize], ready_in_s: f64) {
        for &candidate_index in machines {
            self.candidates[candidate_index].gang_reservation = Some(GangReservation {
                gang: gang.clone(),
                ready_in_s,
            });
        }
        self.gang_reservations.insert(gang.clone());
    }

    /// Returns the number of gangs that room is reserved for.
    pub fn gang_reservation_count(&self) -> usize {
        self.gang_reservations.len()
    }

    /// Takes the set of gangs that room is reserved for out of the snapshot.
    pub fn take_gang_reservations(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.gang_reservations)
    }
}
