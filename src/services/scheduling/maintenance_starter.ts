/** Sends the orders that begin the maintenance of VMs. */
import { formatTaskId, type RunningTask } from "../../domain/index.ts";
import { StepAvailability } from "../../decisions/index.ts";
import type { Clock, Logger, VmControl, VmFailure } from "../../ports/index.ts";
import {
  type MaintenanceOrder,
  MaintenanceOrders,
} from "./maintenance_orders.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { MAX_MAINTENANCE_ORDERS_IN_FLIGHT } from "./timing.ts";

/** Options of {@link MaintenanceStarter}. */
export interface MaintenanceStarterOptions {
  readonly log: SchedulingLog;
  readonly fleet: Pick<RunnerFleet, "findStatus" | "retire">;
  readonly vms: Pick<VmControl, "beginMaintenance">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
}

/** A VM of a wave and the runner that was listed on it. */
export interface WaveVm extends MaintenanceOrder {
  readonly runnerId: string | undefined;
}

/**
 * Orders maintenance within the limits of unavailable tasks, and knows which
 * tasks are unavailable. Each order is in the log before it is sent, so that the
 * next leader counts the VM as unavailable whatever the outcome of the call.
 */
export class MaintenanceStarter {
  /** What this leader knows of its orders. */
  readonly orders = new MaintenanceOrders();
  readonly #options: MaintenanceStarterOptions;
  readonly #availability: StepAvailability;
  /**
   * Evicted runs, which count as unavailable although they may still be
   * reported.
   */
  readonly #evicted = new Set<string>();
  /**
   * Monotonic time (ms), by runner id, of the newest order that may have been
   * carried out then or before. Whether it ended the runs there shows only in a
   * later answer of the runner.
   */
  readonly #doubtfulAtMsByRunner = new Map<string, number>();
  /** Runs that orders without an answer so far may end. */
  readonly #stopping = new Set<RunningTask>();

  constructor(options: MaintenanceStarterOptions) {
    this.#options = options;
    this.#availability = new StepAvailability({
      jobs: options.log.state.jobs,
      findPercent: (run) => this.#findPercent(run),
    });
  }

  /**
   * Tells whether runs may be stopped, beside those that orders may end now.
   *
   * @param runs - Runs that would stop at the same time.
   */
  mayStop(runs: readonly RunningTask[]): boolean {
    return this.#availability.mayStop([
      ...new Set([...this.#stopping, ...runs]),
    ]);
  }

  /**
   * Lists the runs on a runner.
   *
   * @param runnerId - Id of the runner; undefined for none.
   */
  listRunning(runnerId: string | undefined): RunningTask[] {
    const { jobs, runners } = this.#options.log.state;
    const runner = runners.get(runnerId ?? "");
    return runner === undefined
      ? []
      : [...jobs.findLoad(runner).running.values()];
  }

  /**
   * Counts a run as unavailable, because it is being moved away.
   *
   * @param run - The run.
   */
  recordEviction(run: RunningTask): void {
    this.#evicted.add(formatRun({ task: run.id, ...run }));
  }

  /**
   * Begins the maintenance of VMs, as far as their tasks may stop.
   *
   * @param wanted - VMs whose runners get no new work any more. An earlier
   * leader may have logged the orders of some and sent them or not.
   */
  async begin(wanted: readonly WaveVm[]): Promise<void> {
    const queue = this.#chooseAllowed(wanted);
    if (!await this.#logOrders(queue)) {
      return;
    }
    const sendNext = async () => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        await this.#send(next);
      }
    };
    await Promise.all(
      Array.from({ length: MAX_MAINTENANCE_ORDERS_IN_FLIGHT }, sendNext),
    );
  }

  // Returns the VMs whose tasks may all stop at the same time.
  #chooseAllowed(wanted: readonly WaveVm[]): WaveVm[] {
    const runs: RunningTask[] = [];
    return wanted.filter(({ runnerId }) => {
      const own = this.listRunning(runnerId);
      const isAllowed = this.mayStop([...runs, ...own]);
      if (isAllowed) {
        runs.push(...own);
      }
      return isAllowed;
    });
  }

  // Returns whether the log has the orders about all of these VMs.
  async #logOrders(chosen: readonly WaveVm[]): Promise<boolean> {
    const { log } = this.#options;
    const unlogged = chosen.filter(({ vm, waveId }) =>
      log.state.waves.get(waveId)?.progress[vm] !== "ordered"
    );
    if (unlogged.length === 0) {
      return true;
    }
    const proposed = await log.propose(
      unlogged.map(({ vm, waveId }) => ({
        type: "upkeep",
        waveId,
        vm,
        state: "ordered",
      })),
    );
    if (proposed.isOk) {
      unlogged.forEach((order) => this.orders.recordLogged(order));
    }
    return proposed.isOk;
  }

  // A leader that finds an order in the log may be the first to send it, so the
  // limits hold for it too.
  async #send(order: WaveVm): Promise<void> {
    const { vm, waveId, runnerId } = order;
    const { clock, fencingToken, fleet, holderId, log, logger, vms } =
      this.#options;
    const running = this.listRunning(runnerId);
    if (!log.holdsLeaderLease || !this.mayStop(running)) {
      return;
    }
    const isFirst = this.orders.recordSent(order);
    // By the time of the answer, the next incarnation may have taken its place.
    const runner = log.state.runners.get(runnerId ?? "");
    running.forEach((run) => this.#stopping.add(run));
    const source = { holderId, fencingToken };
    const begun = await vms.beginMaintenance(vm, waveId, source);
    const isDoubtful = !isFirst ||
      (begun.isErr && begun.error.refusal === undefined);
    if (isDoubtful && runnerId !== undefined) {
      this.#doubtfulAtMsByRunner.set(runnerId, clock.monotonicMs());
    }
    const fields = { waveId, vm, runnerId, runCount: running.length };
    if (begun.isErr) {
      logger.warn(
        { ...fields, failure: begun.error },
        "failed to begin the maintenance of a VM",
      );
      if (isFinal(begun.error)) {
        this.orders.recordRefused(order, clock.steadyMs());
      }
    } else {
      logger.info(fields, "began the upkeep of a VM");
      this.orders.recordConfirmed(order, clock.steadyMs());
      if (runner !== undefined && isFirst) {
        fleet.retire(runner);
      }
    }
    running.forEach((run) => this.#stopping.delete(run));
  }

  #findPercent(run: RunningTask): number {
    const status = this.#options.fleet.findStatus(run.life);
    const isEvicted = this.#evicted.has(formatRun({ task: run.id, ...run }));
    const doubtfulAtMs = this.#doubtfulAtMsByRunner.get(run.life.runnerId) ??
      -Infinity;
    return status === undefined || isEvicted ||
        status.answeredAtMs <= doubtfulAtMs
      ? 0
      : status.findPercent(formatTaskId(run.id));
  }
}

// A stale fence or a rate limit says nothing about the VM.
function isFinal({ refusal }: VmFailure): boolean {
  return refusal === "busy" || refusal === "invalid" || refusal === "otherWave";
}
