/** Plain values of the durable state, for snapshots and applied commands. */
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

/** Stored answer to an accepted operation, for resends. */
export interface StoredOperation {
  readonly operationId: string;
  readonly contentDigest: string;
  readonly accepted: AcceptedChange;
}

/** The whole durable state in plain values. */
export interface FleetSnapshot {
  readonly revision: number;
  readonly resources: readonly StoredResource[];
  readonly operations: readonly StoredOperation[];
  readonly records: readonly DecisionRecord[];
  readonly assignments: readonly VmAssignment[];
  readonly claims: readonly Claim[];
  /**
   * Wall-clock time of the newest claim ever taken (ms); that claim may no
   * longer be among `claims`.
   */
  readonly newestClaimAtMs: number;
  readonly membership: Membership;
  /** Absent in snapshots of releases that did not support jobs. */
  readonly scheduling?: readonly SchedulingItem[];
}

/** Result of applying a command; it is the same on every entry. */
export type Applied = Result<AppliedValue, Failure>;

/** The value of an applied command. */
export interface AppliedValue {
  /** Configuration revision after the command. */
  readonly revision: number;
  /** Resulting claims of a `claim` command, in the command's order. */
  readonly claims?: readonly Claim[];
}
