/** Timing constants shared by entries and the coordinator, in milliseconds. */

/** How long an entry may start attempts after it sent a report. */
export const PERMIT_LEASE_MS = 2_000;
/** Interval between reports of an entry that has nothing to report. */
export const REPORT_INTERVAL_MS = 400;
/**
 * Interval between reports of an entry that holds permits. It is shorter
 * because the entry must learn soon when to return permits.
 */
export const REPORT_INTERVAL_WITH_PERMITS_MS = 100;
/** Minimum interval between reports, which limits their rate under load. */
export const MIN_REPORT_INTERVAL_MS = 4;
/** Timeout for the reply to a report. */
export const REPORT_TIMEOUT_MS = 400;
/** How long a reporter collects changes before it sends a report. */
export const REPORT_BATCH_MS = 2;
/** Delay after a failed report. */
export const REPORT_RETRY_MS = 50;
/** How long after its arrival a permit may be reused for further requests. */
export const REUSE_WINDOW_MS = 1_500;
/** How long an entry keeps a permit for which no request waits. */
export const IDLE_PERMIT_TIMEOUT_MS = 30;
/** Maximum delay between an entry's last check and the start of the attempt. */
export const MAX_START_DELAY_MS = 500;
/** Maximum time that an announcement takes to reach an entry. */
export const MAX_ANNOUNCEMENT_DELAY_MS = 500;
/** Maximum time that a leader stays confirmed after a quorum's last answer. */
export const MAX_LEADER_CONFIRMATION_MS = 2_000;
/** Interval between checks for expired leases. */
export const SWEEP_INTERVAL_MS = 100;
