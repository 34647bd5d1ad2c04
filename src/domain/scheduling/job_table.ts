/** All jobs, and where their tasks run. */
import { addAmounts, type Amounts, NO_AMOUNTS } from "./amounts.ts";
import { formatTaskId, type JobStep, type TaskId } from "./job.ts";
import { JobRecord, type StoredJob, type TaskRecord } from "./job_record.ts";
import { formatRunnerLife, type RunnerLife } from "./runner.ts";
import type { SchedulingOperation } from "./scheduling_command.ts";

/** How long an ended job can still be asked for, in milliseconds. */
export const JOB_KEEP_MS = 150_000;

type StartOperation = Extract<SchedulingOperation, { type: "start" }>;
type EndOperation = Extract<SchedulingOperation, { type: "end" }>;
type AcceptOperation = Extract<SchedulingOperation, { type: "accept" }>;

/** A run that was started and whose end is not recorded. */
export interface RunningTask {
  readonly job: JobRecord;
  readonly id: TaskId;
  readonly step: JobStep;
  readonly runNumber: number;
  readonly saved: string;
  readonly life: RunnerLife;
  readonly startedAtMs: number;
}

/** What runs in one lifetime of a runner. */
export interface RunnerLoad {
  /** Runs by formatted task id. */
  readonly running: ReadonlyMap<string, RunningTask>;
  /** What the runs hold; tasks that live on leftovers hold no processor. */
  readonly used: Amounts;
  /** Rises whenever a run begins or ends here, or is no longer wanted. */
  readonly version: number;
}

interface MutableLoad extends RunnerLoad {
  readonly running: Map<string, RunningTask>;
  used: Amounts;
  version: number;
}

const NO_LOAD: RunnerLoad = {
  running: new Map(),
  used: NO_AMOUNTS,
  version: 0,
};

/** Jobs by id, runs by runner, and what each team has running. */
export class JobTable {
  readonly #jobs = new Map<string, JobRecord>();
  readonly #open = new Set<JobRecord>();
  readonly #loads = new Map<string, MutableLoad>();
  readonly #usedByTeam = new Map<string, Amounts>();

  /** Jobs that have not ended. */
  get open(): ReadonlySet<JobRecord> {
    return this.#open;
  }

  /** Finds a job. */
  find(jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId);
  }

  /** Lists all kept jobs. */
  list(): readonly JobRecord[] {
    return [...this.#jobs.values()];
  }

  /** Finds what runs in one lifetime of a runner. */
  findLoad(life: RunnerLife): RunnerLoad {
    return this.#loads.get(formatRunnerLife(life)) ?? NO_LOAD;
  }

  /** Sums what a team has running over all runners. */
  findUsedByTeam(team: string): Amounts {
    return this.#usedByTeam.get(team) ?? NO_AMOUNTS;
  }

  /** Adds a job; a job that is known already stays as it is. */
  accept(operation: AcceptOperation, atMs: number): void {
    const { jobId } = operation.spec;
    if (this.#jobs.has(jobId)) {
      return;
    }
    const job = new JobRecord({
      ...operation,
      team: operation.team,
      acceptedAtMs: atMs,
    });
    this.#jobs.set(jobId, job);
    this.#open.add(job);
  }

  /** Cancels a job that has not ended. */
  cancel(jobId: string, atMs: number): void {
    this.#close(this.#jobs.get(jobId), "cancelled", atMs);
  }

  /** Records that a task is started, unless that is no longer wanted. */
  start(operation: StartOperation, atMs: number): void {
    const { task: id, runNumber, runnerId, bornAtMs } = operation;
    const job = this.#jobs.get(id.jobId);
    const task = job?.findTask(id);
    const isWanted = job?.outcome === undefined && task?.state === "waiting" &&
      runNumber > task.runNumber;
    if (job === undefined || task === undefined || !isWanted) {
      return;
    }
    this.#count(job, id, -1, 0);
    task.state = "running";
    task.runNumber = runNumber;
    task.life = { runnerId, bornAtMs };
    task.changedAtMs = atMs;
    job.hasStarted = true;
    this.#occupy(job, id, task);
  }

  /** Records how a run ended; an end that is known already changes nothing. */
  end(operation: EndOperation, atMs: number): void {
    const { task: id, runNumber, how, saved, maxAttempts } = operation;
    const job = this.#jobs.get(id.jobId);
    const task = job?.findTask(id);
    const isNew = task?.state === "running" && task.runNumber === runNumber;
    if (job === undefined || task === undefined || !isNew) {
      return;
    }
    this.#release(job, id, task);
    task.saved = saved === "" ? task.saved : saved;
    task.changedAtMs = atMs;
    if (how === "done") {
      this.#finish(job, id, task, atMs);
      return;
    }
    task.state = "waiting";
    this.#count(job, id, 1, 0);
    task.failedCount += Number(how === "failed");
    const isEndless = job.spec.steps[id.step]?.isEndless ?? false;
    if (!isEndless && this.#countFailures(job, id) >= maxAttempts) {
      this.#close(job, "failed", atMs);
    }
  }

  /** Ends all runs of a lifetime that is over. */
  endLife(life: RunnerLife, atMs: number): void {
    for (const { id, runNumber } of this.findLoad(life).running.values()) {
      this.end({
        type: "end",
        task: id,
        runNumber,
        how: "lost",
        saved: "",
        maxAttempts: Infinity,
      }, atMs);
    }
    this.#loads.delete(formatRunnerLife(life));
  }

  /** Forgets jobs that ended long ago. */
  prune(atMs: number): void {
    for (const [jobId, job] of this.#jobs) {
      const isOld = job.endedAtMs !== undefined &&
        atMs - job.endedAtMs > JOB_KEEP_MS;
      if (isOld && !hasRunningTask(job)) {
        this.#jobs.delete(jobId);
      }
    }
  }

  /** Takes a job from a snapshot. */
  restore(stored: StoredJob): void {
    const job = JobRecord.restore(stored);
    this.#jobs.set(job.spec.jobId, job);
    if (job.outcome === undefined) {
      this.#open.add(job);
    }
    for (const { task: id } of stored.tasks) {
      const task = job.findTask(id);
      if (task?.state === "running") {
        this.#occupy(job, id, task);
      }
    }
  }

  #finish(job: JobRecord, id: TaskId, task: TaskRecord, atMs: number): void {
    task.state = "done";
    this.#count(job, id, 0, 1);
    if (job.spec.steps[id.step]?.isGang) {
      this.#finishGang(job, id, task.runNumber);
    }
    if (job.outcome === undefined && job.isDone) {
      this.#close(job, "completed", atMs);
    }
  }

  // The end of one member of a gang stands for all of them.
  #finishGang(job: JobRecord, id: TaskId, runNumber: number): void {
    const record = job.occurrences[id.occurrence]?.[id.step];
    record?.tasks.forEach((member, index) => {
      if (member.state === "running" && member.runNumber === runNumber) {
        const memberId = { ...id, index };
        this.#release(job, memberId, member);
        member.state = "done";
        this.#count(job, memberId, 0, 1);
      }
    });
  }

  // One failed member fails its whole gang, so that the gang's runs count.
  #countFailures(job: JobRecord, id: TaskId): number {
    const record = job.occurrences[id.occurrence]?.[id.step];
    const isGang = job.spec.steps[id.step]?.isGang ?? false;
    return isGang
      ? record?.tasks.reduce((sum, task) => sum + task.failedCount, 0) ?? 0
      : record?.tasks[id.index]?.failedCount ?? 0;
  }

  #close(
    job: JobRecord | undefined,
    outcome: "completed" | "failed" | "cancelled",
    atMs: number,
  ): void {
    if (job === undefined || job.outcome !== undefined) {
      return;
    }
    job.outcome = outcome;
    job.endedAtMs = atMs;
    this.#open.delete(job);
    for (const steps of job.occurrences) {
      steps.forEach(({ tasks }) => this.#touch(tasks));
    }
  }

  // A member that has ended makes the runs of its whole gang useless.
  #touchGang(job: JobRecord, id: TaskId): void {
    if (job.spec.steps[id.step]?.isGang) {
      this.#touch(job.occurrences[id.occurrence]?.[id.step]?.tasks ?? []);
    }
  }

  #touch(tasks: readonly TaskRecord[]): void {
    for (const { life } of tasks) {
      const load = life && this.#loads.get(formatRunnerLife(life));
      if (load !== undefined) {
        load.version += 1;
      }
    }
  }

  #count(
    job: JobRecord,
    id: TaskId,
    waitingChange: number,
    doneChange: number,
  ): void {
    const record = job.occurrences[id.occurrence]?.[id.step];
    if (record !== undefined) {
      record.waitingCount += waitingChange;
      record.doneCount += doneChange;
    }
  }

  #occupy(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    if (step === undefined || task.life === undefined) {
      return;
    }
    const key = formatRunnerLife(task.life);
    const load = this.#loads.get(key) ??
      { running: new Map<string, RunningTask>(), used: NO_AMOUNTS, version: 0 };
    this.#loads.set(key, load);
    load.version += 1;
    load.running.set(formatTaskId(id), {
      job,
      id,
      step,
      runNumber: task.runNumber,
      saved: task.saved,
      life: task.life,
      startedAtMs: task.changedAtMs,
    });
    load.used = addAmounts(load.used, findHeld(step));
    this.#countTeam(job, step.needs, 1);
  }

  #release(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    const load = task.life && this.#loads.get(formatRunnerLife(task.life));
    task.life = undefined;
    if (step !== undefined && load?.running.delete(formatTaskId(id))) {
      load.used = addAmounts(load.used, findHeld(step), -1);
      load.version += 1;
      this.#touchGang(job, id);
      this.#countTeam(job, step.needs, -1);
    }
  }

  #countTeam(job: JobRecord, needs: Amounts, factor: number): void {
    if (job.team !== undefined) {
      const used = addAmounts(this.findUsedByTeam(job.team), needs, factor);
      this.#usedByTeam.set(job.team, used);
    }
  }
}

/**
 * Finds what a task of a step holds of a runner's capacity.
 *
 * @param step - The step.
 * @returns Its needs, without processor for tasks that live on leftovers.
 */
export function findHeld(step: JobStep): Amounts {
  return step.usesLeftovers ? { ...step.needs, cpuMillicores: 0 } : step.needs;
}

function hasRunningTask(job: JobRecord): boolean {
  return job.occurrences.some((steps) =>
    steps.some(({ tasks }) => tasks.some(({ state }) => state === "running"))
  );
}
