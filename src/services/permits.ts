/** Permits to run one attempt: a team's place and a backend server's slot. */
import type { Result } from "true-myth";
import type { Announcement, Failure } from "../domain/index.ts";
import type { Admission } from "../decisions/index.ts";

/** A request for a permit. */
export interface PermitRequest {
  readonly admission: Admission;
  /** Backend servers that were tried before. */
  readonly excludedBackendIds: ReadonlySet<string>;
  /** Monotonic time after which the permit is no longer wanted. */
  readonly waitUntilMs: number;
  /** Monotonic time at which the caller stops waiting for the answer. */
  readonly deadlineAtMs?: number;
  readonly signal: AbortSignal;
  /**
   * Asked right before the permit is handed over, as the configuration may
   * have changed during the wait.
   *
   * @returns Why the request may no longer run, or undefined when it may.
   */
  readonly findRefusal?: (() => Failure | undefined) | undefined;
}

/** How the attempt under a permit ended. */
export interface PermitEnd {
  /**
   * True when the attempt certainly no longer runs; otherwise it counts until
   * the backend server says that it has ended or its lease has run out.
   */
  readonly ended: boolean;
  /** Evidence on the backend server's health; undefined when there is none. */
  readonly healthy: boolean | undefined;
}

/** Leave to run one attempt at one backend server. */
export interface Permit {
  /** Id of the attempt, by which the backend server announces it as running. */
  readonly attemptId: string;
  readonly backend: Announcement;
  readonly pool: string;
  readonly zone: string;
  /** How long the attempt may run, in milliseconds. */
  readonly leaseMs: number;
  /**
   * Asked right before the attempt is sent, when time has passed since the
   * permit was handed over.
   *
   * @returns False when lease, limit or configuration forbid the start now.
   */
  readonly mayStart?: (() => boolean) | undefined;
  /**
   * Gives the permit back; a second call has no effect.
   *
   * @param end - How the attempt ended.
   */
  release(end: PermitEnd): void;
}

/** Hands out permits so that no limit is exceeded. */
export interface PermitSource {
  /**
   * Waits for a permit.
   *
   * @param request - Who wants to run what.
   * @returns The permit, or why none can be had in time: `teamLimitReached`,
   * `overloaded`, `noBackendServer`, `zoneOut`, `expired` or `cancelled`, or
   * what {@link PermitRequest.findRefusal} found.
   */
  acquire(request: PermitRequest): Promise<Result<Permit, Failure>>;
}
