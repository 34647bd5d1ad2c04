/** How long a look at a runner waits, and when it counts as unanswered. */
import {
  CLOSING_POLL_WAIT_MS,
  MIN_POLL_TIMEOUT_MS,
  POLL_TIMEOUT_MS,
  POLL_WAIT_MS,
} from "./timing.ts";

/** What is known of a runner before a look. */
export interface PollContext {
  readonly isBusy: boolean;
  /** Whether its newest order was answered. */
  readonly isAnswering: boolean;
  /** Whether a stop waits to be confirmed by a look. */
  readonly isClosing: boolean;
  /** Time until every lease has certainly ended, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** Times of one look. */
export interface PollTimes {
  /** How long the runner may wait for a run to end, in milliseconds. */
  readonly waitMs: number;
  /** Time after which the look counts as unanswered, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Chooses the times of a look. A silent runner is asked for a sign of life only,
 * until its leases end and no longer.
 *
 * @param context - What is known of the runner.
 * @returns The times.
 */
export function choosePollTimes(context: PollContext): PollTimes {
  const { isBusy, isAnswering, isClosing, leaseLeftMs } = context;
  if (!isAnswering) {
    const leftMs = Math.max(MIN_POLL_TIMEOUT_MS, Math.ceil(leaseLeftMs));
    return { waitMs: 0, timeoutMs: Math.min(POLL_TIMEOUT_MS, leftMs) };
  }
  const busyWaitMs = isClosing ? CLOSING_POLL_WAIT_MS : POLL_WAIT_MS;
  const waitMs = isBusy ? busyWaitMs : 0;
  return { waitMs, timeoutMs: waitMs + POLL_TIMEOUT_MS };
}
