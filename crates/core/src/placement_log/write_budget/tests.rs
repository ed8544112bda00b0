use super::*;

/// Guards against starvation of cascade cancellations: their records are written several to a transaction, and never
/// got enough writes for one because segments took each write as soon as there was one.
#[test]
fn segments_and_cancellations_share_the_writes_when_both_wait() {
    let writes_per_s = 12.6;
    let mut budget = WriteBudget::default();
    let (mut segments, mut cancellations) = (0.0, 0.0);
    for tick in 0..1_000 {
        let now = Time(1_000_000 + tick * 20);
        if budget.take_for_segments(1, writes_per_s, now) {
            segments += 1.0;
        }
        cancellations += budget.take_for_cancellations(6, false, writes_per_s, now) as f64;
    }
    let all = segments + cancellations;
    assert!(all >= 0.9 * 20.0 * writes_per_s, "{all} writes");
    assert!(segments >= 0.4 * all, "{segments} segments");
    assert!(cancellations >= 0.4 * all, "{cancellations} cancellations");
}
