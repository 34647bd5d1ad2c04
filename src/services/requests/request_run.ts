/** Type of an admitted request in progress. */
import type { CallerRequest, Failure } from "../../domain/index.ts";
import type { Admission } from "../../decisions/index.ts";
import type { RequestClaim } from "./request_claim.ts";

/** An admitted request that is being run. */
export interface RequestRun {
  readonly request: CallerRequest;
  readonly admission: Admission;
  /** Monotonic time of arrival, in milliseconds. */
  readonly startedAtMs: number;
  /** Digest of queue, method, path and content. */
  readonly contentDigest: string;
  /** Claim on the idempotency key; undefined when the request carries none. */
  readonly claim: RequestClaim | undefined;
  /**
   * Checks the request against the current configuration.
   *
   * @returns Why the request may no longer run, or undefined when it may.
   */
  readonly findRefusal: () => Failure | undefined;
  /** Time from arrival until the latest permit was granted, in milliseconds. */
  waitMs: number;
}
