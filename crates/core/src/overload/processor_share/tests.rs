use super::*;
use crate::testing::settings;
use rudderreel_wire::settings::PlatformLimits;

fn with_share(cpu_share: Option<f64>) -> ProcessorShare {
    let mut settings = settings();
    settings.params.limits = Some(PlatformLimits {
        cpu_share,
        memory_mb: None,
        fd_limit: 0,
    });
    ProcessorShare::of(&settings)
}

/// Nodes with a sufficient share use the intervals and rates as they are written.
#[test]
fn intervals_are_unchanged_on_nodes_with_enough_processor() {
    for share in [None, Some(0.064), Some(0.21), Some(64.0)] {
        assert_eq!(with_share(share).stretched(Span(80)), Span(80), "{share:?}");
        assert_eq!(with_share(share).slowed(50.0), 50.0, "{share:?}");
    }
    assert_eq!(ProcessorShare::of(&settings()), with_share(None));
}

/// With half the share of a processor a node does costly work half as often.
#[test]
fn intervals_are_stretched_on_nodes_with_less() {
    let half = with_share(Some(0.032));
    assert_eq!(half.stretched(Span(80)), Span(160));
    assert_eq!(half.slowed(50.0), 25.0);
    let tiny = with_share(Some(0.000_1));
    assert_eq!(tiny.stretched(Span(80)), Span(320));
}
