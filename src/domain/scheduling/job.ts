/** Jobs: steps that consist of tasks and depend on earlier steps. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

/** Maximum size of the text of a job, in bytes. */
export const MAX_JOB_TEXT_BYTES = 4_000;
/** Maximum number of tasks of a job, in all occurrences together. */
export const MAX_TASKS_PER_JOB = 20_000;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of {@link JobStep}. */
export const jobStepSchema = v.object({
  taskCount: v.pipe(countSchema, v.minValue(1)),
  /** Amounts that each task needs. */
  needs: amountsSchema,
  /** Estimated duration of a task, in milliseconds. */
  estimateMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Indexes of the earlier steps that must be done first, from 0. */
  dependsOn: v.optional(v.array(countSchema), []),
  /** Whether the tasks save progress from which a later run can start. */
  savesProgress: v.optional(v.boolean(), false),
  /** Whether the tasks form a gang, which can only run all at once. */
  isGang: v.optional(v.boolean(), false),
  /** Whether the tasks are slow when they run on more than one rack. */
  wantsOneRack: v.optional(v.boolean(), false),
  /** Label that a runner must have to run the tasks. */
  requiredLabel: v.optional(v.string()),
  /** Rack that holds the data of the tasks; they are faster there. */
  dataRack: v.optional(v.string()),
  /**
   * Maximum number of tasks of one occurrence on the same runner; 0 means
   * unlimited.
   */
  maxPerRunner: v.optional(countSchema, 0),
  /** Whether a second, speculative copy of a task may run beside the first. */
  allowsCopies: v.optional(v.boolean(), false),
  /** Whether the tasks are long-running: they run until the job is cancelled. */
  isEndless: v.optional(v.boolean(), false),
  /** Image that the tasks run; tasks of the same image behave alike. */
  image: v.optional(v.string(), ""),
  /** Target for the tail latency of a long-running task (ms); 0 for none. */
  tailTargetMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Whether the tasks are best-effort work, which runs on spare CPU. */
  usesLeftovers: v.optional(v.boolean(), false),
  /**
   * Maximum number of the step's tasks that planned actions may make
   * unavailable at once.
   */
  maxAwayCount: v.optional(countSchema),
});

/** A step of a job. */
export type JobStep = v.InferOutput<typeof jobStepSchema>;

/** Schema of {@link JobSchedule}. */
export const jobScheduleSchema = v.object({
  occurrenceCount: v.pipe(countSchema, v.minValue(1)),
  /** Wall-clock time of the first occurrence, in milliseconds. */
  firstAtMs: v.number(),
  /** Time between the starts of two occurrences, in milliseconds. */
  intervalMs: v.pipe(v.number(), v.minValue(0)),
});

/** Schedule of a job that runs several times. */
export type JobSchedule = v.InferOutput<typeof jobScheduleSchema>;

/** Schema of {@link JobSpec}. */
export const jobSpecSchema = v.object({
  jobId: v.pipe(v.string(), v.regex(/^[0-9a-f]{16}$/)),
  text: v.string(),
  steps: v.pipe(v.array(jobStepSchema), v.minLength(1)),
  schedule: v.optional(jobScheduleSchema),
});

/** A job as a caller submits it. */
export type JobSpec = v.InferOutput<typeof jobSpecSchema>;

/** All states of a job. */
export const JOB_STATES = [
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
] as const;

/** State of a job. */
export type JobState = (typeof JOB_STATES)[number];

/** Identifies a task by its job, and by occurrence, step and index from 0. */
export interface TaskId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Schema of {@link TaskId}. */
export const taskIdSchema = v.object({
  jobId: v.string(),
  occurrence: countSchema,
  step: countSchema,
  index: countSchema,
});

/**
 * Formats a task id.
 *
 * @param id - The task id.
 * @returns The parts of the id, joined by dots.
 */
export function formatTaskId(id: TaskId): string {
  return `${id.jobId}.${id.occurrence}.${id.step}.${id.index}`;
}

/**
 * Checks the limits and the dependencies that the schema of a job cannot
 * express.
 *
 * @param spec - The job.
 * @returns The first problem as text, or undefined when the job is valid.
 */
export function findJobFault(spec: JobSpec): string | undefined {
  const textBytes = new TextEncoder().encode(spec.text).length;
  if (textBytes > MAX_JOB_TEXT_BYTES) {
    return `its text has ${textBytes} bytes, the limit is ${MAX_JOB_TEXT_BYTES}`;
  }
  const occurrenceCount = spec.schedule?.occurrenceCount ?? 1;
  const stepTasks = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (occurrenceCount * stepTasks > MAX_TASKS_PER_JOB) {
    return `it has ${
      occurrenceCount * stepTasks
    } tasks, the limit is ${MAX_TASKS_PER_JOB}`;
  }
  const invalidStep = spec.steps.findIndex((step, at) =>
    step.dependsOn.some((other) => other >= at)
  );
  return invalidStep < 0
    ? undefined
    : `step ${invalidStep} depends on a step that is not an earlier one`;
}
