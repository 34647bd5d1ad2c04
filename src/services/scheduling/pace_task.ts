/**
 * Task of the leader that slows best-effort runs where they disturb tasks that
 * have a target for tail latency.
 */
import {
  formatTaskId,
  type Runner,
  type RunningTask,
} from "../../domain/index.ts";
import type { PacePolicy } from "../../decisions/index.ts";
import type { Clock, Logger, RunnerClient } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { LATE_REQUEST_MS, PACE_TICK_MS } from "./timing.ts";

/** Options of {@link PaceTask}. */
export interface PaceTaskOptions {
  readonly log: SchedulingLog;
  readonly fleet: Pick<RunnerFleet, "findStatus">;
  readonly client: Pick<RunnerClient, "pace">;
  readonly policy: PacePolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fencingToken: number;
}

/** Pace at which a run starts, in percent. */
const FULL_PERCENT = 100;

/**
 * Paces best-effort runs by the tail latency of tasks on the same runner that
 * have a target for it.
 */
export class PaceTask {
  readonly #options: PaceTaskOptions;
  /** Confirmed pace by run, in percent; a run starts at 100. */
  readonly #percents = new Map<string, number>();
  /**
   * Runs that may have another pace: that of an earlier leader, or of a request
   * without an answer.
   */
  readonly #unknown: Set<string>;
  /**
   * Monotonic time until which a request without an answer may be carried out
   * (ms), also after later ones, by run.
   */
  readonly #lateUntilMs = new Map<string, number>();

  /** @param options - The log when the leader begins to lead. */
  constructor(options: PaceTaskOptions) {
    this.#options = options;
    const { jobs, runners } = options.log.state;
    const runs = [...runners.values()].flatMap((runner) => [
      ...jobs.findLoad(runner).running.values(),
    ]);
    this.#unknown = new Set(
      runs.filter(({ step }) => step.usesLeftovers).map(nameRun),
    );
  }

  /**
   * Paces runs until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.#options;
    while (!signal.aborted) {
      if (log.holdsLeaderLease) {
        this.#doubtLateRequests();
        const runners = [...log.state.runners.values()];
        await Promise.all(runners.map((runner) => this.#pace(runner)));
      }
      await clock.sleep(PACE_TICK_MS, signal);
    }
  }

  // What was confirmed meanwhile may have been undone.
  #doubtLateRequests(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [key, untilMs] of this.#lateUntilMs) {
      if (untilMs <= nowMs) {
        this.#lateUntilMs.delete(key);
        this.#unknown.add(key);
      }
    }
  }

  async #pace(runner: Runner): Promise<void> {
    const { fleet, log } = this.#options;
    const runs = [...log.state.jobs.findLoad(runner).running.values()];
    const bestEffortRuns = runs.filter(({ step }) => step.usesLeftovers);
    const serving = runs.filter(({ step }) => step.tailTargetMs > 0);
    const status = fleet.findStatus(runner);
    if (bestEffortRuns.length === 0 || !status?.isOperational) {
      return;
    }
    // The pace recovers as well once the tasks that it was meant for have left.
    const worstShare = Math.max(
      0,
      ...serving.map(({ id, step }) =>
        (status.loads.get(formatTaskId(id)) ?? 0) / step.tailTargetMs
      ),
    );
    await Promise.all(bestEffortRuns.map(async (run) => {
      const wanted = this.#choosePercent(nameRun(run), worstShare);
      if (wanted !== undefined) {
        await this.#send(runner, run, wanted, worstShare);
      }
    }));
  }

  // Returns undefined where the pace stays as it is. A pace that is not known may
  // be any: near the target, the run gets what one at the lowest pace would get.
  // Far from it, it gets what one that has just started would get.
  #choosePercent(key: string, worstShare: number): number | undefined {
    const { policy } = this.#options;
    const choose = (percent: number) => policy.choose({ worstShare, percent });
    if (!this.#unknown.has(key)) {
      const percent = this.#percents.get(key) ?? FULL_PERCENT;
      const wanted = choose(percent);
      return wanted === percent ? undefined : wanted;
    }
    const lowest = choose(0);
    const highest = choose(FULL_PERCENT);
    if (highest < FULL_PERCENT) {
      return lowest;
    }
    return lowest > 0 ? highest : undefined;
  }

  async #send(
    runner: Runner,
    run: RunningTask,
    percent: number,
    worstShare: number,
  ): Promise<void> {
    const { client, clock, fencingToken, logger } = this.#options;
    const { id: task, runNumber } = run;
    const request = { task, runNumber, percent };
    const paced = await client.pace(runner, request, fencingToken);
    const fields = {
      task: formatTaskId(task),
      runNumber,
      runnerId: runner.runnerId,
      percent,
      worstShare,
    };
    if (paced.isErr) {
      logger.warn(
        { ...fields, failure: paced.error },
        "failed to set the pace of a best-effort run",
      );
      if (paced.error.refusal === undefined) {
        const untilMs = clock.monotonicMs() + LATE_REQUEST_MS;
        this.#unknown.add(nameRun(run));
        this.#lateUntilMs.set(nameRun(run), untilMs);
      }
      return;
    }
    this.#percents.set(nameRun(run), percent);
    this.#unknown.delete(nameRun(run));
    logger.info(fields, "set the pace of a best-effort run");
  }
}

function nameRun({ id: task, runNumber }: RunningTask): string {
  return formatRun({ task, runNumber });
}
