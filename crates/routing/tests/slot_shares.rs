//! Assignment of slots to slot shares.

use std::net::SocketAddr;

use arbtest::arbtest;
use jasminebend_routing::slot_share;

// Daemons of two versions run at the same time during an upgrade. If the hash differed between them,
// they could assign the same slot to different shares, and both would use it.
#[test]
fn share_assignment_is_stable_across_versions() {
    let address: SocketAddr = "10.1.2.3:8080".parse().unwrap();
    let shares: Vec<_> = (0..8).map(|slot| slot_share(address, slot, 70)).collect();
    assert_eq!(shares, [43, 16, 59, 32, 5, 48, 21, 64]);
}

#[test]
fn slots_of_one_endpoint_are_in_distinct_shares() {
    arbtest(|source| {
        let address = SocketAddr::from((source.arbitrary::<[u8; 4]>()?, source.arbitrary()?));
        let shares = source.int_in_range(8..=500)?;
        let assigned: Vec<_> = (0..8)
            .map(|slot| slot_share(address, slot, shares))
            .collect();
        assert!(assigned.iter().all(|share| *share < shares));
        for (slot, share) in assigned.iter().enumerate() {
            assert!(
                !assigned[..slot].contains(share),
                "{assigned:?} of {shares}"
            );
        }
        Ok(())
    });
}

// With 65 endpoints of 8 slots each and 70 shares, a share has 7.4 slots on average. A share with far
// more slots than the others would give most of the load to the daemon that owns it.
#[test]
fn slots_are_spread_over_all_shares() {
    let mut counts = [0; 70];
    for endpoint in 0..65_u16 {
        let address = SocketAddr::from(([10, 0, 3, 9], 8000 + endpoint));
        (0..8).for_each(|slot| counts[usize::from(slot_share(address, slot, 70))] += 1);
    }
    assert!(
        counts.iter().all(|count| (1..=18).contains(count)),
        "{counts:?}"
    );
}
