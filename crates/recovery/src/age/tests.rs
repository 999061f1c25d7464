use super::*;

fn reading(wall_ms: u64, boot_id: &str, since_boot_ms: u64) -> ClockReading {
    ClockReading { wall_ms, boot_id: boot_id.to_string(), since_boot_ms }
}

/// A wall clock that is set back must not make an old list look new, and one that is set ahead must not make
/// a new list useless.
#[test]
fn a_wall_clock_jump_does_not_change_ages_within_one_boot() {
    let persisted = reading(1_000_000, "a", 5_000);
    let ages = [
        reading(1_002_000, "a", 7_000),
        reading(1_002_000 + 3_600_000, "a", 7_000),
        reading(0, "a", 7_000),
        reading(1_002_000, "b", 100),
        reading(900_000, "b", 100),
        reading(1_002_000, "a", 4_000),
        reading(1_002_000, "", 7_000),
    ]
    .map(|now| Age::between(&persisted, &now));
    let two_seconds = Ticks(20_000);
    assert_eq!(ages[..3], [Age::Monotonic(two_seconds); 3]);
    assert_eq!(
        ages[3..],
        [Age::WallClock(two_seconds), Age::Unknown, Age::Unknown, Age::WallClock(two_seconds)]
    );
}
