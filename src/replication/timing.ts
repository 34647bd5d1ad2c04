/** Timeouts, intervals and size limits of the replication. */

/** Longest time for which the leader holds a pull with nothing to report (ms). */
export const MAX_PULL_WAIT_MS = 500;
/** Timeout of a pull from the followed leader, in milliseconds. */
export const PULL_TIMEOUT_MS = 1_200;
/** Timeout of a pull from an entry that may be the leader, in milliseconds. */
export const DISCOVERY_TIMEOUT_MS = 700;
/** Delay before a failed pull or proposal is retried, in milliseconds. */
export const RETRY_DELAY_MS = 50;
/** Delay before a retry after the local disk rejected a write, in milliseconds. */
export const DISK_RETRY_DELAY_MS = 500;

/** Shortest time without a leader after which a voter votes, in milliseconds. */
export const MIN_ELECTION_TIMEOUT_MS = 1_000;
/** Upper limit of the random part of the election timeout, in milliseconds. */
export const ELECTION_JITTER_MS = 600;
/** Timeout of a vote request, in milliseconds. */
export const VOTE_TIMEOUT_MS = 300;
/** Time after a granted vote in which the voter grants no other, in milliseconds. */
export const VOTE_GRACE_MS = 300;
/** Upper limit of the random delay between two elections, in milliseconds. */
export const MAX_ELECTION_RETRY_DELAY_MS = 250;
/**
 * Time in which an entry starts no election after it resigned because of a
 * planned stop, in milliseconds.
 */
export const RESIGNATION_COOLDOWN_MS = 10_000;
/**
 * Time in which an entry starts no election after its disk rejected a write, in
 * milliseconds. It exceeds the longest election timeout, so that a voter whose
 * disk works is elected first.
 */
export const DISK_COOLDOWN_MS = 2_000;

/**
 * Leader lease: how long a leader is certainly the only one after a quorum
 * confirmed it, in milliseconds. Voters that confirmed a leader do not vote for
 * {@link MIN_ELECTION_TIMEOUT_MS}; the difference is a margin for clocks that run
 * at different speeds.
 */
export const LEADER_LEASE_MS = 900;
/** Time without confirmation by a quorum until a leader steps down (ms). */
export const QUORUM_LOSS_TIMEOUT_MS = 1_500;
/** How often the leader checks its quorum and its members, in milliseconds. */
export const LEADER_CHECK_INTERVAL_MS = 250;
/**
 * Freshness lease: how long an entry guarantees that its configuration is
 * current, counted from its request to the leader, in milliseconds.
 */
export const FRESHNESS_LEASE_MS = 2_000;
/**
 * Remaining freshness lease below which an entry requests confirmation at once,
 * in milliseconds.
 */
export const LEASE_RENEWAL_THRESHOLD_MS = 400;

/** Timeout of a proposal, in milliseconds. */
export const PROPOSE_TIMEOUT_MS = 5_000;
/** Timeout of a call that carries no proposal, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_000;
/** The term in which a new deployment is bootstrapped. */
export const FIRST_TERM = 1;
/** Interval between attempts to bootstrap a new deployment, in milliseconds. */
export const BOOTSTRAP_INTERVAL_MS = 200;

/** Highest number of log entries in one append or one response to a pull. */
export const MAX_BATCH_COUNT = 500;
/**
 * Estimated size above which an append or a pull response takes no further log
 * entry, in bytes.
 */
export const MAX_BATCH_BYTES = 1_024 * 1_024;
/** Number of applied log entries after which a snapshot is saved. */
export const SNAPSHOT_INTERVAL_COUNT = 5_000;
/**
 * Estimated size of applied log entries after which a snapshot is saved, in
 * bytes. The log and a snapshot that is being replaced must fit into the memory
 * of a small voter, and several times on its disk.
 */
export const SNAPSHOT_INTERVAL_BYTES = 8 * 1_024 * 1_024;
/**
 * Number of log entries that stay in memory although a snapshot covers them, for
 * followers that lag slightly.
 */
export const TRAILING_ENTRY_COUNT = 500;
/** Highest estimated size of these log entries together, in bytes. */
export const MAX_TRAILING_BYTES = 2 * 1_024 * 1_024;
/** Highest number of values in one part of a transferred snapshot. */
export const MAX_SNAPSHOT_PART_ITEMS = 1_000;
/**
 * Estimated size above which a part of a transferred snapshot takes no further
 * value, in bytes; well below the largest frame between entries.
 */
export const MAX_SNAPSHOT_PART_BYTES = 256 * 1_024;
/** Log entries by which a learner may lag when it becomes a voter. */
export const MAX_PROMOTION_LAG = 10;
/** Time after its last pull during which an entry counts as running (ms). */
export const RECENT_PULL_MS = 1_500;
/**
 * Time without a pull after which a voter counts as silent, in milliseconds:
 * twice the longest time for which the leader holds a pull.
 */
export const SILENT_VOTER_MS = 2 * MAX_PULL_WAIT_MS;
/**
 * Time without a pull after which a voter is removed where a learner takes its
 * place or the others need a smaller quorum, in milliseconds. Until then it counts
 * as running.
 */
export const LOST_VOTER_TIMEOUT_MS = RECENT_PULL_MS;
/**
 * Time without a pull after which a voter counts as gone for good, in
 * milliseconds. It is longer than the outages of zones that voters return from.
 */
export const GONE_VOTER_TIMEOUT_MS = 20_000;
/** Number of voters below which none is removed without a replacement. */
export const MIN_VOTER_COUNT = 3;
/** Number of recent pulls that the leader remembers for each follower. */
export const MAX_KEPT_PULLS = 16;
/** Number of results of forwarded proposals that the leader remembers. */
export const MAX_KEPT_PROPOSALS = 5_000;
