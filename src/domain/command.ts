/** Commands of the replicated log. Only they change the durable state. */
import * as v from "valibot";
import { assignCommandSchema } from "./assignment.ts";
import { changeSchema } from "./change.ts";
import { decisionRecordSchema } from "./decision_record.ts";
import { membershipSchema } from "./membership.ts";
import { schedulingCommandSchema } from "./scheduling/scheduling_command.ts";

export type { VmAssignment } from "./assignment.ts";

/** Schema of the command that applies an operator's change. */
export const changeCommandSchema = v.object({
  type: v.literal("change"),
  change: changeSchema,
  operator: v.string(),
  atMs: v.number(),
});

/** Schema of the command that appends to the audit trail. */
export const recordCommandSchema = v.object({
  type: v.literal("record"),
  records: v.array(decisionRecordSchema),
});

/** Schema of {@link Claim}. */
export const claimSchema = v.object({
  /** Id composed of team, queue and idempotency key. */
  claimId: v.string(),
  contentDigest: v.string(),
  /** Request that holds the claim; only this request may settle it. */
  requestId: v.string(),
  entryId: v.string(),
  atMs: v.number(),
  /**
   * Time after `atMs`, in milliseconds, after which the outcome of a claim that
   * is still `running` is unknown.
   */
  leaseMs: v.number(),
  state: v.picklist(["running", "succeeded", "failed", "notRun", "unknown"]),
  /** HTTP status of the backend server's answer, if it sent one. */
  status: v.optional(v.number()),
});

/** Durable claim of a request on an idempotency key. */
export type Claim = v.InferOutput<typeof claimSchema>;

/** Schema of the command that takes and settles a batch of claims. */
export const claimCommandSchema = v.object({
  type: v.literal("claim"),
  claims: v.array(claimSchema),
});

/**
 * Schema of the command that a new leader appends first. Committing it also
 * commits the entries of earlier terms.
 */
export const leaderCommandSchema = v.object({
  type: v.literal("leader"),
  leaderId: v.string(),
});

/** Schema of the command that changes the membership, one voter at a time. */
export const membershipCommandSchema = v.object({
  type: v.literal("membership"),
  ...membershipSchema.entries,
});

/** Schema of {@link Command}. */
export const commandSchema = v.variant("type", [
  changeCommandSchema,
  recordCommandSchema,
  assignCommandSchema,
  claimCommandSchema,
  leaderCommandSchema,
  membershipCommandSchema,
  schedulingCommandSchema,
]);

/** A command of the replicated log. */
export type Command = v.InferOutput<typeof commandSchema>;
