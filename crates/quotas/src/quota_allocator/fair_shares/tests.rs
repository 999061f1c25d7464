use super::*;

/// Shares use the whole rate, never exceed it, and do not starve small demands in favour of large ones.
#[test]
fn shares_are_max_min_fair() {
    let shares_of = |rate: f64, demands: &[f64]| {
        let shares = max_min_fair_shares(Timestamp(0), rate, demands.iter().copied());
        demands.iter().map(|demand| (shares.share_of(*demand) * 10.0).round() / 10.0).collect::<Vec<f64>>()
    };
    assert_eq!(shares_of(100.0, &[10.0, 200.0, 200.0]), [10.0, 45.0, 45.0]);
    assert_eq!(shares_of(100.0, &[300.0, 5.0]), [95.0, 5.0]);
    assert_eq!(shares_of(100.0, &[20.0, 40.0]), [40.0, 60.0]);
    assert_eq!(shares_of(9.0, &[3.0, 3.0, 3.0]), [3.0, 3.0, 3.0]);
    assert_eq!(shares_of(8.0, &[0.0, 0.0]), [4.0, 4.0]);
}
