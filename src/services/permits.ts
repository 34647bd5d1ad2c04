/**
 * Permits to run one attempt. A permit counts one attempt against the team's
 * limit and occupies one slot of a backend server.
 */
import type { Result } from "true-myth";
import type { Announcement, Failure } from "../domain/index.ts";
import type { Admission } from "../decisions/index.ts";

/** A request for a permit. */
export interface PermitRequest {
  readonly admission: Admission;
  /** Backend servers that must not be used because they were tried before. */
  readonly excludedBackendIds: ReadonlySet<string>;
  /** Monotonic time until which the request waits for a permit. */
  readonly waitUntilMs: number;
  /** Monotonic time at which the caller stops waiting for the answer. */
  readonly deadlineAtMs?: number;
  readonly signal: AbortSignal;
  /**
   * Checks the request again right before it gets the permit, because the
   * configuration may have changed during the wait.
   *
   * @returns Why the request may no longer run, or undefined when it may.
   */
  readonly findRefusal?: (() => Failure | undefined) | undefined;
}

/** How the attempt under a permit ended. */
export interface PermitEnd {
  /**
   * True when the attempt is known to have ended. Otherwise the permit stays
   * counted until the backend server reports the end or the lease expires.
   */
  readonly ended: boolean;
  /** Whether the backend server proved healthy; undefined without evidence. */
  readonly healthy: boolean | undefined;
}

/** Permission to run one attempt on one backend server. */
export interface Permit {
  /** Id of the attempt; the backend server lists it while the attempt runs. */
  readonly attemptId: string;
  readonly backend: Announcement;
  readonly pool: string;
  readonly zone: string;
  /** How long the attempt may run, in milliseconds. */
  readonly leaseMs: number;
  /**
   * Checks again right before the attempt is sent, when time has passed since
   * the request got the permit.
   *
   * @returns False when the lease, the team's limit or the configuration no
   * longer allows the start.
   */
  readonly mayStart?: (() => boolean) | undefined;
  /**
   * Releases the permit. A second call has no effect.
   *
   * @param end - How the attempt ended.
   */
  release(end: PermitEnd): void;
}

/** Provides permits within the limits of teams and backend servers. */
export interface PermitSource {
  /**
   * Waits for a permit.
   *
   * @param request - Team, queue and deadline of the work.
   * @returns The permit, or why none was available in time:
   * `teamLimitReached`, `overloaded`, `noBackendServer`, `zoneOut`, `expired`,
   * `cancelled`, or the failure from {@link PermitRequest.findRefusal}.
   */
  acquire(request: PermitRequest): Promise<Result<Permit, Failure>>;
}
