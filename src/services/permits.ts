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
  readonly signal: AbortSignal;
}

/** Leave to run one attempt at one backend server. */
export interface Permit {
  readonly backend: Announcement;
  readonly pool: string;
  readonly zone: string;
  /** How long the attempt may run, in milliseconds. */
  readonly leaseMs: number;
  /**
   * Gives the permit back.
   *
   * @param ended - True when the attempt certainly no longer runs; otherwise
   * it counts until its lease has run out.
   */
  release(ended: boolean): void;
}

/** Hands out permits so that no limit is exceeded. */
export interface PermitSource {
  /**
   * Waits for a permit.
   *
   * @param request - Who wants to run what.
   * @returns The permit, or why none can be had in time: `teamLimitReached`,
   * `overloaded`, `noBackendServer`, `zoneOut`, `expired` or `cancelled`.
   */
  acquire(request: PermitRequest): Promise<Result<Permit, Failure>>;
}
