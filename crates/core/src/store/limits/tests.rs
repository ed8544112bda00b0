use super::*;
use rudderreel_wire::settings::NextStateLimits;

fn limits(next: Option<NextStateLimits>) -> StoreLimits {
    StoreLimits::of(&StateLimits {
        rps: 250.0,
        write_rps: 25.0,
        value_kb: 32.0,
        txn_ops: 20,
        next,
    })
}

#[test]
fn the_smaller_of_present_and_announced_limits_holds() {
    let present = limits(None);
    assert_eq!(
        (present.max_value_bytes, present.max_operations),
        (32_768, 20)
    );
    assert_eq!(present.max_conditions(), 80);
    let next = NextStateLimits {
        write_rps: Some(18.0),
        value_kb: Some(2.0),
        txn_ops: Some(30),
        rps: None,
    };
    let smaller = limits(Some(next));
    assert_eq!(smaller.max_value_bytes, 2_048);
    assert_eq!(
        smaller.max_operations, 20,
        "a larger announced limit does not count"
    );
    assert_eq!(
        (smaller.requests_per_s, smaller.writes_per_s),
        (250.0, 18.0)
    );
}

#[test]
fn a_value_fits_up_to_the_last_byte() {
    let mut limits = limits(None);
    limits.max_value_bytes = 7;
    assert!(limits.fits(&"12345"));
    assert!(!limits.fits(&"123456"));
}

#[test]
fn halving_stops_at_the_minimums_that_every_record_needs() {
    let mut limits = limits(None);
    (0..40).for_each(|_| limits.halve());
    assert_eq!(limits.max_value_bytes, MIN_VALUE_BYTES);
    assert_eq!(limits.max_operations, MIN_OPERATIONS);
}
