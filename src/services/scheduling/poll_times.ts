/** Chooses how long a poll of a runner waits and when it times out. */
import { formatTaskId, type RunningTask } from "../../domain/index.ts";
import type { RunnerStatus } from "./runner_status.ts";
import {
  CLOSING_POLL_WAIT_MS,
  MIN_POLL_TIMEOUT_MS,
  POLL_TIMEOUT_MS,
  POLL_WAIT_MS,
  STARTUP_WATCH_MS,
} from "./timing.ts";

const FULL_PERCENT = 100;

/** State of a runner before a poll. */
export interface PollContext {
  /** Whether runs are placed on it. */
  readonly isBusy: boolean;
  /** Whether its newest request was answered. */
  readonly isAnswering: boolean;
  /** Whether a stop or an unanswered start has yet to be shown by a poll. */
  readonly awaitsReport: boolean;
  /** Whether a long-running task is about to reach full work. */
  readonly awaitsStartup: boolean;
  /** Time until every lease has certainly expired, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** Times of one poll. */
export interface PollTimes {
  /** How long the runner may delay its answer until a run ends (ms). */
  readonly waitMs: number;
  /** Time after which the poll counts as unanswered, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Chooses the times of a poll. A runner that does not respond is asked to
 * answer at once, and the poll times out no later than its leases expire, so
 * that its work can be placed elsewhere then.
 *
 * @param context - State of the runner.
 * @returns The times.
 */
export function choosePollTimes(context: PollContext): PollTimes {
  const { isBusy, isAnswering, awaitsReport, awaitsStartup, leaseLeftMs } =
    context;
  if (!isAnswering) {
    const leftMs = Math.max(MIN_POLL_TIMEOUT_MS, Math.ceil(leaseLeftMs));
    return { waitMs: 0, timeoutMs: Math.min(POLL_TIMEOUT_MS, leftMs) };
  }
  const busyWaitMs = awaitsReport || awaitsStartup
    ? CLOSING_POLL_WAIT_MS
    : POLL_WAIT_MS;
  const waitMs = isBusy ? busyWaitMs : 0;
  return { waitMs, timeoutMs: waitMs + POLL_TIMEOUT_MS };
}

/**
 * Tells whether a long-running task with a limit of unavailable ones has started
 * and is not at full work yet. Maintenance may have to wait for it.
 *
 * @param runs - The runs on the runner.
 * @param status - Progress of the runs.
 * @param nowMs - Wall-clock time (ms).
 */
export function awaitsStartup(
  runs: Iterable<RunningTask>,
  status: Pick<RunnerStatus, "findPercent">,
  nowMs: number,
): boolean {
  return [...runs].some(({ id, startedAtMs, step }) =>
    step.isEndless && step.maxAwayCount !== undefined &&
    Math.abs(nowMs - startedAtMs) < STARTUP_WATCH_MS &&
    status.findPercent(formatTaskId(id)) < FULL_PERCENT
  );
}
