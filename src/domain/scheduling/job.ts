/** Jobs: steps of tasks that depend on each other. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

/** Bytes that the text of a job may have. */
export const MAX_JOB_TEXT_BYTES = 4_000;
/** Tasks that one job may have, over all occurrences. */
export const MAX_TASKS_PER_JOB = 20_000;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of {@link JobStep}. */
export const jobStepSchema = v.object({
  taskCount: v.pipe(countSchema, v.minValue(1)),
  /** What each task needs. */
  needs: amountsSchema,
  /** Rough duration of a task, in milliseconds. */
  estimateMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Earlier steps that must be done first, counted from 0. */
  dependsOn: v.optional(v.array(countSchema), []),
  savesProgress: v.optional(v.boolean(), false),
  /** Whether the tasks work only all together. */
  isGang: v.optional(v.boolean(), false),
  /** Whether tasks are slow when they run on more than one rack. */
  wantsOneRack: v.optional(v.boolean(), false),
  /** Label that the runner must have. */
  requiredLabel: v.optional(v.string()),
  /** Rack on which tasks are fast. */
  dataRack: v.optional(v.string()),
  /** Most tasks of one occurrence on one runner; 0 means any number. */
  maxPerRunner: v.optional(countSchema, 0),
  allowsCopies: v.optional(v.boolean(), false),
  /** Whether the tasks run until the job is cancelled. */
  isEndless: v.optional(v.boolean(), false),
  /** What the tasks run; tasks of one image behave alike. */
  image: v.optional(v.string(), ""),
  /** Bound of the tail of response times of an endless task (ms); 0 for none. */
  tailTargetMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Whether the tasks live on processor time that others leave over. */
  usesLeftovers: v.optional(v.boolean(), false),
  /** Tasks of the step that planned actions may take away at once. */
  maxAwayCount: v.optional(countSchema),
});

/** A step of a job. */
export type JobStep = v.InferOutput<typeof jobStepSchema>;

/** Schema of {@link JobSchedule}. */
export const jobScheduleSchema = v.object({
  occurrenceCount: v.pipe(countSchema, v.minValue(1)),
  /** Wall-clock time of the first occurrence, in milliseconds. */
  firstAtMs: v.number(),
  intervalMs: v.pipe(v.number(), v.minValue(0)),
});

/** When the steps of a job run, for jobs that run several times. */
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

/** States of a job. */
export const JOB_STATES = [
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
] as const;

/** State of a job. */
export type JobState = (typeof JOB_STATES)[number];

/** Names one task: job, occurrence, step and index, each from 0. */
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
 * @param id - The task.
 * @returns Its parts, joined by dots.
 */
export function formatTaskId(id: TaskId): string {
  return `${id.jobId}.${id.occurrence}.${id.step}.${id.index}`;
}

/**
 * Finds what is wrong with a job beyond the types of its fields.
 *
 * @param spec - The job.
 * @returns What is wrong, or undefined.
 */
export function findJobFault(spec: JobSpec): string | undefined {
  const textBytes = new TextEncoder().encode(spec.text).length;
  if (textBytes > MAX_JOB_TEXT_BYTES) {
    return `its text has ${textBytes} bytes, allowed are ${MAX_JOB_TEXT_BYTES}`;
  }
  const occurrenceCount = spec.schedule?.occurrenceCount ?? 1;
  const stepTasks = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (occurrenceCount * stepTasks > MAX_TASKS_PER_JOB) {
    return `it has ${
      occurrenceCount * stepTasks
    } tasks, allowed are ${MAX_TASKS_PER_JOB}`;
  }
  const invalidStep = spec.steps.findIndex((step, at) =>
    step.dependsOn.some((other) => other >= at)
  );
  return invalidStep < 0
    ? undefined
    : `step ${invalidStep} depends on a step that does not come before it`;
}
