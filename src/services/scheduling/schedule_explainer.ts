/** Lists and explains jobs, tasks, runners and waves for operators. */
import { Result } from "true-myth";
import * as v from "valibot";
import { findWaitReason, type StepReference } from "../../decisions/index.ts";
import {
  createFailure,
  type Failure,
  findPoolOfJob,
  findQueueLabel,
  formatTaskId,
  type JobRecord,
  type Runner,
  type StepRecord,
  validateWith,
} from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Most rows of one list or explanation: a few screens. */
const MAX_ROWS = 500;
/** Most tasks that the explanation of a runner lists. */
const MAX_NAMED_TASKS = 20;

/** Kinds that can be listed. */
export const LISTED_KINDS = ["job", "runner", "wave"] as const;

/** Schema of a query for a list. */
export const listQuerySchema = v.object({
  kind: v.picklist(LISTED_KINDS),
});

/** Schema of a query for an explanation. */
export const explainQuerySchema = v.object({
  kind: v.picklist(["job", "task", "runner"]),
  name: v.string(),
});

/** One row of a list, by column. */
export type ListedRow = Readonly<Record<string, string | number>>;

/** Present state of a job, a task or a runner. */
export interface ScheduleExplanation {
  readonly subject: string;
  readonly present: {
    readonly lines: readonly string[];
    readonly causes: readonly never[];
  };
  readonly records: readonly never[];
}

/** Options of {@link ScheduleExplainer}. */
export interface ScheduleExplainerOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly findStatus: (runner: Runner) => RunnerStatus | undefined;
  /** Returns whether a runner may get work now. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
  /** Describes why a runner is suspect; undefined while it is trusted. */
  readonly describeSuspicion?:
    | ((runner: Runner) => string | undefined)
    | undefined;
  /**
   * Finds how many times as long as usual the runs of a slow runner took;
   * undefined for any other.
   */
  readonly findSlowness?:
    | ((runner: Runner) => number | undefined)
    | undefined;
  /** Explains why a step comes behind others; undefined when it does not. */
  readonly describeDelay?: (step: StepReference) => string | undefined;
}

/** Describes the scheduling state as the leader knows it. */
export class ScheduleExplainer {
  readonly #options: ScheduleExplainerOptions;

  constructor(options: ScheduleExplainerOptions) {
    this.#options = options;
  }

  /**
   * Lists the open jobs, the runners or the waves.
   *
   * @param body - The query, not validated yet.
   * @returns The rows, or `invalidInput`.
   */
  list(body: unknown): Result<readonly ListedRow[], Failure> {
    return validateWith(listQuerySchema, body, { subject: "list" })
      .map(({ kind }) => this.#listRows(kind).slice(0, MAX_ROWS));
  }

  /**
   * Explains the present state of a job, a task or a runner.
   *
   * @param body - The query, not validated yet.
   * @returns The explanation; `invalidInput` or `notFound`.
   */
  explain(body: unknown): Result<ScheduleExplanation, Failure> {
    const query = validateWith(explainQuerySchema, body, {
      subject: "explain",
    });
    return query.andThen(({ kind, name }) => {
      const lines = this.#describe(kind, name);
      return lines === undefined
        ? Result.err(
          createFailure("notFound", `${kind}/${name} does not exist`),
        )
        : Result.ok({
          subject: `${kind}/${name}`,
          present: { lines, causes: [] },
          records: [],
        });
    });
  }

  #listRows(kind: (typeof LISTED_KINDS)[number]): ListedRow[] {
    const { log } = this.#options;
    const { catalog, jobs, runners, waves } = log.state;
    switch (kind) {
      case "job":
        return [...jobs.open].map((job) => ({
          job: job.spec.jobId,
          queue: findQueueLabel(catalog, job),
          team: job.team ?? "-",
          state: job.state,
          ageMs: this.#nowMs - job.acceptedAtMs,
        }));
      case "runner":
        return [...runners.values()].map((runner) => this.#listRunner(runner));
      case "wave":
        return [...waves.values()].map((wave) => ({
          wave: wave.waveId,
          vms: wave.vms.length,
          done: wave.vms.filter((vm) => wave.progress[vm] === "done").length,
          maxAway: wave.maxAwayCount,
          leftMs: wave.completeByMs - this.#nowMs,
        }));
    }
  }

  #listRunner(runner: Runner): ListedRow {
    const { findStatus, log, mayPlaceOn } = this.#options;
    const { running, used } = log.state.jobs.findLoad(runner);
    const status = findStatus(runner);
    return {
      runner: runner.runnerId,
      pool: runner.pool,
      zone: runner.zone,
      state: mayPlaceOn(runner) ? "open" : "closed",
      silentMs: Math.round(status?.silenceMs ?? 0),
      runs: running.size,
      freeMillicores: runner.capacity.cpuMillicores - used.cpuMillicores,
    };
  }

  #describe(kind: string, name: string): string[] | undefined {
    const { jobs, runners } = this.#options.log.state;
    if (kind === "runner") {
      const runner = runners.get(name);
      return runner && this.#describeRunner(runner);
    }
    const [jobId = "", occurrence, step, index] = name.split(".");
    const job = jobs.find(jobId);
    if (job === undefined || kind === "job") {
      return job && this.#describeJob(job);
    }
    const task = job.findTask({
      jobId,
      occurrence: Number(occurrence),
      step: Number(step),
      index: Number(index),
    });
    if (task === undefined) {
      return undefined;
    }
    const where = task.life === undefined ? "" : ` on ${task.life.runnerId}`;
    const sinceMs = task.changedAtMs === 0
      ? job.findDueMs(Number(occurrence))
      : task.changedAtMs;
    const reason = task.state === "waiting"
      ? [`waits: ${this.#findReason(job, Number(occurrence), Number(step))}`]
      : [];
    const avoided = (task.failedOn ?? []).map((runnerId) =>
      `avoids ${runnerId}, where it failed`
    );
    return [
      `${task.state}${where}, run ${task.runNumber}, ${task.failedCount} failed runs`,
      `for ${Math.round(this.#nowMs - sinceMs)} ms`,
      ...reason,
      ...avoided,
      ...this.#describeSuspects(job),
    ];
  }

  #describeSuspects(job: JobRecord): string[] {
    const { describeSuspicion, log } = this.#options;
    const { catalog, runners } = log.state;
    const pool = findPoolOfJob(catalog, job);
    const count =
      [...runners.values()].filter((runner) =>
        runner.pool === pool && describeSuspicion?.(runner) !== undefined
      ).length;
    return count === 0
      ? []
      : [`${count} runners of ${pool} are suspect and get one task at a time`];
  }

  #describeRunner(runner: Runner): string[] {
    const { log } = this.#options;
    const { running } = log.state.jobs.findLoad(runner);
    const names = [...running.values()].slice(0, MAX_NAMED_TASKS)
      .map(({ id, runNumber }) => `${formatTaskId(id)}#${runNumber}`);
    const fields = Object.entries(this.#listRunner(runner))
      .map(([field, value]) => `${field} ${value}`);
    const suspicion = this.#options.describeSuspicion?.(runner);
    const slowness = this.#options.findSlowness?.(runner);
    return [
      fields.join(", "),
      ...(suspicion === undefined ? [] : [suspicion]),
      ...(slowness === undefined ? [] : [
        `slow: its newest runs took ${
          slowness.toFixed(1)
        } times as long as usual`,
      ]),
      ...names.map((name) => `runs ${name}`),
    ];
  }

  #describeJob(job: JobRecord): string[] {
    const { catalog } = this.#options.log.state;
    const team = job.team === undefined ? "no team" : `team/${job.team}`;
    const endMs = job.endedAtMs ?? this.#nowMs;
    const lines = [
      `${job.state}, queue/${findQueueLabel(catalog, job)}, ${team}`,
      `accepted at ${new Date(job.acceptedAtMs).toISOString()}, ${
        Math.round(endMs - job.acceptedAtMs)
      } ms ${job.endedAtMs === undefined ? "ago" : "until its end"}`,
    ];
    job.occurrences.forEach((steps, occurrence) =>
      steps.forEach((record, step) => {
        lines.push(this.#describeStep(job, occurrence, step, record));
      })
    );
    return lines.slice(0, MAX_ROWS);
  }

  #describeStep(
    job: JobRecord,
    occurrence: number,
    step: number,
    { tasks, waitingCount, doneCount }: StepRecord,
  ): string {
    const failedCount = tasks.reduce((sum, task) => sum + task.failedCount, 0);
    const runningCount = tasks.length - waitingCount - doneCount;
    const reason = waitingCount > 0 && job.outcome === undefined
      ? `; waits: ${this.#findReason(job, occurrence, step)}`
      : "";
    return `step ${occurrence}.${step}: ${doneCount} done, ${runningCount} run, ${waitingCount} wait, ${failedCount} failed runs${reason}`;
  }

  #findReason(job: JobRecord, occurrence: number, stepIndex: number): string {
    const { describeDelay, log, mayPlaceOn } = this.#options;
    const { state } = log;
    const nowMs = this.#nowMs;
    const { jobId } = job.spec;
    return findWaitReason({
      state,
      job,
      occurrence,
      stepIndex,
      mayPlaceOn,
      findDelayReason: () =>
        describeDelay?.({ jobId, occurrence, step: stepIndex }),
      nowMs,
    });
  }

  get #nowMs(): number {
    return this.#options.clock.nowMs();
  }
}
