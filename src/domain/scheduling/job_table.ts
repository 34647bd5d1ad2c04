/** All jobs, with the runners on which their tasks run. */
import type { Amounts } from "./amounts.ts";
import { EndedJobs } from "./ended_jobs.ts";
import type { TaskId } from "./job.ts";
import {
  JobRecord,
  MAX_FAILED_ON_COUNT,
  type StoredJob,
  type TaskRecord,
} from "./job_record.ts";
import type { RunnerIncarnation } from "./runner.ts";
import { RunnerEvidence } from "./runner_evidence.ts";
import { type RunnerLoad, RunnerLoads } from "./runner_loads.ts";
import type { SchedulingOperation } from "./scheduling_command.ts";
import {
  type StartConfirmation,
  UnconfirmedStarts,
} from "./unconfirmed_starts.ts";

/** Time for which an ended job can still be read, in milliseconds. */
export const JOB_KEEP_MS = 150_000;

type StartOperation = Extract<SchedulingOperation, { type: "start" }>;
type EndOperation = Extract<SchedulingOperation, { type: "end" }>;
type AcceptOperation = Extract<SchedulingOperation, { type: "accept" }>;

/** Index of jobs by id, of runs by runner, and of used amounts by team. */
export class JobTable {
  readonly #jobs = new Map<string, JobRecord>();
  readonly #open = new Set<JobRecord>();
  readonly #ended = new EndedJobs();
  /** Jobs that are too old to be kept, but of which a run has not ended. */
  readonly #expired = new Set<JobRecord>();
  readonly #loads = new RunnerLoads();
  /** Starts that the log does not show as confirmed by their runner. */
  readonly unconfirmed = new UnconfirmedStarts();
  /** What the ends of runs tell about their runners. */
  readonly evidence = new RunnerEvidence();

  /** Jobs that have not ended. */
  get open(): ReadonlySet<JobRecord> {
    return this.#open;
  }

  /** Finds a job by id; undefined when it is not stored. */
  find(jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId);
  }

  /** Lists all stored jobs. */
  list(): readonly JobRecord[] {
    return [...this.#jobs.values()];
  }

  /** Finds the runs of one incarnation of a runner, with the amounts in use. */
  findLoad(incarnation: RunnerIncarnation): RunnerLoad {
    return this.#loads.find(incarnation);
  }

  /** Finds the amounts that a team uses on all runners. */
  findUsedByTeam(team: string): Amounts {
    return this.#loads.findUsedByTeam(team);
  }

  /** Adds a job. A job that is already stored is left unchanged. */
  accept(operation: AcceptOperation, atMs: number): void {
    const { jobId } = operation.spec;
    if (this.#jobs.has(jobId)) {
      return;
    }
    const job = new JobRecord({
      ...operation,
      team: operation.team,
      acceptedAtMs: atMs,
      requestedAtMs: atMs - (operation.waitedMs ?? 0),
    });
    this.#jobs.set(jobId, job);
    this.#open.add(job);
  }

  /** Cancels a job that has not ended. */
  cancel(jobId: string, atMs: number): void {
    this.#close(this.#jobs.get(jobId), "cancelled", atMs);
  }

  /**
   * Records the start of a run. Does nothing when the job has ended, the task is
   * not waiting, or a run with the same or a higher number was started before.
   */
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
    this.unconfirmed.add(operation);
  }

  /** Records which starts their runners have carried out. */
  confirm(confirmation: StartConfirmation): void {
    for (const { task } of this.unconfirmed.confirm(confirmation)) {
      const job = this.#jobs.get(task.jobId);
      if (job !== undefined) {
        job.hasBegun = true;
      }
    }
  }

  /** Records how a run ended. Does nothing when that end is already recorded. */
  end(operation: EndOperation, atMs: number): void {
    const { task: id, runNumber, how, saved, maxAttempts } = operation;
    const job = this.#jobs.get(id.jobId);
    const task = job?.findTask(id);
    const isNew = task?.state === "running" && task.runNumber === runNumber;
    if (job === undefined || task === undefined || !isNew) {
      return;
    }
    job.hasBegun ||= how !== "lost";
    this.#weighEnd(operation, task, atMs);
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

  /** Records the runs of a runner incarnation as lost after it has ended. */
  endIncarnation(incarnation: RunnerIncarnation, atMs: number): void {
    for (
      const { id, runNumber } of this.findLoad(incarnation).running.values()
    ) {
      this.end({
        type: "end",
        task: id,
        runNumber,
        how: "lost",
        saved: "",
        maxAttempts: Infinity,
      }, atMs);
    }
    this.#loads.forget(incarnation);
  }

  /** Removes jobs that ended more than {@link JOB_KEEP_MS} ago. */
  prune(atMs: number): void {
    this.evidence.prune(atMs);
    const beforeMs = atMs - JOB_KEEP_MS;
    for (const job of this.#ended.takeEndedBefore(beforeMs)) {
      this.#expired.add(job);
    }
    for (const job of this.#expired) {
      // The wall clock of a later leader may be behind. A voter that begins from
      // a snapshot does not know that the job was too old before.
      const isOld = (job.endedAtMs ?? Infinity) < beforeMs;
      if (isOld && !job.hasRunningTask) {
        this.#expired.delete(job);
        this.#jobs.delete(job.spec.jobId);
      }
    }
  }

  /** Restores a job from a snapshot. */
  restore(stored: StoredJob): void {
    const job = JobRecord.restore(stored);
    this.#jobs.set(job.spec.jobId, job);
    if (job.outcome === undefined) {
      this.#open.add(job);
    }
    if (job.endedAtMs !== undefined) {
      this.#ended.add(job, job.endedAtMs);
    }
    for (const { task: id } of stored.tasks) {
      const task = job.findTask(id);
      if (task?.state === "running") {
        this.#loads.addRun(job, id, task);
      }
    }
  }

  #weighEnd(
    { fault, how, task: id }: EndOperation,
    task: TaskRecord,
    atMs: number,
  ): void {
    const { changedAtMs: startedAtMs, failedOn = [], life } = task;
    if (life === undefined) {
      return;
    }
    if (how === "done") {
      this.evidence.recordDone(life, startedAtMs);
      task.failedOn = undefined;
    } else if (how === "failed" || fault !== undefined) {
      const failedBeforeOn = failedOn;
      this.evidence.recordFailure(
        { atMs, failedBeforeOn, life, startedAtMs, task: id },
      );
      const others = failedOn.filter((other) => other !== life.runnerId);
      task.failedOn = [...others, life.runnerId].slice(-MAX_FAILED_ON_COUNT);
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

  // When one member of a gang is done, the whole gang counts as done.
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

  // A failed member fails the whole gang, so the failed runs of all members
  // count together.
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
    this.#ended.add(job, atMs);
    for (const steps of job.occurrences) {
      steps.forEach(({ tasks }) => this.#loads.raiseVersions(tasks));
    }
  }

  #removeRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    this.#loads.removeRun(job, id, task);
    this.unconfirmed.delete({ task: id, runNumber: task.runNumber });
    this.#raiseGangVersions(job, id);
  }

  // When a member of a gang has ended, the runs of the whole gang become
  // obsolete.
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
