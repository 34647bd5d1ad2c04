/** Commands of the log that change jobs, runs, runners, catalog and waves. */
import * as v from "valibot";
import { catalogSchema } from "./catalog.ts";
import { jobSpecSchema, taskIdSchema } from "./job.ts";
import { runnerSchema } from "./runner.ts";

/** How a run may end. */
export const RUN_ENDS = [
  "done",
  "failed",
  "stopped",
  "lapsed",
  "broken",
  "alone",
  /** It never began, or nobody knows how it ended. */
  "lost",
] as const;

/** How a run ended. */
export type RunEnd = (typeof RUN_ENDS)[number];

const incarnationEntries = { runnerId: v.string(), bornAtMs: v.number() };

/** Schema of {@link SchedulingOperation}. */
export const schedulingOperationSchema = v.variant("type", [
  v.object({
    type: v.literal("accept"),
    spec: jobSpecSchema,
    queue: v.string(),
    pool: v.string(),
    team: v.optional(v.string()),
    /** Failed ends of one task after which the job has failed. */
    maxAttempts: v.number(),
  }),
  v.object({ type: v.literal("cancel"), jobId: v.string() }),
  v.object({
    type: v.literal("start"),
    task: taskIdSchema,
    /** Number of the run; rises with each start of the task. */
    runNumber: v.number(),
    ...incarnationEntries,
  }),
  v.object({
    type: v.literal("end"),
    task: taskIdSchema,
    runNumber: v.number(),
    how: v.picklist(RUN_ENDS),
    /** Progress to start from next time; empty for none. */
    saved: v.string(),
    /** Failed ends that the task may have before its job has failed. */
    maxAttempts: v.number(),
  }),
  v.object({ type: v.literal("runner"), runner: runnerSchema }),
  v.object({ type: v.literal("runnerGone"), ...incarnationEntries }),
  v.object({ type: v.literal("catalog"), catalog: catalogSchema }),
  v.object({
    type: v.literal("zone"),
    zone: v.string(),
    isOut: v.boolean(),
  }),
  v.object({
    type: v.literal("wave"),
    waveId: v.number(),
    vms: v.array(v.string()),
    maxAwayCount: v.number(),
    /** Wall-clock time by which every VM must have had its upkeep (ms). */
    completeByMs: v.number(),
  }),
  v.object({
    type: v.literal("upkeep"),
    waveId: v.number(),
    vm: v.string(),
    state: v.picklist(["ordered", "done"]),
  }),
]);

/** One change of the scheduling state. */
export type SchedulingOperation = v.InferOutput<
  typeof schedulingOperationSchema
>;

/** Schema of the command that applies a batch of changes. */
export const schedulingCommandSchema = v.object({
  type: v.literal("scheduling"),
  /** Leader's wall-clock time, in milliseconds. */
  atMs: v.number(),
  operations: v.array(schedulingOperationSchema),
});

/** A batch of changes of the scheduling state. */
export type SchedulingCommand = v.InferOutput<typeof schedulingCommandSchema>;
