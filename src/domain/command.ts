/** Commands of the replicated log: everything that changes the durable state. */
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
  /** Team, queue and idempotency key. */
  claimId: v.string(),
  contentDigest: v.string(),
  /** The request that holds the claim; only it may settle the claim. */
  requestId: v.string(),
  entryId: v.string(),
  atMs: v.number(),
  /** Time after which a claim that still runs has an unknown outcome. */
  leaseMs: v.number(),
  state: v.picklist(["running", "succeeded", "failed", "notRun", "unknown"]),
  /** Status of the backend server's answer, when there was one. */
  status: v.optional(v.number()),
});

/** A durable claim on one idempotency key. */
export type Claim = v.InferOutput<typeof claimSchema>;

/** Schema of the command that takes or settles claims, in one batch. */
export const claimCommandSchema = v.object({
  type: v.literal("claim"),
  claims: v.array(claimSchema),
});

/** Schema of the command that a new leader writes to commit its term. */
export const leaderCommandSchema = v.object({
  type: v.literal("leader"),
  leaderId: v.string(),
});

/** Schema of the command that changes the voters, one at a time. */
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
