/** Times that entries and the permit coordinator must agree on. */

/** Time for which an entry may start attempts after it asked, in milliseconds. */
export const PERMIT_LEASE_MS = 2_000;
/** Time between reports of an entry that has nothing new to say. */
export const REPORT_INTERVAL_MS = 400;
/** The same for an entry that holds permits: it must hear when to give back. */
export const REPORT_INTERVAL_WITH_PERMITS_MS = 100;
/** Least time between two reports, so that load does not multiply them. */
export const MIN_REPORT_INTERVAL_MS = 4;
/** Time after which an entry gives up on the answer to a report. */
export const REPORT_TIMEOUT_MS = 400;
/** Time for which news is gathered before a report is sent. */
export const REPORT_BATCH_MS = 2;
/** Pause after a report that failed. */
export const REPORT_RETRY_MS = 50;
/** Time for which a permit is used again before it goes back. */
export const REUSE_WINDOW_MS = 1_500;
/** Time for which an entry keeps a permit that it has no request for. */
export const IDLE_PERMIT_TIMEOUT_MS = 30;
/** Time between an entry's last check and the start at the backend server. */
export const MAX_START_DELAY_MS = 500;
/** Time that an announcement may be on its way to an entry. */
export const MAX_ANNOUNCEMENT_DELAY_MS = 500;
/** Time for which a confirmed leader may outlive its last quorum. */
export const MAX_LEADER_CONFIRMATION_MS = 2_000;
/** Time between two looks for leases that have lapsed. */
export const SWEEP_INTERVAL_MS = 100;
