/** The audit trail: why the system did or refused something. */
import * as v from "valibot";
import { resourceRefSchema } from "./change.ts";

/** Schema of {@link DecisionCause}: one resource field that led to a decision. */
export const decisionCauseSchema = v.object({
  resource: resourceRefSchema,
  field: v.string(),
  value: v.string(),
  setBy: v.string(),
  setAtMs: v.number(),
  revision: v.number(),
});

/** A label, selector, key or limit that led to a decision, and who set it. */
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
  subjects: v.array(v.string()),
  summary: v.string(),
  revision: v.number(),
  causes: v.array(decisionCauseSchema),
  figures: v.record(v.string(), v.number()),
  rejected: v.array(v.string()),
  count: v.number(),
});

/** One durable record of an automated action. */
export type DecisionRecord = v.InferOutput<typeof decisionRecordSchema>;
