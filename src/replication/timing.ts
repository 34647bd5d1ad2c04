/** Times and sizes of the replication. */

/** How long the leader holds back an empty answer to a pull, in milliseconds. */
export const MAX_PULL_WAIT_MS = 500;
/** Time after which a pull from the leader has failed, in milliseconds. */
export const PULL_TIMEOUT_MS = 1_200;
/** Time after which a pull from an entry that may lead has failed, in milliseconds. */
export const DISCOVERY_TIMEOUT_MS = 700;
/** Pause after a failed pull, in milliseconds. */
export const RETRY_DELAY_MS = 50;
/** Pause after the local disk refused entries, in milliseconds. */
export const DISK_RETRY_DELAY_MS = 500;

/** Time without a leader before which no voter votes, in milliseconds. */
export const MIN_ELECTION_TIMEOUT_MS = 1_000;
/** Random part of the election timeout, in milliseconds. */
export const ELECTION_JITTER_MS = 600;
/** Time for the answers to a vote request, in milliseconds. */
export const VOTE_TIMEOUT_MS = 300;
/** Time after a granted vote in which a voter grants no other, in milliseconds. */
export const VOTE_GRACE_MS = 300;
/** Longest pause between two attempts to be elected, in milliseconds. */
export const MAX_ELECTION_RETRY_DELAY_MS = 250;
/** Time in which an entry whose disk refused entries does not stand, in milliseconds. */
export const RESIGNATION_COOLDOWN_MS = 10_000;

/**
 * How long a leader counts as the only one after a quorum confirmed it, in
 * milliseconds. Voters that confirmed do not vote for MIN_ELECTION_TIMEOUT_MS;
 * the rest is a margin for clocks that run at different speeds.
 */
export const LEADER_LEASE_MS = 900;
/** Time without confirmation by a quorum after which a leader steps down, in milliseconds. */
export const QUORUM_LOSS_TIMEOUT_MS = 1_500;
/** How often the leader checks its quorum and its members, in milliseconds. */
export const LEADER_CHECK_INTERVAL_MS = 250;
/** How long an entry may vouch for its configuration after it asked, in milliseconds. */
export const FRESHNESS_LEASE_MS = 2_000;
/** An entry whose lease has less than this left asks for a prompt answer, in milliseconds. */
export const LEASE_RENEWAL_THRESHOLD_MS = 400;

/** Time in which a proposal is accepted or given up, in milliseconds. */
export const PROPOSE_TIMEOUT_MS = 5_000;
/** Time for a call that carries no proposal, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_000;
/** Pause between attempts to start a new deployment, in milliseconds. */
export const BOOTSTRAP_INTERVAL_MS = 200;

/** Entries that one append or one answer to a pull carries. */
export const MAX_BATCH_COUNT = 500;
/** Encoded size after which an answer to a pull takes no further entry, in bytes. */
export const MAX_BATCH_BYTES = 1_024 * 1_024;
/** Applied entries after which a snapshot is saved. */
export const SNAPSHOT_INTERVAL_COUNT = 5_000;
/** Entries that stay in memory behind a snapshot, for followers that lag a little. */
export const TRAILING_ENTRY_COUNT = 500;
/** Values of one part of a snapshot on its way to a follower. */
export const MAX_SNAPSHOT_PART_ITEMS = 1_000;
/** Entries by which a learner may lag when it becomes a voter. */
export const MAX_PROMOTION_LAG = 10;
/** Time after its last pull in which a member counts as running, in milliseconds. */
export const RECENT_PULL_MS = 1_500;
/**
 * Silence after which a voter is replaced when another has caught up, in
 * milliseconds: longer than a restart with a full log.
 */
export const LOST_VOTER_TIMEOUT_MS = 8_000;
/** Asks that the leader remembers for each follower. */
export const MAX_KEPT_PULLS = 16;
/** Answers to proposals that the leader remembers. */
export const MAX_KEPT_PROPOSALS = 5_000;
