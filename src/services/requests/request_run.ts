/** Progress of one admitted request. */
import type { CallerRequest, Failure } from "../../domain/index.ts";
import type { Admission } from "../../decisions/index.ts";
import type { RequestClaim } from "./request_claim.ts";

/** One admitted request on its way to an outcome. */
export interface RequestRun {
  readonly request: CallerRequest;
  readonly admission: Admission;
  /** Monotonic time of arrival, in milliseconds. */
  readonly startedAtMs: number;
  /** Digest of queue, method, path and content. */
  readonly contentDigest: string;
  /** The claim on the idempotency key; undefined without a key. */
  readonly claim: RequestClaim | undefined;
  /** Tells why the request may no longer run, by the configuration of now. */
  readonly findRefusal: () => Failure | undefined;
  /** Time until the latest permit was granted, in milliseconds. */
  waitMs: number;
}
