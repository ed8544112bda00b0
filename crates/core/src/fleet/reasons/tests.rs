use super::*;

/// Administrators and their tools depend on these texts, and stops are counted under them.
#[test]
fn the_texts_that_administrators_see_are_fixed() {
    let stops = [
        (StopReason::JobCancelled, "cancelled"),
        (StopReason::JobSuspected, "its job is suspected"),
        (StopReason::JobUnknown, "its job is not known"),
        (StopReason::GangBroken, "gang is broken"),
        (StopReason::NotInPlacementLog, "not in the placement log"),
        (StopReason::Stalled, "stalled"),
        (StopReason::MachineReclaimed, "machine is taken back"),
        (StopReason::MachineReturned, "its machine is returned"),
        (StopReason::Moved, "moved"),
        (StopReason::Reclaimed, "reclaimed"),
        (StopReason::Preempted, "preempted"),
        (StopReason::LostWithMachine, "lost with its machine"),
    ];
    for (reason, text) in stops {
        assert_eq!(reason.to_string(), text);
        assert_eq!(serde_json::json!(reason), serde_json::json!(text));
    }
    let retirements = [
        (RetireReason::Idle, "idle"),
        (RetireReason::NeverCameUp, "never came up"),
        (RetireReason::Failed, "failed"),
        (RetireReason::HoldsCancelledJob, "holds a cancelled job"),
        (RetireReason::BehindPartition, "behind a cut"),
        (RetireReason::DoesNotAnswer, "does not answer"),
        (RetireReason::UnreachableForCommands, "does not hear"),
        (RetireReason::Silent, "silent"),
        (RetireReason::LeaseExpired, "silent for long"),
    ];
    for (reason, text) in retirements {
        assert_eq!(reason.to_string(), text);
        assert_eq!(serde_json::json!(reason), serde_json::json!(text));
    }
}
