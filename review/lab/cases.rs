use crate::json::{num, st, J};
use crate::lab::{job, Lab, Site};
use std::path::Path;
use std::time::Duration;

pub fn run(case: &str, trouble: bool, root: &Path, record: &Path) -> i32 {
    match case {
        "late-start" => late_start(trouble, root, record),
        "zone-bound" => zone_bound(trouble, root, record),
        "stale-return" => stale_return(trouble, root, record),
        "tiny-tasks" => tiny_tasks(trouble, root, record),
        _ => 2,
    }
}

fn end(lab: &Lab, code: i32, why: &str) -> i32 {
    let died = lab.ended_nodes();
    if !died.is_empty() {
        lab.rec(format!("ended by themselves: {died:?}"));
    }
    let verdict = ["rule held", "rule broken", "could not run"][code as usize];
    lab.rec(format!("{verdict}: {why}"));
    println!("{verdict}: {why}");
    lab.finish();
    code
}

/// A leader is cut off from the state service and the other controllers while a task saves to make room for an urgent
/// job. The urgent job is cancelled through another controller. Does any of its tasks start after that answer?
fn late_start(trouble: bool, root: &Path, record: &Path) -> i32 {
    let lab = Lab::start(Site::prairie(vec![("wren", "assiniboia", false, 1)]), root, record);
    if !lab.wait(15.0, || lab.leader().is_some()) {
        return end(&lab, 2, "no leader");
    }
    let team = "catalogue-ops-00";
    let low = job("wk-000001", "waveforms", team, "sweep", vec![
        ("precedence", st("low")),
        ("vcpus", num(4.0)),
        ("memoryGb", num(12.0)),
        ("expectedS", num(300.0)),
        ("snapshotS", num(10.0)),
        ("stowS", num(1.2)),
    ]);
    let urgent = job("wk-000002", "waveforms", team, "sweep", vec![
        ("precedence", st("urgent")),
        ("vcpus", num(4.0)),
        ("memoryGb", num(12.0)),
        ("expectedS", num(40.0)),
    ]);
    if !lab.submit(0, &low, 300.0) {
        return end(&lab, 2, "not accepted");
    }
    let seen = |kind: &str, task: &str| {
        lab.events.lock().unwrap().iter().find(|e| e.kind == kind && e.task == task).map(|e| e.at)
    };
    if !lab.wait(30.0, || seen("started", "wk-000001/0").is_some()) {
        return end(&lab, 2, "the first job did not start");
    }
    std::thread::sleep(Duration::from_secs(8));
    let Some(leader) = lab.leader() else {
        return end(&lab, 2, "no leader");
    };
    let other = (leader + 1) % 3;
    lab.rec(format!("deckhand-{leader} leads"));
    if !lab.submit(other, &urgent, 40.0) {
        return end(&lab, 2, "not accepted");
    }
    if !lab.wait(20.0, || seen("stop received", "wk-000001/0").is_some()) {
        return end(&lab, 2, "no room was made for the urgent job");
    }
    if trouble {
        lab.cut_from_state_and_peers(leader, true);
    }
    let mut answered = None;
    let until = lab.now() + 60.0;
    while answered.is_none() && lab.now() < until {
        match lab.ask(other, "POST", "/v1/jobs/wk-000002/withdraw", "", 5.0) {
            Some((200, body)) if body.get("bearing").str() == "aborted" => answered = Some(lab.now()),
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    let Some(answered) = answered else {
        return end(&lab, 2, "the cancellation was not answered");
    };
    lab.sleep_until(answered + 12.0);
    let events = lab.events.lock().unwrap().clone();
    let of_job = |e: &&crate::lab::Event| e.task.starts_with("wk-000002/") && e.at > answered;
    let received = events.iter().filter(of_job).find(|e| e.kind == "run received");
    let started = events.iter().filter(of_job).find(|e| e.kind == "started");
    // A task whose start command was on its way when the user was answered does not count.
    let late = received.and(started);
    match late {
        Some(e) => {
            let why = format!(
                "{} started {:.3} s after its user was told that the job is cancelled; the command arrived {:.3} s after that answer",
                e.task,
                e.at - answered,
                received.map_or(0.0, |r| r.at - answered)
            );
            end(&lab, 1, &why)
        }
        None => end(&lab, 0, "no task started after the cancellation was answered"),
    }
}

/// An array that may use wren and pelican machines is bound to a zone with pelican machines only. It runs beside work
/// that uses all GPUs of a cheap pelican; that work ends, and the machine is taken back. Does the array run again,
/// while another pelican in the zone has room?
fn zone_bound(trouble: bool, root: &Path, record: &Path) -> i32 {
    // The machines that the site has.
    let mut site = Site::prairie(vec![
        ("wren", "assiniboia", false, 6),
        ("wren", "assiniboia", true, 5),
        ("magpie", "assiniboia", false, 1),
        ("magpie", "assiniboia", true, 1),
        ("magpie", "qu-appelle", false, 2),
        ("magpie", "qu-appelle", true, 1),
        ("heron", "assiniboia", false, 1),
        ("heron", "assiniboia", true, 1),
        ("heron", "qu-appelle", false, 1),
        ("heron", "qu-appelle", true, 1),
        ("pelican", "assiniboia", false, 3),
        ("pelican", "assiniboia", true, 1),
        ("pelican", "qu-appelle", false, 3),
        ("pelican", "qu-appelle", true, 1),
    ]);
    site.boot_ms = 1_000;
    let lab = Lab::start(site, root, record);
    if !lab.wait(15.0, || lab.leader().is_some()) {
        return end(&lab, 2, "no leader");
    }
    let here = || ("berth", st("qu-appelle"));
    // Keeps an ordinary pelican of the zone up, with most of its room free.
    let keeper = job("wk-000001", "moodtrain", "catalogue-ops-01", "gang", vec![
        ("vcpus", num(4.0)),
        ("gpus", num(1.0)),
        ("memoryGb", num(30.0)),
        ("driftwood", J::Bool(false)),
        ("expectedS", num(300.0)),
        here(),
    ]);
    let trainer = job("wk-000002", "moodtrain", "catalogue-ops-00", "gang", vec![
        ("vcpus", num(43.0)),
        ("gpus", num(8.0)),
        ("memoryGb", num(310.0)),
        ("expectedS", num(5.0)),
        here(),
    ]);
    let array = job("wk-000003", "waveforms", "catalogue-ops-02", "sweep", vec![
        ("takes", num(2)),
        ("vcpus", num(2.0)),
        ("memoryGb", num(4.0)),
        ("expectedS", num(9.0)),
        ("hulls", J::Arr(vec![st("wren"), st("pelican")])),
        here(),
    ]);
    if !lab.submit(0, &keeper, 300.0) || !lab.submit(0, &trainer, 5.0) {
        return end(&lab, 2, "not accepted");
    }
    let seen = |kind: &str, task: &str| {
        lab.events.lock().unwrap().iter().find(|e| e.kind == kind && e.task == task).cloned()
    };
    if !lab.wait(20.0, || seen("started", "wk-000001/0").is_some() && seen("started", "wk-000002/0").is_some()) {
        return end(&lab, 2, "the work with GPUs did not start");
    }
    if !lab.submit(0, &array, 9.0) {
        return end(&lab, 2, "not accepted");
    }
    if !lab.wait(10.0, || seen("started", "wk-000003/0").is_some() && seen("started", "wk-000003/1").is_some()) {
        return end(&lab, 2, "the array did not start");
    }
    if !lab.wait(20.0, || seen("done", "wk-000002/0").is_some()) {
        return end(&lab, 2, "the work with GPUs did not end");
    }
    std::thread::sleep(Duration::from_millis(500));
    let kept = seen("started", "wk-000001/0").expect("seen").machine;
    let cheap = seen("started", "wk-000003/0").expect("seen").machine;
    if trouble {
        lab.rec(format!("cloud: takes back {cheap} without notice"));
        lab.remove_machine(&cheap);
    }
    let since = lab.now();
    let is_done = |lab: &Lab| lab.bearing(0, "wk-000003").as_deref() == Some("done");
    while lab.now() < since + 90.0 {
        if is_done(&lab) {
            return end(&lab, 0, "the array is done");
        }
        let events = lab.events.lock().unwrap().clone();
        if events.iter().any(|e| e.kind == "run received" && e.task.starts_with("wk-000003/") && e.at > since) {
            return end(&lab, 0, "the array was started again");
        }
        lab.sleep_until((lab.now() + 5.0).min(since + 90.0));
    }
    let Some(worker) = lab.worker(&kept) else {
        return end(&lab, 2, "the machine with room is gone");
    };
    if is_done(&lab) {
        return end(&lab, 0, "the array is done");
    }
    let tasks: Vec<String> = worker.state.lock().unwrap().tasks.iter().map(|t| format!("{} {}", t.id, t.state)).collect();
    let why = format!(
        "{:.0} s after the loss of its machine no task of wk-000003 was started; {kept} (pelican, qu-appelle, 48 CPUs) holds only {tasks:?}, and its team uses nothing",
        lab.now() - since
    );
    end(&lab, 1, &why)
}

/// A service runs on the only machine. A guest team submits an array of many tiny tasks that fits on it. Do the
/// controllers keep to the sizes of messages, so that the worker can be commanded, the service runs on and the array
/// begins?
fn tiny_tasks(trouble: bool, root: &Path, record: &Path) -> i32 {
    let lab = Lab::start(Site::prairie(vec![("heron", "assiniboia", false, 1)]), root, record);
    if !lab.wait(15.0, || lab.leader().is_some()) {
        return end(&lab, 2, "no leader");
    }
    let shop = job("wk-000001", "storefront", "catalogue-ops-00", "standing", vec![("takes", num(1))]);
    if !lab.submit(0, &shop, 0.0) {
        return end(&lab, 2, "not accepted");
    }
    let count = |kind: &str, job: &str| {
        lab.events.lock().unwrap().iter().filter(|e| e.kind == kind && e.task.starts_with(job)).count()
    };
    if !lab.wait(30.0, || count("started", "wk-000001/") == 1) {
        return end(&lab, 2, "the service did not start");
    }
    std::thread::sleep(Duration::from_secs(2));
    // Without the trouble the array is the same, but small.
    let takes = if trouble { 1_400 } else { 100 };
    let sheets = job("wk-000002", "cuesheets", "licensing-desk", "sweep", vec![
        ("takes", num(takes)),
        ("vcpus", num(0.02)),
        ("memoryGb", num(0.05)),
        ("expectedS", num(20.0)),
        ("precedence", st("low")),
    ]);
    if !lab.submit(1, &sheets, 20.0) {
        return end(&lab, 2, "not accepted");
    }
    let since = lab.now();
    while lab.now() < since + 90.0 {
        lab.status(0, "wk-000002");
        lab.sleep_until((lab.now() + 5.0).min(since + 90.0));
    }
    let states: Vec<(u64, u64)> = (lab.workers().iter())
        .map(|w| w.state.lock().unwrap())
        .map(|s| (s.oversize, s.lease_losses))
        .collect();
    let oversize: u64 = states.iter().map(|(n, _)| n).sum();
    let sessions: u64 = states.iter().map(|(_, n)| n).sum();
    let begun = count("started", "wk-000002/");
    let lost = count("gone", "wk-000001/");
    let why = format!(
        "{oversize} messages to workers over 64 KiB; leases lost: {sessions}; the service's replica was lost {lost} times; tasks of the array that began within 90 s: {begun} of {takes}"
    );
    let broken = (oversize > 0 || !trouble) && (begun == 0 || lost > 0);
    end(&lab, i32::from(broken), &why)
}

/// The leader stands still just as a machine has been idle for long enough to be returned, while the cloud's interface
/// is down. Another controller leads and starts a service on that machine; the cloud's interface is back. Does the old
/// leader, once it goes on, return the machine?
fn stale_return(trouble: bool, root: &Path, record: &Path) -> i32 {
    let lab = Lab::start(Site::herbstzeit(vec![("gams", "mur", false, 1)]), root, record);
    if !lab.wait(15.0, || lab.leader().is_some()) {
        return end(&lab, 2, "no leader");
    }
    let photos = job("wk-000001", "photocheck", "partnerteam", "sweep", vec![
        ("vcpus", num(2.0)),
        ("memoryGb", num(1.9)),
        ("expectedS", num(4.0)),
    ]);
    let web = job("wk-000002", "memberweb", "partnerteam", "standing", vec![
        ("vcpus", num(2.0)),
        ("memoryGb", num(3.4)),
    ]);
    let first = |kind: &str, task: &str| {
        lab.events.lock().unwrap().iter().find(|e| e.kind == kind && e.task == task).map(|e| e.at)
    };
    if !lab.submit(0, &photos, 4.0) {
        return end(&lab, 2, "not accepted");
    }
    if !lab.wait(20.0, || !lab.cloud.lock().unwrap().machines.is_empty()) {
        return end(&lab, 2, "no machine was rented");
    }
    let rented = lab.now();
    if !lab.wait(20.0, || first("done", "wk-000001/0").is_some()) {
        return end(&lab, 2, "the first job did not end");
    }
    lab.sleep_until(rented + 50.0);
    if trouble {
        lab.set_cloud_down(true);
    }
    // A machine costs 60 s at least; from then on an idle one is returned.
    lab.sleep_until(rented + if trouble { 60.2 } else { 55.0 });
    let Some(old) = lab.leader() else {
        return end(&lab, 2, "no leader");
    };
    let stopped = lab.now();
    if trouble {
        lab.signal_node(old, "STOP");
        if !lab.wait(12.0, || lab.leads_besides(old).is_some()) {
            return end(&lab, 2, "no other leader");
        }
        lab.rec(format!("deckhand-{} leads", lab.leads_besides(old).unwrap_or(old)));
        lab.set_cloud_down(false);
    }
    if !lab.submit((old + 1) % 3, &web, 0.0) {
        return end(&lab, 2, "not accepted");
    }
    if !lab.wait(15.0, || first("started", "wk-000002/0").is_some()) {
        return end(&lab, 2, "the service did not start");
    }
    std::thread::sleep(Duration::from_millis(500));
    let went_on = lab.now();
    if trouble {
        lab.signal_node(old, "CONT");
    }
    std::thread::sleep(Duration::from_secs(10));
    match first("gone", "wk-000002/0") {
        Some(at) => {
            let why = format!(
                "deckhand-{old} stood still for {:.1} s; {:.3} s after it went on, the machine on which the new leader runs wk-000002/0 was returned to the cloud",
                went_on - stopped,
                at - went_on
            );
            end(&lab, 1, &why)
        }
        None => end(&lab, 0, "the service runs on"),
    }
}
