/** Plain values of the durable state: what snapshots hold and applying returns. */
import type { Result } from "true-myth";
import type { AcceptedChange } from "./change.ts";
import type { Claim, VmAssignment } from "./command.ts";
import type { DecisionRecord } from "./decision_record.ts";
import type { Failure } from "./errors.ts";
import type { Membership } from "./membership.ts";
import type { Resource } from "./resources/index.ts";
import type { SchedulingItem } from "./scheduling/index.ts";

/** A declared resource with the change that set it. */
export interface StoredResource<R extends Resource = Resource> {
  readonly resource: R;
  readonly revision: number;
  readonly setBy: string;
  readonly setAtMs: number;
}

/** The kept answer to an operation. */
export interface StoredOperation {
  readonly operationId: string;
  readonly contentDigest: string;
  readonly accepted: AcceptedChange;
}

/** The whole state in plain values, for snapshots. */
export interface FleetSnapshot {
  readonly revision: number;
  readonly resources: readonly StoredResource[];
  readonly operations: readonly StoredOperation[];
  readonly records: readonly DecisionRecord[];
  readonly assignments: readonly VmAssignment[];
  readonly claims: readonly Claim[];
  /** Wall-clock time of the newest claim ever taken, also of one not kept (ms). */
  readonly newestClaimAtMs: number;
  readonly membership: Membership;
  /** Absent in snapshots of releases that ran no jobs. */
  readonly scheduling?: readonly SchedulingItem[];
}

/** What applying a command led to; the same on every entry. */
export type Applied = Result<AppliedValue, Failure>;

/** The value of an applied command. */
export interface AppliedValue {
  /** Configuration revision after the command. */
  readonly revision: number;
  /** Claims as they stand after a `claim` command, in its order. */
  readonly claims?: readonly Claim[];
}
