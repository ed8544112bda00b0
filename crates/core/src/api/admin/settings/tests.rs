use super::*;
use crate::testing::settings;

fn platform() -> TeamTree {
    TeamTree::from_limits(&settings().params.teams)
}

#[test]
fn the_first_setting_out_of_range_is_named_with_its_bounds() {
    let mut changed = AdminSettings {
        period_s: f64::NAN,
        reserve_factor: -1.0,
        ..AdminSettings::default()
    };
    let error = check(&changed, &platform()).expect_err("not a number");
    assert_eq!(error.to_string(), "period_s: must be from 0.1 to 60");
    changed.period_s = 2.0;
    let error = check(&changed, &platform()).expect_err("too low");
    assert_eq!(error.to_string(), "reserve_factor: must be from 0 to 100");
    changed.reserve_factor = 1.0;
    changed.spread_reports_from = 2e6;
    let error = check(&changed, &platform()).expect_err("too high");
    let text = "spread_reports_from: must be from 0 to 1000000";
    assert_eq!(error.to_string(), text);
}

#[test]
fn default_settings_leave_the_platforms_teams_as_they_are() {
    let tree = check(&AdminSettings::default(), &platform());
    assert_eq!(tree.expect("a tree"), platform());
}
