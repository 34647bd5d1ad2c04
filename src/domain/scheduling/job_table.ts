/** All jobs, and where their tasks run. */
import type { Amounts } from "./amounts.ts";
import type { TaskId } from "./job.ts";
import { JobRecord, type StoredJob, type TaskRecord } from "./job_record.ts";
import type { RunnerIncarnation } from "./runner.ts";
import { type RunnerLoad, RunnerLoads } from "./runner_loads.ts";
import type { SchedulingOperation } from "./scheduling_command.ts";

/** How long an ended job can still be asked for, in milliseconds. */
export const JOB_KEEP_MS = 150_000;

type StartOperation = Extract<SchedulingOperation, { type: "start" }>;
type EndOperation = Extract<SchedulingOperation, { type: "end" }>;
type AcceptOperation = Extract<SchedulingOperation, { type: "accept" }>;

/** Jobs by id, runs by runner, and what each team has running. */
export class JobTable {
  readonly #jobs = new Map<string, JobRecord>();
  readonly #open = new Set<JobRecord>();
  readonly #loads = new RunnerLoads();

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
  findLoad(life: RunnerIncarnation): RunnerLoad {
    return this.#loads.find(life);
  }

  /** Sums what a team has running over all runners. */
  findUsedByTeam(team: string): Amounts {
    return this.#loads.findUsedByTeam(team);
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
    this.#adjustCounts(job, id, -1, 0);
    task.state = "running";
    task.runNumber = runNumber;
    task.life = { runnerId, bornAtMs };
    task.changedAtMs = atMs;
    job.hasStarted = true;
    this.#loads.addRun(job, id, task);
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
    this.#removeRun(job, id, task);
    task.saved = saved === "" ? task.saved : saved;
    task.changedAtMs = atMs;
    if (how === "done") {
      this.#finish(job, id, task, atMs);
      return;
    }
    task.state = "waiting";
    this.#adjustCounts(job, id, 1, 0);
    task.failedCount += Number(how === "failed");
    const isEndless = job.spec.steps[id.step]?.isEndless ?? false;
    if (!isEndless && this.#countFailures(job, id) >= maxAttempts) {
      this.#close(job, "failed", atMs);
    }
  }

  /** Ends all runs of a lifetime that is over. */
  endIncarnation(life: RunnerIncarnation, atMs: number): void {
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
    this.#loads.forget(life);
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
        this.#loads.addRun(job, id, task);
      }
    }
  }

  #finish(job: JobRecord, id: TaskId, task: TaskRecord, atMs: number): void {
    task.state = "done";
    this.#adjustCounts(job, id, 0, 1);
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
        this.#removeRun(job, memberId, member);
        member.state = "done";
        this.#adjustCounts(job, memberId, 0, 1);
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
      steps.forEach(({ tasks }) => this.#loads.raiseVersions(tasks));
    }
  }

  #removeRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    this.#loads.removeRun(job, id, task);
    this.#raiseGangVersions(job, id);
  }

  // A member that has ended makes the runs of its whole gang useless.
  #raiseGangVersions(job: JobRecord, id: TaskId): void {
    if (job.spec.steps[id.step]?.isGang) {
      this.#loads.raiseVersions(
        job.occurrences[id.occurrence]?.[id.step]?.tasks ?? [],
      );
    }
  }

  #adjustCounts(
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
}

function hasRunningTask(job: JobRecord): boolean {
  return job.occurrences.some((steps) =>
    steps.some(({ tasks }) => tasks.some(({ state }) => state === "running"))
  );
}
