/** Starts of earlier leaders that a successor of a runner may have carried out. */
import type { RunnerLoad, RunningTask } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import { type RunnerStatus, SUCCESSOR_LEASE_MS } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link InheritedStarts}. */
export interface InheritedStartsOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly status: RunnerStatus;
  readonly findLoad: () => RunnerLoad;
}

/**
 * The starts on one runner incarnation that no earlier leader has recorded as
 * confirmed. Their requests may have reached a successor, where leases may last
 * as long as a runner accepts.
 */
export class InheritedStarts {
  readonly #options: InheritedStartsOptions;
  readonly #names: ReadonlySet<string>;
  readonly #untilMs: number;

  /** @param options - The log when the leader begins to serve the runner. */
  constructor(options: InheritedStartsOptions) {
    this.#options = options;
    const { clock, findLoad, log } = options;
    const { unconfirmed } = log.state.jobs;
    this.#names = new Set(
      [...findLoad().running.values()].map(nameRun).filter((start) =>
        unconfirmed.has(start)
      ).map(formatRun),
    );
    this.#untilMs = clock.steadyMs() + SUCCESSOR_LEASE_MS;
  }

  /** Time until no successor can run any of them (ms); 0 from then on. */
  get leftMs(): number {
    const { clock, findLoad } = this.#options;
    const isAnyLeft = [...findLoad().running.values()].some((run) =>
      this.mayRunAtSuccessor(run)
    );
    return isAnyLeft ? Math.max(0, this.#untilMs - clock.steadyMs()) : 0;
  }

  /**
   * Tells whether a successor may have carried out a start. It cannot once the
   * incarnation itself has answered this leader.
   *
   * @param run - A run that is placed on the runner.
   */
  mayRunAtSuccessor(run: RunningTask): boolean {
    const { clock, status } = this.#options;
    return !status.isSynced && clock.steadyMs() < this.#untilMs &&
      this.#names.has(formatRun(nameRun(run)));
  }
}

function nameRun({ id: task, runNumber }: RunningTask) {
  return { task, runNumber };
}
