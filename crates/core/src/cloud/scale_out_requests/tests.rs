use super::*;

const EPOCH: Epoch = Epoch(3);
const NOW: Time = Time(1_000_000);

fn offer(zone: &str) -> InstanceOffer {
    InstanceOffer {
        machine_type: "m4".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn wanted(count: u32) -> WantedMachines {
    WantedMachines {
        is_urgent: false,
        count,
    }
}

/// Creates open requests for machines of one offer.
fn with_request(offer: &InstanceOffer, count: u32) -> ScaleOutRequests {
    let mut requests = ScaleOutRequests::default();
    requests.request(BTreeMap::from([(offer.clone(), wanted(count))]), 5, EPOCH);
    requests
}

#[test]
fn urgent_offers_are_requested_first_and_then_those_with_the_most_machines() {
    let mut requests = ScaleOutRequests::default();
    let urgent = WantedMachines {
        is_urgent: true,
        count: 1,
    };
    let by_offer = [
        (offer("a"), wanted(2)),
        (offer("b"), wanted(9)),
        (offer("c"), urgent),
    ];
    requests.request(BTreeMap::from(by_offer), 2, EPOCH);
    let zones: Vec<&str> = (requests.open_requests().iter())
        .map(|request| request.zone.as_str())
        .collect();
    assert_eq!(zones, ["c", "b"]);
}

#[test]
fn nothing_is_requested_while_several_requests_are_open() {
    let mut requests = with_request(&offer("a"), 2 * MAX_MACHINES_PER_SCALE_OUT);
    assert_eq!(requests.open_requests().len(), 2);
    requests.request(BTreeMap::from([(offer("b"), wanted(1))]), 5, EPOCH);
    assert_eq!(requests.open_requests().len(), 2);
}

#[test]
fn request_ids_are_never_reused() {
    let mut ids = std::collections::BTreeSet::new();
    let mut requests = ScaleOutRequests::default();
    for round in 0..20 {
        requests.request(BTreeMap::from([(offer("a"), wanted(1))]), 5, EPOCH);
        let request = requests.open_requests()[0].clone();
        assert!(ids.insert(request.request.clone()), "round {round}");
        requests.fulfil(&request, 1, NOW);
    }
}

#[test]
fn refused_offer_is_not_requested_before_its_backoff_which_doubles_up_to_a_bound() {
    let offer = offer("a");
    let mut now = NOW;
    let mut requests = ScaleOutRequests::default();
    for backoff_ms in [4_000, 8_000, 16_000, 32_000, 32_000] {
        requests.request(BTreeMap::from([(offer.clone(), wanted(1))]), 5, EPOCH);
        let request = requests.open_requests()[0].clone();
        requests.refuse(&request, now);
        assert!(requests.open_requests().is_empty());
        let until = now + Span(backoff_ms);
        assert!(!requests.may_request(&offer, Time(until.0 - 1)));
        assert!(requests.may_request(&offer, until));
        now = until;
    }
}

#[test]
fn request_that_is_fulfilled_in_part_counts_as_refused() {
    let offer = offer("a");
    let mut requests = with_request(&offer, 3);
    let request = requests.open_requests()[0].clone();
    requests.fulfil(&request, 2, NOW);
    assert!(requests.open_requests().is_empty());
    assert!(!requests.may_request(&offer, NOW));
    requests.forget_refusal(&offer);
    assert!(requests.may_request(&offer, NOW));
}
