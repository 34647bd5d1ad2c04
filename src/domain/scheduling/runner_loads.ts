/** Where tasks run, and what they hold there and of their team's limit. */
import { addAmounts, type Amounts, NO_AMOUNTS } from "./amounts.ts";
import { formatTaskId, type JobStep, type TaskId } from "./job.ts";
import type { JobRecord, TaskRecord } from "./job_record.ts";
import { formatIncarnation, type RunnerIncarnation } from "./runner.ts";

/** A run that was started and whose end is not recorded. */
export interface RunningTask {
  readonly job: JobRecord;
  readonly id: TaskId;
  readonly step: JobStep;
  readonly runNumber: number;
  readonly saved: string;
  readonly life: RunnerIncarnation;
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

/** Runs by lifetime of their runner, and what each team has running. */
export class RunnerLoads {
  readonly #loads = new Map<string, MutableLoad>();
  readonly #usedByTeam = new Map<string, Amounts>();

  /** Finds what runs in one lifetime of a runner. */
  find(life: RunnerIncarnation): RunnerLoad {
    return this.#loads.get(formatIncarnation(life)) ?? NO_LOAD;
  }

  /** Sums what a team has running over all runners. */
  findUsedByTeam(team: string): Amounts {
    return this.#usedByTeam.get(team) ?? NO_AMOUNTS;
  }

  /** Forgets a lifetime in which nothing runs any more. */
  forget(life: RunnerIncarnation): void {
    this.#loads.delete(formatIncarnation(life));
  }

  /** Takes note of a task that runs. */
  addRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    if (step === undefined || task.life === undefined) {
      return;
    }
    const key = formatIncarnation(task.life);
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
    load.used = addAmounts(load.used, computeReservedAmounts(step));
    this.#countTeam(job, step.needs, 1);
  }

  /** Takes note of a task that runs no longer. */
  removeRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    const load = task.life && this.#loads.get(formatIncarnation(task.life));
    task.life = undefined;
    if (step !== undefined && load?.running.delete(formatTaskId(id))) {
      load.used = addAmounts(load.used, computeReservedAmounts(step), -1);
      load.version += 1;
      this.#countTeam(job, step.needs, -1);
    }
  }

  #countTeam(job: JobRecord, needs: Amounts, factor: number): void {
    if (job.team !== undefined) {
      const used = addAmounts(this.findUsedByTeam(job.team), needs, factor);
      this.#usedByTeam.set(job.team, used);
    }
  }

  /** Tells the runners of some tasks that these may be wanted no longer. */
  raiseVersions(tasks: readonly TaskRecord[]): void {
    for (const { life } of tasks) {
      const load = life && this.#loads.get(formatIncarnation(life));
      if (load !== undefined) {
        load.version += 1;
      }
    }
  }
}

/**
 * Finds what a task of a step holds of a runner's capacity.
 *
 * @param step - The step.
 * @returns Its needs, without processor for tasks that live on leftovers.
 */
export function computeReservedAmounts(step: JobStep): Amounts {
  return step.usesLeftovers ? { ...step.needs, cpuMillicores: 0 } : step.needs;
}
