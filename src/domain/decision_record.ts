/** Records of the audit trail: why the system acted or refused a request. */
import * as v from "valibot";
import { resourceRefSchema } from "./change.ts";

/** Schema of {@link DecisionCause}. */
export const decisionCauseSchema = v.object({
  resource: resourceRefSchema,
  field: v.string(),
  value: v.string(),
  setBy: v.string(),
  setAtMs: v.number(),
  revision: v.number(),
});

/**
 * A resource field (label, selector, key or limit) that led to a decision, with
 * the operator who set it.
 */
export type DecisionCause = v.InferOutput<typeof decisionCauseSchema>;

/** Schema of {@link DecisionRecord}. */
export const decisionRecordSchema = v.object({
  decisionId: v.string(),
  atMs: v.number(),
  action: v.picklist([
    "placement",
    "refusal",
    "move",
    "drain",
    "reboot",
    "join",
    "pause",
    "ejection",
    "hold",
    "throttle",
    "checkpoint",
    "stop",
  ]),
  /** What the decision is about, for example `vm/vm-1`. */
  subjects: v.array(v.string()),
  summary: v.string(),
  /** Configuration revision on which the decision is based. */
  revision: v.number(),
  causes: v.array(decisionCauseSchema),
  /** Numbers that the decision is based on, by name. */
  figures: v.record(v.string(), v.number()),
  /** Alternatives that were considered and rejected. */
  rejected: v.array(v.string()),
  /** Number of equal decisions that this record covers. */
  count: v.number(),
});

/** Durable record of one decision of the system. */
export type DecisionRecord = v.InferOutput<typeof decisionRecordSchema>;
