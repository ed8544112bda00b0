use super::*;

fn queued(calls: usize, calls_per_s: f64) -> CloudCalls {
    let mut cloud = CloudCalls::new(calls_per_s);
    (0..calls).for_each(|_| cloud.enqueue(PendingCloudCall::Catalog));
    cloud
}

/// Sends queued calls at time `now` and answers them at once; returns their number.
fn send_and_answer(cloud: &mut CloudCalls, now: Time) -> usize {
    let mut out = Vec::new();
    cloud.send_queued(now, &mut out);
    for output in &out {
        if let Output::Cloud(id, _) = output {
            assert!(cloud.take_answered(*id).is_some());
        }
    }
    out.len()
}

#[test]
fn calls_keep_to_the_rate_limit_after_a_burst() {
    let mut cloud = queued(1_000, 4.0);
    let (mut now, mut sent) = (Time(0), 0);
    while now < Time(10_000) {
        sent += send_and_answer(&mut cloud, now);
        now = now + Span(100);
        // A burst has as many calls as two seconds at the rate limit, less one.
        let max_sent = 7.0 + (now - Time(0)).as_secs() * 4.0;
        assert!(sent as f64 <= max_sent, "{sent} calls by {now:?}");
    }
    assert!(sent >= 40, "{sent} calls in ten seconds");
}

#[test]
fn few_calls_are_open_at_a_time() {
    let mut cloud = queued(10, 100.0);
    let mut out = Vec::new();
    cloud.send_queued(Time(0), &mut out);
    assert_eq!(out.len(), MAX_OPEN_CALLS);
    assert!(cloud.take_answered(CallId(1)).is_some());
    assert!(cloud.take_answered(CallId(1)).is_none());
    cloud.send_queued(Time(0), &mut out);
    assert_eq!(out.len(), MAX_OPEN_CALLS + 1);
}

#[test]
fn no_calls_are_made_during_a_pause() {
    let mut cloud = queued(1, 4.0);
    cloud.pause_until(Time(700));
    cloud.pause_until(Time(100));
    assert_eq!(send_and_answer(&mut cloud, Time(699)), 0);
    assert_eq!(send_and_answer(&mut cloud, Time(700)), 1);
}
