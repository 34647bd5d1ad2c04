/** Conditions that hold when a start is planned and whenever it is sent. */
import {
  findPoolOfJob,
  findQueueOfJob,
  indexTeams,
  isSameIncarnation,
  isWithinLimit,
  type Runner,
  type RunningTask,
  type SchedulingState,
} from "../../domain/index.ts";
import type { StepReference } from "./ready_step.ts";

/** Why a runner gets no new work. */
export type RunnerObstacle =
  | "draining"
  /** Its zone is out of service. */
  | "zoneOut"
  /** Its VM is going to be maintained or moved. */
  | "cordoned";

/** Why the start of a run that is placed on a runner must not be sent. */
export type StartObstacle =
  | RunnerObstacle
  /** The log no longer has the runner incarnation. */
  | "removed"
  /** The job has ended, or its gang has broken. */
  | "obsolete"
  /** The job's queue now uses another pool. */
  | "otherPool"
  /** The team uses more than its limit, which was lowered. */
  | "teamLimit"
  /** The queue needs advice, and there is no valid ticket. */
  | "noTicket";

/** Options of {@link StartConditions}. */
export interface StartConditionsOptions {
  /** Returns whether a runner's VM is being drained for maintenance or a move. */
  readonly isCordoned: (runner: Runner) => boolean;
  /** Finds the valid ticket of a task for a runner; undefined for none. */
  readonly findTicket: (
    task: StepReference,
    runner: Runner,
  ) => string | undefined;
}

/**
 * Decides by the present state whether a start may go to a runner. The state may
 * change between the plan of a start and its request, more so when the request is
 * sent again, or by the next leader.
 */
export class StartConditions {
  readonly #options: StartConditionsOptions;

  /** @param options - Cordons and tickets, which the log does not hold. */
  constructor(options: StartConditionsOptions) {
    this.#options = options;
  }

  /**
   * Finds why a runner gets no new work.
   *
   * @param state - The scheduling state.
   * @param runner - A runner of the state.
   * @returns The first obstacle, or undefined if there is none.
   */
  findRunnerObstacle(
    { zonesOut }: Pick<SchedulingState, "zonesOut">,
    runner: Runner,
  ): RunnerObstacle | undefined {
    if (runner.isDraining) {
      return "draining";
    }
    if (zonesOut.has(runner.zone)) {
      return "zoneOut";
    }
    return this.#options.isCordoned(runner) ? "cordoned" : undefined;
  }

  /**
   * Finds why the start of a run must not be sent.
   *
   * @param state - The scheduling state.
   * @param run - A run that is placed on a runner.
   * @returns The first obstacle, or undefined if there is none.
   */
  findObstacle(
    state: SchedulingState,
    run: RunningTask,
  ): StartObstacle | undefined {
    const { id, job, life, runNumber } = run;
    const runner = state.runners.get(life.runnerId);
    if (runner === undefined || !isSameIncarnation(runner, life)) {
      return "removed";
    }
    if (job.isRunObsolete(id, runNumber)) {
      return "obsolete";
    }
    return this.findRunnerObstacle(state, runner) ??
      this.#findCatalogObstacle(state, run, runner);
  }

  #findCatalogObstacle(
    { catalog, jobs }: SchedulingState,
    { id, job }: RunningTask,
    runner: Runner,
  ): StartObstacle | undefined {
    if (findPoolOfJob(catalog, job) !== runner.pool) {
      return "otherPool";
    }
    const teamId = job.team ?? "";
    const team = indexTeams(catalog).byId.get(teamId);
    const isWithin = team === undefined ||
      isWithinLimit(jobs.findUsedByTeam(teamId), team.limit);
    if (!isWithin) {
      return "teamLimit";
    }
    const needsTicket = findQueueOfJob(catalog, job)?.advice !== undefined;
    return needsTicket && this.#options.findTicket(id, runner) === undefined
      ? "noTicket"
      : undefined;
  }
}
