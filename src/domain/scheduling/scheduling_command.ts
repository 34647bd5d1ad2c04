/** Commands of the log that change jobs, runs, runners, the catalog and waves. */
import * as v from "valibot";
import { catalogSchema } from "./catalog.ts";
import { jobSpecSchema, taskIdSchema } from "./job.ts";
import { runnerSchema } from "./runner.ts";
import { startConfirmationSchema } from "./unconfirmed_starts.ts";

/** Ways in which a run can end. */
export const RUN_ENDS = [
  "done",
  "failed",
  "stopped",
  /** The lease of the run ended before the run did. */
  "lapsed",
  "broken",
  "alone",
  /** The run never started, or its outcome is unknown. */
  "lost",
] as const;

/** Why a run that its runner did not end as failed speaks against the runner. */
export const RUN_FAULTS = [
  /** The runner refused the start, as it was overloaded or out of service. */
  "refused",
  /** The run was stopped because its progress stood still. */
  "still",
] as const;

/** Why a run speaks against its runner. */
export type RunFault = (typeof RUN_FAULTS)[number];

/** How a run ended. */
export type RunEnd = (typeof RUN_ENDS)[number];

const incarnationEntries = { runnerId: v.string(), bornAtMs: v.number() };

/** Schema of {@link SchedulingOperation}. */
export const schedulingOperationSchema = v.variant("type", [
  v.object({
    type: v.literal("accept"),
    spec: jobSpecSchema,
    queue: v.string(),
    /**
     * Formatted address of the queue, which identifies it. Earlier releases
     * neither write nor read it.
     */
    queueAddress: v.optional(v.string()),
    pool: v.string(),
    team: v.optional(v.string()),
    /** Number of failed runs of one task after which the job has failed. */
    maxAttempts: v.number(),
    /**
     * Time for which the caller's request had waited (ms). Earlier releases
     * neither write nor read it.
     */
    waitedMs: v.optional(v.number()),
  }),
  v.object({ type: v.literal("cancel"), jobId: v.string() }),
  v.object({
    type: v.literal("start"),
    task: taskIdSchema,
    /** Number of the run; it increases with each start of the task. */
    runNumber: v.number(),
    ...incarnationEntries,
  }),
  v.object({
    type: v.literal("end"),
    task: taskIdSchema,
    runNumber: v.number(),
    how: v.picklist(RUN_ENDS),
    /** Saved progress from which the next run starts; empty for none. */
    saved: v.string(),
    /** Number of failed runs of the task after which its job has failed. */
    maxAttempts: v.number(),
    /**
     * Absent where nothing but the end speaks against the runner, and in the
     * logs of earlier releases, which skip it when they read one.
     */
    fault: v.optional(v.picklist(RUN_FAULTS)),
  }),
  v.object({
    type: v.literal("confirm"),
    ...startConfirmationSchema.entries,
  }),
  v.object({ type: v.literal("runner"), runner: runnerSchema }),
  v.object({
    type: v.literal("runnerGone"),
    ...incarnationEntries,
    /**
     * `ended`: the incarnation and earlier ones have certainly ended.
     * `earlierAnswers`: an earlier one answers in its place. Absent where it may
     * come back, and in the logs of earlier releases.
     */
    fate: v.optional(v.picklist(["ended", "earlierAnswers"])),
  }),
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
    /** Maximum number of VMs that may be in maintenance at once. */
    maxAwayCount: v.number(),
    /** Wall-clock time by which the maintenance of every VM must be done (ms). */
    completeByMs: v.number(),
    /**
     * Time that the request gave for it (ms). Absent in the logs of earlier
     * releases.
     */
    completeWithinMs: v.optional(v.number()),
  }),
  // Progress of the maintenance of a VM.
  v.object({
    type: v.literal("upkeep"),
    waveId: v.number(),
    vm: v.string(),
    state: v.picklist(["ordered", "done"]),
  }),
]);

/** A single change of the scheduling state. */
export type SchedulingOperation = v.InferOutput<
  typeof schedulingOperationSchema
>;

/** Schema of the command that applies a batch of changes. */
export const schedulingCommandSchema = v.object({
  type: v.literal("scheduling"),
  /** Wall-clock time of the leader, in milliseconds. */
  atMs: v.number(),
  operations: v.array(schedulingOperationSchema),
});

/** A batch of changes of the scheduling state. */
export type SchedulingCommand = v.InferOutput<typeof schedulingCommandSchema>;
