//! Limits of connections that leave descriptors to the daemon's own calls.

use jasminebend::LimitSettings;

/// Guards against a daemon that reaches neither the table nor its endpoints, because clients hold all files that it may open.
#[test]
fn limits_leave_descriptors_for_own_calls() {
    for descriptors in [16, 256, 1024, 4096] {
        let limits = LimitSettings::default().within_descriptors(descriptors);
        let accepted = limits.caller_connections
            + limits.peer_connections
            + 2 * limits.administration_connections;
        assert!(accepted <= descriptors * 3 / 4, "{limits:?}");
        assert!(limits.caller_connections >= descriptors / 2);
    }
}

/// Guards against limits that are lowered although there are descriptors for them.
#[test]
fn limits_stay_with_the_documented_number_of_descriptors() {
    let limits = LimitSettings::default();
    assert_eq!(
        limits.within_descriptors(2 * limits.caller_connections),
        limits
    );
}
