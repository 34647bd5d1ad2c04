/** Task of the leader that places waiting tasks on runners. */
import {
  addAmounts,
  computeReservedAmounts,
  formatTaskId,
  type Runner,
  type SchedulingOperation,
  type SchedulingState,
} from "../../domain/index.ts";
import type {
  Candidate,
  PlannedStart,
  ReadyStep,
  RunnerPaces,
  StartConditions,
  StartPlanner,
} from "../../decisions/index.ts";
import type { Clock, LeaderMetrics, Logger } from "../../ports/index.ts";
import type { Notifier } from "../../tasks/index.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { RunnerTrust } from "./runner_trust.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import {
  PLAN_PAUSE_MS,
  PROPOSE_RETRY_MS,
  SCHEDULER_TICK_MS,
} from "./timing.ts";

/** Options of {@link Scheduler}. */
export interface SchedulerOptions {
  readonly log: SchedulingLog;
  readonly planner: StartPlanner;
  readonly trust: RunnerTrust;
  /** Compares the runners by the duration of their runs; none by default. */
  readonly paces?: Pick<RunnerPaces, "findSlowness"> | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: LeaderMetrics;
  /** Notified when the scheduling state or a runner's status has changed. */
  readonly changed: Notifier;
  readonly findStatus: (runner: Runner) => RunnerStatus | undefined;
  /** Finds the runners that may run a step; undefined when any may. */
  readonly findApproved: (step: ReadyStep) => ReadonlySet<string> | undefined;
  /** What must hold for a runner to get work, also when a start is sent. */
  readonly conditions: Pick<StartConditions, "findRunnerObstacle">;
  /** Returns whether a runner's VM is going to be maintained in an open wave. */
  readonly awaitsMaintenance: (runner: Runner) => boolean;
}

/** Plans starts and writes them to the log; the runners' tasks carry them out. */
export class Scheduler {
  readonly #options: SchedulerOptions;

  constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  /**
   * Places tasks until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, logger } = this.#options;
    let isOutcomeKnown = true;
    while (!signal.aborted) {
      // A plan whose outcome is unknown may still be applied. It has been, or
      // never will be, once a later entry of the log is.
      if (!isOutcomeKnown) {
        isOutcomeKnown = (await log.propose([])).isOk;
        if (!isOutcomeKnown) {
          await clock.sleep(PROPOSE_RETRY_MS, signal);
        }
        continue;
      }
      const starts = log.holdsLeaderLease ? this.#plan() : [];
      if (starts.length === 0) {
        await this.#waitForChange(signal);
        await clock.sleep(PLAN_PAUSE_MS, signal);
        continue;
      }
      // A plan whose outcome is unknown may still take effect later.
      const proposed = await log.propose(
        starts.map(toOperation),
        () => this.#logStarts(starts),
      );
      if (proposed.isErr) {
        logger.warn(
          { failure: proposed.error, tasks: starts.map(formatStart) },
          "failed to record a plan in the log; planning again",
        );
        isOutcomeKnown = false;
        await clock.sleep(PROPOSE_RETRY_MS, signal);
      }
    }
  }

  #plan(): PlannedStart[] {
    const { log, metrics, planner, clock } = this.#options;
    const startedMs = clock.monotonicMs();
    const starts = planner.plan({
      state: log.state,
      candidates: this.#listCandidates(log.state),
      findApproved: this.#options.findApproved,
      nowMs: clock.nowMs(),
    });
    metrics.recordPlan(clock.monotonicMs() - startedMs, starts.length);
    return starts;
  }

  #listCandidates(state: SchedulingState): Map<string, Candidate[]> {
    const { awaitsMaintenance, clock, paces, trust } = this.#options;
    const nowMs = clock.nowMs();
    const open = new Map<string, Runner[]>();
    for (const runner of state.runners.values()) {
      if (this.mayPlaceOn(runner)) {
        const pool = open.get(runner.pool) ?? [];
        pool.push(runner);
        open.set(runner.pool, pool);
      }
    }
    trust.refresh(open);
    const byPool = new Map<string, Candidate[]>();
    for (const [pool, runners] of open) {
      byPool.set(
        pool,
        runners.map((runner) => ({
          ...createCandidate(runner, state, awaitsMaintenance(runner)),
          probe: trust.findProbe(runner),
          isSlow: paces?.findSlowness(runner, nowMs) !== undefined,
        })),
      );
    }
    return byPool;
  }

  /** Lists the runners that may get work now, by pool; the caller owns them. */
  listCandidates(): Map<string, Candidate[]> {
    return this.#listCandidates(this.#options.log.state);
  }

  /** Returns whether a runner may get work now. */
  mayPlaceOn(runner: Runner): boolean {
    const { conditions, findStatus, log } = this.#options;
    const status = findStatus(runner);
    return status !== undefined && status.isOperational &&
      !status.hasOverdueRequest && status.refusedRuns.size === 0 &&
      conditions.findRunnerObstacle(log.state, runner) === undefined;
  }

  async #waitForChange(signal: AbortSignal): Promise<void> {
    const { clock, changed } = this.#options;
    const stop = new AbortController();
    const end = () => stop.abort("the wait is over");
    signal.addEventListener("abort", end, { once: true });
    await Promise.race([
      changed.wait(stop.signal),
      clock.sleep(SCHEDULER_TICK_MS, stop.signal),
    ]);
    signal.removeEventListener("abort", end);
    end();
  }

  #logStarts(starts: readonly PlannedStart[]): void {
    const { log, logger } = this.#options;
    const { version } = log.state.catalog;
    logger.info(
      { tasks: starts.map(formatStart), catalogVersion: version },
      "placed tasks",
    );
  }
}

function createCandidate(
  runner: Runner,
  state: SchedulingState,
  awaitsMaintenance: boolean,
): Candidate {
  const load = state.jobs.findLoad(runner);
  let latencyTargetCount = 0;
  let bestEffortCount = 0;
  let attainable = runner.capacity;
  for (const { step } of load.running.values()) {
    if (step.isEndless) {
      attainable = addAmounts(attainable, computeReservedAmounts(step), -1);
    }
    latencyTargetCount += Number(step.tailTargetMs > 0);
    bestEffortCount += Number(step.usesLeftovers);
  }
  const { runnerId, bornAtMs, zone, rack, labels, capacity } = runner;
  return {
    runnerId,
    bornAtMs,
    zone,
    rack,
    labels,
    free: addAmounts(capacity, load.used, -1),
    attainable,
    latencyTargetCount,
    bestEffortCount,
    awaitsMaintenance,
    isReserved: false,
  };
}

function formatStart({ task, runNumber, runnerId }: PlannedStart): string {
  return `${formatTaskId(task)}#${runNumber}@${runnerId}`;
}

function toOperation(start: PlannedStart): SchedulingOperation {
  return { type: "start", ...start };
}
