/** Bounds how long and how many requests wait. */
import type { TeamBacklog } from "./team_backlog.ts";

const DEFAULT_MAX_WAITING_COUNT = 1_000;
const MAX_UNESTIMATED_COUNT = 64;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 10_000;

/** A request that would begin to wait. */
export interface WaitRequest {
  readonly backlog: TeamBacklog;
  /** Requests that wait on this entry, in all lines. */
  readonly totalWaitingCount: number;
  /** Longest wait that the queue allows, in milliseconds. */
  readonly maxWaitMs: number;
  /** How long the caller still waits, in milliseconds. */
  readonly deadlineMs: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Why a request may not wait. */
export interface WaitRefusal {
  readonly reason: "tooLong" | "tooMany" | "tooLate";
  readonly waitingCount: number;
  /** Undefined when the wait cannot be estimated. */
  readonly estimatedWaitMs: number | undefined;
  /** When a new try may succeed, in milliseconds. */
  readonly retryAfterMs: number;
}

/** A way of deciding who may wait. */
export interface OverloadPolicy {
  /**
   * Decides whether a request may begin to wait.
   *
   * @param request - The line and how long the request can wait.
   * @returns The refusal, or undefined when it may wait.
   */
  findRefusal(request: WaitRequest): WaitRefusal | undefined;
  /**
   * Decides how long a request may wait.
   *
   * @param request - The line and how long the request can wait.
   * @returns Milliseconds after which it is no longer worth starting.
   */
  findWaitMs(request: WaitRequest): number;
}

/** Options of the overload policies. */
export interface OverloadPolicyOptions {
  /** Requests that may wait on this entry, in all lines. */
  readonly maxWaitingCount?: number;
}

/**
 * Lets a request wait when the estimated wait fits the queue's bound and the
 * deadline. The first request of a line always may, whatever others wait for.
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

  // Work that is started too late to be answered in time would be wasted.
  findWaitMs({ backlog, maxWaitMs, deadlineMs }: WaitRequest): number {
    return Math.min(maxWaitMs, deadlineMs - backlog.lowRunMs);
  }
}

/** Baseline: first in, first out, bounded by length only. */
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
