use super::*;

/// A user's call that can't be sent in time must be refused at once, not queued without bound.
#[test]
fn users_calls_do_not_pile_up() {
    let mut calls = StoreCalls::new(5.0);
    let mut queued = 0;
    while !calls.is_behind() {
        calls.enqueue(
            CallPriority::User,
            StoreCall::Get("pub/job/wk-1".into()),
            (),
        );
        queued += 1;
    }
    assert_eq!(queued, 6);
    let mut out = Vec::new();
    calls.send_due(Time(2_000), &mut out);
    assert!(!out.is_empty() && !calls.is_behind());
}

/// Guards against starvation of the leader: with more user requests than calls that it may make, it never finished
/// reading its placement log.
#[test]
fn neither_users_nor_the_leader_wait_for_ever() {
    let mut calls = StoreCalls::new(10.0);
    let mut out = Vec::new();
    let key = |s: &str| StoreCall::Get(s.into());
    calls.enqueue(CallPriority::Leader, key("book/1"), "placements");
    for second in 1..4u64 {
        for _ in 0..20 {
            calls.enqueue(CallPriority::User, key("pub/job/wk-1"), "user");
        }
        calls.send_due(Time(second * 1_000), &mut out);
        let ids: Vec<CallId> = calls.open.keys().copied().collect();
        for id in ids {
            calls.complete(id);
        }
    }
    let sent_calls = |name: &str| {
        let matches_name =
            |o: &&Output| matches!(o, Output::Store(_, StoreCall::Get(k)) if k.starts_with(name));
        out.iter().filter(matches_name).count()
    };
    assert_eq!((sent_calls("book/"), sent_calls("pub/") > 8), (1, true));
}
