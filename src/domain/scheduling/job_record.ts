/** A job with the progress of its tasks. */
import * as v from "valibot";
import {
  type JobSpec,
  jobSpecSchema,
  type JobState,
  type JobStep,
  type TaskId,
  taskIdSchema,
} from "./job.ts";
import type { QueueOfJob } from "./queue_index.ts";
import type { RunnerIncarnation } from "./runner.ts";

/** Most runners that a task remembers because it failed there. */
export const MAX_FAILED_ON_COUNT = 4;

/** Progress of one task. */
export interface TaskRecord {
  state: "waiting" | "running" | "done";
  /** Number of the newest run; 0 before the first run. */
  runNumber: number;
  /** Number of runs that failed. */
  failedCount: number;
  /**
   * Ids of the runners on which it failed, did not start or stood still, the
   * newest last; at most {@link MAX_FAILED_ON_COUNT}.
   */
  failedOn?: readonly string[] | undefined;
  /** Saved progress from which the next run starts; empty for none. */
  saved: string;
  /** Runner incarnation that runs the task; undefined unless it is running. */
  life: RunnerIncarnation | undefined;
  /** Wall-clock time of the newest change, in milliseconds. */
  changedAtMs: number;
}

/** Progress of one step in one occurrence. */
export interface StepRecord {
  readonly tasks: readonly TaskRecord[];
  waitingCount: number;
  doneCount: number;
}

const OUTCOMES = ["completed", "failed", "cancelled"] as const;

/** Schema of {@link StoredJob}. */
export const storedJobSchema = v.object({
  spec: jobSpecSchema,
  queue: v.string(),
  /** Absent in snapshots of earlier releases, which skip it. */
  queueAddress: v.optional(v.string()),
  pool: v.string(),
  team: v.optional(v.string()),
  maxAttempts: v.number(),
  acceptedAtMs: v.number(),
  /** Absent in snapshots of earlier releases, which skip it. */
  requestedAtMs: v.optional(v.number()),
  endedAtMs: v.optional(v.number()),
  outcome: v.optional(v.picklist(OUTCOMES)),
  hasStarted: v.boolean(),
  /**
   * Whether a runner has begun a task. Absent in snapshots of earlier releases,
   * which skip it.
   */
  hasBegun: v.optional(v.boolean()),
  /** Progress of the tasks that have been started at least once. */
  tasks: v.array(v.object({
    task: taskIdSchema,
    state: v.picklist(["waiting", "running", "done"]),
    runNumber: v.number(),
    failedCount: v.number(),
    /**
     * Runners on which it failed. Absent in snapshots of earlier releases, which
     * skip it when they read one.
     */
    failedOn: v.optional(v.array(v.string())),
    saved: v.string(),
    /** Runner incarnation that runs the task. */
    life: v.optional(v.object({ runnerId: v.string(), bornAtMs: v.number() })),
    changedAtMs: v.number(),
  })),
});

/** A job in plain values, for snapshots. */
export type StoredJob = v.InferOutput<typeof storedJobSchema>;

/** Properties of a job that are fixed when it is accepted. */
export interface JobOptions {
  readonly spec: JobSpec;
  readonly queue: string;
  readonly queueAddress?: string | undefined;
  readonly pool: string;
  readonly team: string | undefined;
  /** Number of failed runs of one task after which the job has failed. */
  readonly maxAttempts: number;
  readonly acceptedAtMs: number;
  /**
   * Wall-clock time at which the request arrived that was accepted, in
   * milliseconds; `acceptedAtMs` by default.
   */
  readonly requestedAtMs?: number | undefined;
}

/** A job and the progress of its tasks. Only the job table changes it. */
export class JobRecord implements QueueOfJob {
  readonly spec: JobSpec;
  readonly queue: string;
  readonly queueAddress: string | undefined;
  readonly pool: string;
  readonly team: string | undefined;
  readonly maxAttempts: number;
  readonly acceptedAtMs: number;
  /**
   * Wall-clock time at which the request arrived that was accepted, in
   * milliseconds.
   */
  readonly requestedAtMs: number;
  /** Progress by occurrence, then by step. */
  readonly occurrences: readonly (readonly StepRecord[])[];
  /** Whether the start of a task is in the log; it may never be carried out. */
  hasStarted = false;
  /** Whether a runner has begun a task, as far as the log shows. */
  hasBegun = false;
  endedAtMs: number | undefined;
  outcome: StoredJob["outcome"];

  constructor(options: JobOptions) {
    this.spec = options.spec;
    this.queue = options.queue;
    this.queueAddress = options.queueAddress;
    this.pool = options.pool;
    this.team = options.team;
    this.maxAttempts = options.maxAttempts;
    this.acceptedAtMs = options.acceptedAtMs;
    this.requestedAtMs = options.requestedAtMs ?? options.acceptedAtMs;
    const count = options.spec.schedule?.occurrenceCount ?? 1;
    this.occurrences = Array.from(
      { length: count },
      () => options.spec.steps.map(createStepRecord),
    );
  }

  /**
   * Identifies its queue: the address, or the name if an earlier release accepted
   * the job.
   */
  get queueKey(): string {
    return this.queueAddress ?? this.queue;
  }

  /** State that callers see. */
  get state(): JobState {
    return this.outcome ?? (this.hasBegun ? "running" : "queued");
  }

  /** Whether a run of a task has not ended. */
  get hasRunningTask(): boolean {
    return this.occurrences.some((steps) =>
      steps.some(({ tasks }) => tasks.some(({ state }) => state === "running"))
    );
  }

  /** Whether every task of every occurrence is done. */
  get isDone(): boolean {
    return this.occurrences.every((steps) =>
      steps.every(({ tasks, doneCount }) => doneCount === tasks.length)
    );
  }

  /**
   * Computes the time from which an occurrence may start.
   *
   * @param occurrence - Number of the occurrence, from 0.
   * @returns Wall-clock time, in milliseconds.
   */
  findDueMs(occurrence: number): number {
    const { schedule } = this.spec;
    return schedule === undefined
      ? this.requestedAtMs
      : schedule.firstAtMs + occurrence * schedule.intervalMs;
  }

  /** Finds the progress of a task; undefined for an unknown task. */
  findTask(id: TaskId): TaskRecord | undefined {
    return this.occurrences[id.occurrence]?.[id.step]?.tasks[id.index];
  }

  /**
   * Checks whether all steps that a step depends on are done.
   *
   * @param occurrence - Index of the occurrence.
   * @param step - Index of the step.
   * @returns True when the step may start; false for an unknown step.
   */
  isUnblocked(occurrence: number, step: number): boolean {
    const steps = this.occurrences[occurrence];
    return this.spec.steps[step]?.dependsOn.every((other) => {
      const record = steps?.[other];
      return record !== undefined && record.doneCount === record.tasks.length;
    }) ?? false;
  }

  /**
   * Checks whether a run is no longer needed.
   *
   * @param id - The task.
   * @param runNumber - Number of the run.
   * @returns True when the job has ended, or when the task belongs to a gang of
   * which a member no longer runs under this run number.
   */
  isRunObsolete(id: TaskId, runNumber: number): boolean {
    if (this.outcome !== undefined || !this.spec.steps[id.step]?.isGang) {
      return this.outcome !== undefined;
    }
    const record = this.occurrences[id.occurrence]?.[id.step];
    return record?.tasks.some((member) =>
      member.state !== "running" || member.runNumber !== runNumber
    ) ?? true;
  }

  /** Copies the job into plain values for a snapshot. */
  toStored(): StoredJob {
    const { spec, queue, queueAddress, pool, team } = this;
    const tasks: StoredJob["tasks"] = [];
    this.occurrences.forEach((steps, occurrence) =>
      steps.forEach((record, step) =>
        record.tasks.forEach((task, index) => {
          if (task.runNumber > 0 || task.state !== "waiting") {
            const id = { jobId: spec.jobId, occurrence, step, index };
            const { failedOn, ...progress } = task;
            tasks.push({
              task: id,
              ...progress,
              ...(failedOn && { failedOn: [...failedOn] }),
            });
          }
        })
      )
    );
    const { acceptedAtMs, hasStarted, maxAttempts, requestedAtMs } = this;
    const { endedAtMs, hasBegun, outcome } = this;
    return {
      spec,
      queue,
      queueAddress,
      pool,
      team,
      maxAttempts,
      acceptedAtMs,
      requestedAtMs,
      endedAtMs,
      outcome,
      hasStarted,
      hasBegun,
      tasks,
    };
  }

  /** Builds a job from a snapshot. */
  static restore(stored: StoredJob): JobRecord {
    const job = new JobRecord({ ...stored, team: stored.team });
    job.hasStarted = stored.hasStarted;
    job.hasBegun = stored.hasBegun ?? stored.hasStarted;
    job.endedAtMs = stored.endedAtMs;
    job.outcome = stored.outcome;
    for (const { task: id, ...progress } of stored.tasks) {
      const step = job.occurrences[id.occurrence]?.[id.step];
      const task = step?.tasks[id.index];
      if (step === undefined || task === undefined) {
        continue;
      }
      Object.assign(task, progress);
      step.waitingCount -= Number(task.state !== "waiting");
      step.doneCount += Number(task.state === "done");
    }
    return job;
  }
}

function createStepRecord(step: JobStep): StepRecord {
  return {
    tasks: Array.from({ length: step.taskCount }, () => ({
      state: "waiting",
      runNumber: 0,
      failedCount: 0,
      saved: "",
      life: undefined,
      changedAtMs: 0,
    })),
    waitingCount: step.taskCount,
    doneCount: 0,
  };
}
