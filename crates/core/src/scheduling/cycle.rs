//! What a leader decides: cycles, cancelled and finished jobs, machines that are taken or lost.

use crate::fleet::machine::{Machine, Phase, PlacedTask, Stop};
use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::scheduling::actions;
use crate::scheduling::snapshot::Snapshot;
use crate::scheduling::statement::Placement;
use crate::store::records::JobRecord;
use crate::units::{Now, Resources, Span, Time, Wall};
use rudderreel_wire::ids::{Attempt, Image, JobId, MachineId, Version};
use rudderreel_wire::job::{JobState, Kind};
use std::collections::{BTreeMap, BTreeSet};

/// A job that has waited so long for its first start goes before others of its priority, whatever
/// its size. Users take a job that does not begin within four minutes for not served; room for a
/// large one takes a while to come free.
const PATIENCE: Span = Span(80_000);
/// A machine that still holds a cancelled job's task is returned so long before that must be gone.
const AT_LAST: Span = Span(8_000);

/// A placement that could not start for so long is taken back.
const STALLED: Span = Span(10_000);
/// How far back arrivals are looked at.
const LATELY: Span = Span(120_000);

/// Room to be kept for urgent work.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// What one task takes.
    pub need: Resources,
    /// How many may come.
    pub tasks: u32,
    /// The images that they may need.
    pub images: BTreeSet<Image>,
}

impl Leader {
    /// Takes in a job's record.
    pub fn update_job(&mut self, id: &JobId, version: Version, record: &JobRecord) {
        match record.state {
            JobState::Done => {
                self.recall_ended(id, version, record, JobStage::Finished);
                self.finish(id);
            }
            JobState::Cancelled => {
                let wall = record.cancelled.unwrap_or(record.submitted);
                self.recall_ended(id, version, record, JobStage::Cancelled(wall));
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version;
                    job.stage = JobStage::Cancelled(wall);
                }
            }
            JobState::Queued | JobState::Running => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version.max(job.version);
                } else if let Some(spec) = &record.spec {
                    let job = Job::new(spec.clone(), version, record.submitted);
                    self.jobs.insert(id.clone(), job);
                }
            }
        }
    }

    /// Reading back, the log may yet name tasks of a job that is done or cancelled: it is kept for them.
    fn recall_ended(&mut self, id: &JobId, version: Version, record: &JobRecord, stage: JobStage) {
        let Some(spec) = record.spec.as_ref().filter(|_| !self.recovery.is_complete) else {
            return;
        };
        if !self.jobs.contains(id) {
            let mut job = Job::new(spec.clone(), version, record.submitted);
            job.stage = stage;
            self.jobs.insert(id.clone(), job);
        }
    }

    /// A job is done. It is kept while some of its tasks may still be somewhere.
    pub fn finish(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = JobStage::Finished;
            // While the log is read back, it may yet name some.
            if job.placements.is_empty() && self.recovery.is_complete {
                self.jobs.remove(id);
            }
        }
    }

    /// Stops what is left of cancelled and finished jobs, and forgets those that nothing is left of.
    pub fn stop_ended_jobs(&mut self, now: Now) {
        let cancelled: Vec<JobId> = (self.jobs.iter())
            .filter(|(_, j)| !j.is_active())
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.placements.is_empty() && !job.completion_open {
                self.jobs.remove(&id);
                continue;
            }
            let past = match job.stage {
                JobStage::Cancelled(wall) => Span(now.wall.0.saturating_sub(wall.0)),
                _ => Span(0),
            };
            let led = now.time - self.term.elected_at;
            for machine in self.stop_job(&id, now.time) {
                let limits = (
                    self.agent_timings.cancel_deadline,
                    self.agent_timings.report_interval,
                    self.silence_timeout(),
                );
                let (lease, old_leaders_fenced_at, partitioned_zones) = (
                    self.agent_timings.lease,
                    self.term.old_leaders_fenced_at,
                    &self.fleet.partitioned_zones,
                );
                if let Some(m) = self.fleet.machines.get_mut(&machine) {
                    // Behind a cut its lease ends it, if that is soon enough; the machine holds
                    // much else.
                    let left = Span(
                        (self.agent_timings.cancel_deadline.0).saturating_sub(past.0 + AT_LAST.0),
                    );
                    let ends = partitioned_zones.contains_key(&m.zone)
                        && m.is_lease_expired(now.time + left, lease, old_leaders_fenced_at);
                    if !ends && must_return(m, past, led, limits, now.time) {
                        m.retire_reason.get_or_insert("holds a cancelled job");
                    }
                }
            }
        }
    }

    /// Stops all that there may be of a cancelled or finished job; returns where that is.
    pub fn stop_job(&mut self, id: &JobId, now: Time) -> Vec<MachineId> {
        let Some(job) = self.jobs.get(id).filter(|j| !j.is_active()) else {
            return Vec::new();
        };
        let places: Vec<(MachineId, Attempt)> =
            job.placements.values().flatten().cloned().collect();
        for (machine, attempt) in &places {
            self.stop_attempt_on(machine, id, *attempt, 0.0, "cancelled", now);
        }
        places.into_iter().map(|(machine, _)| machine).collect()
    }

    /// Decides one cycle.
    pub fn cycle(&mut self, now: Now) {
        self.withdraw_stalled_placements(now.time);
        let mut snapshot = Snapshot::take(self, now);
        let mut scenario = actions::Scenario::default();
        let waiting = self.waiting_jobs(now);
        let (rest, first): (Vec<&Job>, Vec<&Job>) =
            (waiting.iter()).partition(|j| j.is_preemptible() && j.spec.kind != Kind::Gang);
        let mut placements = actions::allocate_non_preemptible(self, &mut snapshot, &waiting, true);
        actions::reclaim(self, &mut snapshot, &first, &mut scenario);
        actions::preempt(self, &mut snapshot, &first, &mut scenario);
        placements.extend(actions::allocate_non_preemptible(
            self,
            &mut snapshot,
            &waiting,
            false,
        ));
        placements.extend(actions::allocate_preemptible(self, &mut snapshot, &waiting));
        // Only now is it known what of arrays finds no room: what is free may be held back from them,
        // or go to others. Looked at before, a little free room kept them from taking back what was
        // lent. Gangs of one task come before: room is gathered for larger ones in between.
        actions::reclaim(self, &mut snapshot, &rest, &mut scenario);
        actions::preempt(self, &mut snapshot, &rest, &mut scenario);
        actions::reclaim_gangs(self, &mut snapshot, &waiting, &mut scenario);
        if scenario.evictions.is_empty() && now.time >= self.schedule.next_consolidation {
            let emptied = actions::consolidate(self, &mut snapshot, &mut scenario);
            self.schedule.next_consolidation = now.time + self.policy.cycle_period;
            if let Some(machine) = emptied.and_then(|id| self.fleet.machines.get_mut(&id)) {
                machine.cordoned_until = now.time + Span(3 * self.policy.cycle_period.0);
            }
        }
        placements.extend(scenario.placements);
        let gathering = std::mem::take(&mut snapshot.gathering);
        self.schedule.gang_reservations = gathering;
        self.apply_placements(placements, now.time);
        for eviction in scenario.evictions {
            let grace = (self.jobs.get(&eviction.task.job)).map_or(0.0, |j| j.spec.save_s);
            log::debug!("{} is {}", eviction.task, eviction.why);
            let entry = (self.fleet.machines.get_mut(&eviction.machine))
                .and_then(|m| m.task_mut(&eviction.task, eviction.attempt));
            if let Some(entry) = entry {
                entry.stop = Some(Stop {
                    grace_s: grace,
                    since: now.time,
                    why: eviction.why,
                });
            }
        }
        let counted_on = self.plan_capacity(&snapshot, now);
        let kept = snapshot.candidates.iter().filter(|s| s.kept_for.is_some());
        let needed: Vec<MachineId> = (kept.map(|s| &s.id))
            .chain(counted_on.iter().map(|&i| &snapshot.candidates[i].id))
            .cloned()
            .collect();
        for id in needed {
            // It waits for others to come free or to boot: it must not go back as idle meanwhile.
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = None;
            }
        }
    }

    /// Jobs with tasks to start, in order.
    pub fn waiting_jobs(&self, now: Now) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = (self.jobs.values())
            .filter(|j| j.is_active() && j.retry_at <= now.time && j.startable_tasks() > 0)
            .filter(|j| j.spec.kind != Kind::Gang || j.placements.is_empty())
            .collect();
        jobs.sort_by_cached_key(|j| j.queue_order(self.is_overdue(j, now.wall)));
        jobs
    }

    /// Whether a job has waited too long for its first start: then it goes before others. A gang of
    /// several tasks does once room is gathered for it, which begins in time to be done in time.
    pub fn is_overdue(&self, job: &Job, now: Wall) -> bool {
        match job.spec.kind {
            Kind::Gang if job.spec.tasks > 1 => {
                self.schedule.gang_reservations.contains(&job.spec.id)
            }
            _ => job.is_overdue(now, PATIENCE),
        }
    }

    /// Whether a job's start can't wait for its image to be fetched, by what users say.
    pub fn needs_cached_image(&self, job: &Job) -> bool {
        let fetch = Span::secs(self.policy.catalog.slowest_fetch_s(job.spec.image_gb));
        !job.is_preemptible()
            && (self.policy.start_objectives.get(&job.spec.class)).is_some_and(|w| *w < fetch)
    }

    /// Placements that wait for room which does not come free are taken back.
    pub(crate) fn withdraw_stalled_placements(&mut self, now: Time) {
        let stalled: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
            .flat_map(|m| m.tasks.iter().map(move |e| (m, e)))
            .filter(|(_, e)| e.phase == Phase::Planned && now > e.placed_at + STALLED)
            .map(|(m, e)| (m.id.clone(), e.task.job.clone(), e.attempt))
            .collect();
        for (machine, job, attempt) in stalled {
            self.stop_attempt_on(&machine, &job, attempt, 0.0, "stalled", now);
        }
    }

    /// Room for urgent work that may come before a machine could be had: by need, as many tasks
    /// as came lately in the time that a machine takes to boot, and two standard deviations more.
    pub fn reserve_for_arrivals(&self, now: Now) -> Vec<Reserve> {
        let boot = self.policy.catalog.slowest_boot_s();
        let mut came: Vec<(Resources, u32, BTreeSet<Image>)> = Vec::new();
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_active() && j.is_ready() && !j.is_preemptible())
        {
            let urgent = (self.policy.start_objectives.get(&job.spec.class))
                .is_some_and(|w| w.as_secs() < boot);
            let age = Span(now.wall.0.saturating_sub(job.waiting_since().0));
            if !urgent || job.spec.kind != Kind::Service {
                continue;
            }
            let tasks = if age > LATELY { 0 } else { job.spec.tasks };
            let image = job.spec.image.clone();
            match came.iter_mut().find(|(need, ..)| *need == job.need) {
                Some((_, n, images)) => {
                    *n += tasks;
                    images.insert(image);
                }
                None => came.push((job.need, tasks, BTreeSet::from([image]))),
            }
        }
        let per_boot = |n: u32| f64::from(n) * boot / LATELY.as_secs();
        (came.into_iter())
            .map(|(need, n, images)| Reserve {
                need,
                images,
                tasks: (self.policy.reserve_factor * (per_boot(n) + 2.0 * per_boot(n).sqrt()))
                    .ceil() as u32,
            })
            .collect()
    }

    pub(crate) fn apply_placements(&mut self, placements: Vec<Placement>, now: Time) {
        let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        if !placements.is_empty() {
            self.placement_log.mark_unrecorded();
        }
        for placement in placements {
            let id = placement.task.job.clone();
            let Some(spec) = self.jobs.get(&id).map(|j| j.spec.clone()) else {
                continue;
            };
            // The tasks of a gang find one another by it; for others, like is recorded shorter.
            let attempt = match attempts.get(&id) {
                Some(&attempt) => attempt,
                None => self.term.next_attempt(),
            };
            attempts.insert(id.clone(), attempt);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.place(placement.task.index, &placement.machine, attempt);
            }
            if let Some(machine) = self.fleet.machines.get_mut(&placement.machine) {
                log::debug!(
                    "{} attempt {attempt} goes on {}",
                    placement.task,
                    machine.id
                );
                let entry = PlacedTask::planned(placement.task, attempt, Some(spec), now);
                machine.tasks.push(entry);
                machine.idle_since = None;
            }
        }
    }

    /// Tasks of each job that run, for display.
    pub fn running_tasks_by_job(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for entry in self.fleet.machines.values().flat_map(|m| &m.tasks) {
            if entry.is_running() {
                *counts.entry(entry.task.job.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Spot machines that will be taken: what can save is stopped in time to save, what can't
    /// and won't finish is stopped at once, to start again elsewhere.
    pub fn drain_reclaimed_machines(&mut self, now: Time) {
        let mut stops = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(notice) = machine.reclaim_at else {
                continue;
            };
            let left = notice - now;
            for entry in machine.tasks.iter().filter(|e| e.stop.is_none()) {
                let Some(job) = self.jobs.get(&entry.task.job) else {
                    continue;
                };
                let saves = job.spec.checkpoint_s > 0.0;
                // Notices may come half as long as nominal.
                let in_time = Span::secs(job.spec.save_s + 3.0);
                let ran = entry.running_since.map_or(Span(0), |t| now - t);
                let needed = Span::secs((job.spec.estimate_s - ran.as_secs()).max(0.0));
                let finishes = entry.running_since.is_some() && needed < left;
                let stop = if saves { left <= in_time } else { !finishes };
                if stop && entry.occupies_capacity() {
                    let grace = if saves { job.spec.save_s } else { 0.0 };
                    stops.push((
                        machine.id.clone(),
                        entry.task.job.clone(),
                        entry.attempt,
                        grace,
                    ));
                }
            }
        }
        for (machine, job, attempt, grace) in stops {
            self.stop_attempt_on(&machine, &job, attempt, grace, "machine is taken back", now);
        }
    }

    /// Machines whose leases have surely run out hold nothing any more.
    pub fn expire_leases(&mut self, now: Now) {
        let (lease, old_leaders_fenced_at) =
            (self.agent_timings.lease, self.term.old_leaders_fenced_at);
        let over: Vec<MachineId> = (self.fleet.machines.values())
            .filter(|m| {
                !m.tasks.is_empty() && m.is_lease_expired(now.time, lease, old_leaders_fenced_at)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            log::info!("the lease of {id} has surely run out");
            self.clear_machine(&id, now);
        }
    }

    /// Everything on a machine is surely gone.
    pub fn clear_machine(&mut self, id: &MachineId, now: Now) {
        let gone = self
            .fleet
            .machines
            .get_mut(id)
            .map(Machine::take_tasks)
            .unwrap_or_default();
        for (task, attempt) in gone {
            self.task_lost(id, &task, attempt, now);
        }
    }

    /// Forgets a machine that is surely gone.
    pub fn forget_machine(&mut self, id: &MachineId, now: Now) {
        self.clear_machine(id, now);
        self.fleet.returned.insert(id.clone(), now.time);
        self.request_cycle(now.time);
        self.fleet.machines.remove(id);
    }

    /// A machine that has become known in some other way than by a report.
    pub fn add_machine(&mut self, machine: Machine) {
        self.placement_log.mark_unrecorded();
        if !self.fleet.returned.contains_key(&machine.id) {
            self.fleet
                .machines
                .entry(machine.id.clone())
                .or_insert(machine);
        }
    }

    /// Whether a machine is expected to come up.
    pub fn is_booting(&self) -> bool {
        (self.fleet.machines.values())
            .any(|m| m.last_heard_at.is_none() && m.return_requested_at.is_none())
    }

    /// Age of a machine by the time of day.
    pub fn age(machine: &Machine, wall: Wall) -> Span {
        Span(wall.0.saturating_sub(machine.known_since.0))
    }
}

/// Whether a machine must be returned since it may hold a task of a job that was cancelled so long
/// ago. One that can't be reached is returned in good time, for the cloud may be away for a while
/// itself. What a new leader has read back may be long out of date, so it waits to hear machines
/// first: a machine may hold much else.
fn must_return(m: &Machine, past: Span, led: Span, limits: (Span, Span, Span), now: Time) -> bool {
    let (cancel, report, silence) = limits;
    let silent = m.last_heard_at.is_none_or(|t| now - t > silence);
    // Heard is not commanded: one that leaves calls unanswered may never get the stop.
    let silent = silent || m.unanswered_calls > 1;
    let in_good_time = past > Span(cancel.0 / 2) && led > silence && silent;
    // What was to be gone before this leader came was seen to by the one before; the log may still
    // name it. A worker of a node that has ended takes a while to find another.
    let stale = past > cancel + led;
    let at_last = past + AT_LAST > cancel && led > silence;
    let at_once = past + Span(AT_LAST.0 / 2) > cancel && led > Span(report.0 * 2) && !stale;
    in_good_time || at_last || at_once
}

#[cfg(test)]
mod tests;
