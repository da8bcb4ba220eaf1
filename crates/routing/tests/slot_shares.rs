//! Which share a slot belongs to.

use std::net::SocketAddr;

use arbtest::arbtest;
use jasminebend_routing::slot_share;

// Daemons of two versions run side by side. Were the hash to change, both could count the same slot
// to a share of their own.
#[test]
fn the_shares_never_change() {
    let address: SocketAddr = "10.1.2.3:8080".parse().unwrap();
    let shares: Vec<_> = (0..8).map(|slot| slot_share(address, slot, 70)).collect();
    assert_eq!(shares, [43, 16, 59, 32, 5, 48, 21, 64]);
}

#[test]
fn no_share_has_two_slots_of_an_endpoint() {
    arbtest(|source| {
        let address = SocketAddr::from((source.arbitrary::<[u8; 4]>()?, source.arbitrary()?));
        let shares = source.int_in_range(8..=500)?;
        let own: Vec<_> = (0..8)
            .map(|slot| slot_share(address, slot, shares))
            .collect();
        assert!(own.iter().all(|share| *share < shares));
        for (place, share) in own.iter().enumerate() {
            assert!(!own[..place].contains(share), "{own:?} of {shares}");
        }
        Ok(())
    });
}

// 65 endpoints of 8 slots and 70 shares: a share with far more slots than others would leave its
// holder with most of the work.
#[test]
fn the_slots_are_spread_over_all_shares() {
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
