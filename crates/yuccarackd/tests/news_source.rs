//! Up to where a daemon takes the store's tables for known.

use yuccarackd::{
    protocol::peer_update::SyncedRevisions,
    state::routed::update_source::{FollowedTable, SyncState, UpdateSource},
};

/// Story: a relay tells of a large routing table by its version only, and the store turns the daemon
/// away that would read it. Once the store is back, the daemon must ask from before that table on.
#[test]
fn a_table_that_was_only_told_of_is_not_taken_for_known() {
    let news = SyncState::new();
    news.set_synced_up_to(FollowedTable::Routing, Some(3));
    news.set_synced_up_to(FollowedTable::Members, Some(3));
    news.note_relay_synced(SyncedRevisions { routing: 9, members: 9 }, false);
    assert_eq!(news.synced_up_to(FollowedTable::Routing), Some(3));
    assert_eq!(news.synced_up_to(FollowedTable::Members), Some(9));
    news.note_relay_synced(SyncedRevisions { routing: 9, members: 9 }, true);
    assert_eq!(news.synced_up_to(FollowedTable::Routing), Some(9));
}

/// Story: a daemon changes from one relay to another that lags. It keeps what it knows.
#[test]
fn a_relay_that_lags_takes_nothing_back() {
    let news = SyncState::new();
    news.note_relay_synced(SyncedRevisions { routing: 9, members: 9 }, true);
    news.note_relay_synced(SyncedRevisions { routing: 5, members: 5 }, true);
    assert_eq!(news.synced_up_to(FollowedTable::Routing), Some(9));
    assert_eq!(news.synced_up_to(FollowedTable::Members), Some(9));
}

/// Story: two daemons that are told by each other would go on for good with what both had last.
#[test]
fn only_who_hears_the_store_tells_others() {
    let news = SyncState::new();
    news.note_relay_synced(SyncedRevisions { routing: 1, members: 1 }, true);
    for (source, queries_store, tells) in [
        (UpdateSource::Store, true, true),
        (UpdateSource::Store, false, false),
        (UpdateSource::Relay, false, false),
        (UpdateSource::Relay, true, false),
        (UpdateSource::Unassigned, true, false),
    ] {
        news.set_source(source);
        news.set_queries_store(queries_store);
        assert_eq!(news.synced_for_relay().is_some(), tells, "{source:?}, asks: {queries_store}");
    }
    news.set_source(UpdateSource::Store);
    news.set_queries_store(true);
    news.set_synced_up_to(FollowedTable::Members, None);
    assert!(news.synced_for_relay().is_none(), "a table that has to be read whole");
}
