/** Limits how many requests wait, and how long. */
import type { TeamBacklog } from "./team_backlog.ts";

const DEFAULT_MAX_WAITING_COUNT = 1_000;
const MAX_UNESTIMATED_COUNT = 64;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 10_000;

/** A request that would join a backlog. */
export interface WaitRequest {
  /** Backlog of the request's team on its queue. */
  readonly backlog: TeamBacklog;
  /** Requests that wait on this entry, in all backlogs. */
  readonly totalWaitingCount: number;
  /** Maximum wait that the queue allows, in milliseconds. */
  readonly maxWaitMs: number;
  /** Time until the caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Refusal to let a request wait, with its reason and figures. */
export interface WaitRefusal {
  readonly reason: "tooLong" | "tooMany" | "tooLate";
  readonly waitingCount: number;
  /** Estimated wait, in milliseconds; undefined when it cannot be estimated. */
  readonly estimatedWaitMs: number | undefined;
  /** Time after which a repeated request may succeed, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Decides which requests may wait. */
export interface OverloadPolicy {
  /**
   * Decides whether a request may begin to wait.
   *
   * @param request - The backlog, and how long the request can wait.
   * @returns The refusal, or undefined when it may wait.
   */
  findRefusal(request: WaitRequest): WaitRefusal | undefined;
  /**
   * Decides how long a request may wait.
   *
   * @param request - The backlog, and how long the request can wait.
   * @returns Time after which its work should no longer start, in milliseconds.
   */
  findWaitMs(request: WaitRequest): number;
}

/** Options of the overload policies. */
export interface OverloadPolicyOptions {
  /** Maximum number of waiting requests on this entry, in all backlogs. */
  readonly maxWaitingCount?: number;
}

/**
 * Lets a request wait when the estimated wait fits the queue's limit and the
 * caller's deadline. The first request of a backlog may always wait, however
 * many requests other backlogs hold.
 */
export class WaitTimePolicy implements OverloadPolicy {
  readonly #maxWaitingCount: number;

  constructor(options: OverloadPolicyOptions = {}) {
    this.#maxWaitingCount = options.maxWaitingCount ??
      DEFAULT_MAX_WAITING_COUNT;
  }

  findRefusal(request: WaitRequest): WaitRefusal | undefined {
    const { backlog, nowMs } = request;
    const waitMs = this.findWaitMs(request);
    if (waitMs <= 0) {
      return createRefusal(request, "tooLate", undefined, 0);
    }
    if (backlog.waitingCount === 0) {
      return undefined;
    }
    const estimatedWaitMs = backlog.estimateWaitMs(nowMs);
    const isTooMany = request.totalWaitingCount >= this.#maxWaitingCount ||
      (estimatedWaitMs === undefined &&
        backlog.waitingCount >= MAX_UNESTIMATED_COUNT);
    if (isTooMany) {
      return createRefusal(request, "tooMany", estimatedWaitMs, waitMs);
    }
    return estimatedWaitMs !== undefined && estimatedWaitMs > waitMs
      ? createRefusal(request, "tooLong", estimatedWaitMs, waitMs)
      : undefined;
  }

  // Work that starts too late to end before the deadline would be wasted.
  findWaitMs({ backlog, maxWaitMs, deadlineMs }: WaitRequest): number {
    return Math.min(maxWaitMs, deadlineMs - backlog.lowRunMs);
  }
}

/** Baseline: limits only the number of waiting requests. */
export class QueueLengthPolicy implements OverloadPolicy {
  readonly #maxWaitingCount: number;

  constructor(options: OverloadPolicyOptions = {}) {
    this.#maxWaitingCount = options.maxWaitingCount ??
      DEFAULT_MAX_WAITING_COUNT;
  }

  findRefusal(request: WaitRequest): WaitRefusal | undefined {
    return request.totalWaitingCount >= this.#maxWaitingCount
      ? createRefusal(request, "tooMany", undefined, 0)
      : undefined;
  }

  findWaitMs({ deadlineMs }: WaitRequest): number {
    return deadlineMs;
  }
}

function createRefusal(
  request: WaitRequest,
  reason: WaitRefusal["reason"],
  estimatedWaitMs: number | undefined,
  waitMs: number,
): WaitRefusal {
  const excessMs = (estimatedWaitMs ?? 0) - waitMs;
  return {
    reason,
    waitingCount: request.backlog.waitingCount,
    estimatedWaitMs,
    retryAfterMs: Math.min(
      Math.max(excessMs, MIN_RETRY_AFTER_MS),
      MAX_RETRY_AFTER_MS,
    ),
  };
}
