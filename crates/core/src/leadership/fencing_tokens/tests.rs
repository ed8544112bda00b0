use super::*;

/// Claims of a version that reserves one token for each epoch mix with those of this version.
#[test]
fn no_two_terms_share_a_token_and_each_epoch_is_the_highest_of_its_term() {
    let first = TokenRange::after(Epoch(0));
    let bumped = first.extended_to(TokenRange::after(first.epoch()).epoch());
    assert_eq!(
        (bumped.first, bumped.last.next()),
        (first.first, TokenRange::after(bumped.epoch()).first)
    );
    let of_production = Epoch(bumped.epoch().0 + 1);
    let next = TokenRange::after(of_production);
    assert!(next.first > of_production.highest_token());
    assert_eq!(next.epoch().highest_token(), next.last);
    assert_eq!(next.clamp(bumped.last), next.first);
    assert_eq!(next.clamp(next.last.next()), next.last);
}
