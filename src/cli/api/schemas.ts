/** Schemas of the responses that the command line reads. */
import * as v from "valibot";
import {
  decisionCauseSchema,
  decisionRecordSchema,
  JOB_STATES,
  resourceSchema,
} from "../../domain/index.ts";

/** Schema of a resource with the change that last set it. */
export const storedResourceSchema = v.object({
  resource: resourceSchema,
  revision: v.number(),
  setBy: v.string(),
  setAtMs: v.number(),
});

/** Schema of a list of resources. */
export const resourceListSchema = v.object({
  revision: v.number(),
  items: v.array(storedResourceSchema),
});

/** Schema of a created key. */
export const createdKeySchema = v.object({
  name: v.string(),
  secret: v.string(),
  revision: v.number(),
});

/** Schema of an explanation. */
export const explanationSchema = v.object({
  subject: v.string(),
  summary: v.optional(v.string()),
  present: v.optional(v.object({
    lines: v.array(v.string()),
    causes: v.array(decisionCauseSchema),
  })),
  records: v.array(decisionRecordSchema),
});

/** Schema of a plan. */
export const planSchema = v.object({
  revision: v.number(),
  actions: v.array(v.object({
    vm: v.string(),
    actionId: v.string(),
    pool: v.string(),
    targetPool: v.optional(v.string()),
    summary: v.string(),
    waitsFor: v.optional(v.string()),
  })),
  clashes: v.array(v.string()),
  budgets: v.array(v.string()),
  zonesOut: v.array(v.string()),
  zonesBack: v.array(v.string()),
  lostWork: v.array(v.object({
    team: v.string(),
    queue: v.string(),
    reason: v.string(),
  })),
});

/** Schema of the response to a call about a job. */
export const jobResponseSchema = v.object({
  jobId: v.string(),
  state: v.picklist(JOB_STATES),
});

/** Schema of a list of open jobs, runners or waves. */
export const schedulingListSchema = v.object({
  items: v.array(v.record(v.string(), v.union([v.string(), v.number()]))),
});

/** Schema of an entry's status. */
export const statusSchema = v.looseObject({
  entryId: v.string(),
  leaderId: v.optional(v.string()),
  term: v.number(),
  appliedIndex: v.number(),
  revision: v.number(),
});

/** Schema of the list of entries. */
export const entryListSchema = v.object({
  leaderId: v.string(),
  revision: v.number(),
  entries: v.array(v.object({
    entryId: v.string(),
    role: v.string(),
    revision: v.optional(v.number()),
    leaseLeftMs: v.number(),
  })),
});

/** A resource with the change that last set it. */
export type StoredResourceResponse = v.InferOutput<typeof storedResourceSchema>;
/** An explanation as an entry returns it. */
export type ExplanationResponse = v.InferOutput<typeof explanationSchema>;
/** A plan as an entry returns it. */
export type PlanResponse = v.InferOutput<typeof planSchema>;
