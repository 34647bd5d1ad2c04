/** Running tasks by runner, with the amounts that runners and teams use. */
import { addAmounts, type Amounts, NO_AMOUNTS } from "./amounts.ts";
import { IncarnationMap } from "./incarnation_map.ts";
import { formatTaskId, type JobStep, type TaskId } from "./job.ts";
import type { JobRecord, TaskRecord } from "./job_record.ts";
import type { RunnerIncarnation } from "./runner.ts";

/** A run that was started and whose end is not recorded yet. */
export interface RunningTask {
  readonly job: JobRecord;
  readonly id: TaskId;
  readonly step: JobStep;
  readonly runNumber: number;
  /** Saved progress from which the run started; empty for none. */
  readonly saved: string;
  /** Runner incarnation that executes the run. */
  readonly life: RunnerIncarnation;
  readonly startedAtMs: number;
}

/** The runs of one incarnation of a runner, with the amounts in use. */
export interface RunnerLoad {
  /** Runs by formatted task id. */
  readonly running: ReadonlyMap<string, RunningTask>;
  /** Amounts reserved by the runs; best-effort tasks reserve no CPU. */
  readonly used: Amounts;
  /** Increases when a run starts, ends, or may have become obsolete. */
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

/** Index of runs by runner incarnation, and of used amounts by team. */
export class RunnerLoads {
  readonly #loads = new IncarnationMap<MutableLoad>();
  readonly #usedByTeam = new Map<string, Amounts>();

  /** Finds the load of a runner incarnation; an unknown one has no load. */
  find(incarnation: RunnerIncarnation): RunnerLoad {
    return this.#loads.get(incarnation) ?? NO_LOAD;
  }

  /** Finds the amounts that a team uses on all runners. */
  findUsedByTeam(team: string): Amounts {
    return this.#usedByTeam.get(team) ?? NO_AMOUNTS;
  }

  /** Removes a runner incarnation, which must have no runs left. */
  forget(incarnation: RunnerIncarnation): void {
    this.#loads.delete(incarnation);
  }

  /** Adds the current run of a task to the load of its runner and its team. */
  addRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    if (step === undefined || task.life === undefined) {
      return;
    }
    const load = this.#loads.get(task.life) ??
      { running: new Map<string, RunningTask>(), used: NO_AMOUNTS, version: 0 };
    this.#loads.set(task.life, load);
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

  /** Removes a run from the load of its runner and its team. */
  removeRun(job: JobRecord, id: TaskId, task: TaskRecord): void {
    const step = job.spec.steps[id.step];
    const load = task.life && this.#loads.get(task.life);
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

  /**
   * Increases the load versions of the runners that run some tasks. The leader
   * then checks whether those runs have become obsolete.
   */
  raiseVersions(tasks: readonly TaskRecord[]): void {
    for (const { life } of tasks) {
      const load = life && this.#loads.get(life);
      if (load !== undefined) {
        load.version += 1;
      }
    }
  }
}

/**
 * Computes the amounts that a task of a step reserves on a runner.
 *
 * @param step - The step.
 * @returns The needs of the step; without CPU for best-effort tasks.
 */
export function computeReservedAmounts(step: JobStep): Amounts {
  return step.usesLeftovers ? { ...step.needs, cpuMillicores: 0 } : step.needs;
}
