/** Task of the leader that carries out maintenance waves. */
import {
  formatTaskId,
  type Runner,
  type WaveRecord,
} from "../../domain/index.ts";
import {
  chooseMaintenanceTurns,
  countAwayVms,
  type MaintenanceCandidate,
  type MaintenancePlan,
  type MaintenancePolicy,
} from "../../decisions/index.ts";
import type { Clock, ListedVm, Logger, VmControl } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import type { MaintenanceOrder } from "./maintenance_orders.ts";
import { MaintenanceStarter } from "./maintenance_starter.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { WAVE_TICK_MS } from "./timing.ts";
import { VmPresence } from "./vm_presence.ts";
import { type CompletedListing, WaveProgress } from "./wave_progress.ts";

/** Options of {@link WaveTask}. */
export interface WaveTaskOptions {
  readonly log: SchedulingLog;
  readonly fleet: RunnerFleet;
  readonly vms: VmControl;
  readonly policy: MaintenancePolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly changed: Notifier;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
}

/** The next actions of one wave. */
interface WavePlan {
  readonly waveId: number;
  /** VMs whose order is in the log, and has to be sent again or at last. */
  readonly again: readonly string[];
  readonly plan: MaintenancePlan;
}

/**
 * Longest pause without an open wave, in milliseconds; a change ends it early.
 */
const IDLE_WAIT_MS = 1_000;

/**
 * Drains VMs, begins their maintenance within budgets and records the progress.
 */
export class WaveTask {
  readonly #options: WaveTaskOptions;
  readonly #starter: MaintenanceStarter;
  readonly #presence: VmPresence;
  readonly #progress: WaveProgress;
  #cordonedRunnerIds: ReadonlySet<string> = new Set();

  constructor(options: WaveTaskOptions) {
    this.#options = options;
    this.#starter = new MaintenanceStarter(options);
    this.#presence = new VmPresence({
      hasRunner: (runnerId) => options.log.state.runners.has(runnerId),
    });
    this.#progress = new WaveProgress({
      ...options,
      orders: this.#starter.orders,
      presence: this.#presence,
    });
  }

  /**
   * Returns whether a runner gets no work because its VM is about to be
   * maintained.
   */
  isCordoned(runner: Runner): boolean {
    return this.#cordonedRunnerIds.has(runner.runnerId);
  }

  /**
   * Carries out waves until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { changed, clock } = this.#options;
    while (!signal.aborted) {
      if (this.#listOpen().length === 0) {
        this.#cordonedRunnerIds = new Set();
        await waitFor({
          clock,
          notifier: changed,
          timeoutMs: IDLE_WAIT_MS,
          signal,
          isMet: () => this.#listOpen().length > 0,
        });
        continue;
      }
      await this.#advance();
      await clock.sleep(WAVE_TICK_MS, signal);
    }
  }

  #listOpen(): WaveRecord[] {
    const { log } = this.#options;
    return [...log.state.waves.values()].filter(({ vms, progress }) =>
      vms.some((vm) => progress[vm] !== "done")
    );
  }

  async #advance(): Promise<void> {
    const { clock, log, logger, vms } = this.#options;
    if (!log.holdsLeaderLease) {
      return;
    }
    const requestedAtMs = clock.monotonicMs();
    const listed = await vms.list();
    if (listed.isErr) {
      logger.warn({ failure: listed.error }, "the VMs could not be listed");
      return;
    }
    const waves = this.#listOpen();
    this.#presence.record(
      waves.flatMap((wave) => wave.vms),
      listed.value,
      requestedAtMs,
    );
    const byName = new Map(
      listed.value.vms.map((entry) => [
        entry.vm,
        this.#presence.complete(entry, requestedAtMs),
      ]),
    );
    const listing = { byName, requestedAtMs };
    for (const wave of waves) {
      await this.#progress.record(wave, listing);
    }
    await this.#orderNext(listing);
  }

  async #orderNext(listing: CompletedListing): Promise<void> {
    const { byName } = listing;
    const cordoned = new Set<string>();
    const plans = this.#planAll(listing);
    for (const { again, plan, waveId } of plans) {
      this.#cordon([...again, ...plan.cordon], byName, cordoned);
      for (const vm of [...again, ...plan.evacuate]) {
        this.#evictOne(waveId, vm, byName.get(vm));
      }
    }
    const again = plans.flatMap((plan) => toOrders(plan, plan.again));
    const begin = await this.#confirmIdle(plans, listing);
    await this.#starter.begin(
      [...again, ...begin].map((order) => ({
        ...order,
        runnerId: byName.get(order.vm)?.runnerId,
      })),
    );
    this.#cordonedRunnerIds = cordoned;
  }

  // A plan of the scheduler that was made before the cordon may still place work
  // on these VMs. Once a later entry of the log has taken effect, it has too, or
  // it never will.
  async #confirmIdle(
    plans: readonly WavePlan[],
    listing: CompletedListing,
  ): Promise<MaintenanceOrder[]> {
    const { log } = this.#options;
    const isNeeded = plans.some(({ plan }) => plan.begin.length > 0);
    if (!isNeeded || (await log.propose([])).isErr) {
      return [];
    }
    const cordonedVms = new Set(plans.flatMap(({ plan }) => plan.cordon));
    return this.#planAll(listing).flatMap((replanned) =>
      toOrders(
        replanned,
        replanned.plan.begin.filter((vm) => cordonedVms.has(vm)),
      )
    );
  }

  #planAll({ byName }: CompletedListing): WavePlan[] {
    const { orders } = this.#starter;
    const waves = this.#listOpen();
    const turns = chooseMaintenanceTurns({
      waves,
      findOutcome: (waveId, vm) => orders.findOutcome({ waveId, vm }),
      nowMs: this.#options.clock.nowMs(),
    });
    const begun = new Set<string>();
    return waves.map((wave) => {
      const { progress, vms, waveId } = wave;
      const own = vms.filter((vm) => turns.get(vm)?.waveId === waveId);
      // What runs on a VM that the list does not show could not be counted.
      const again = own.filter((vm) =>
        progress[vm] === "ordered" &&
        orders.findOutcome({ waveId, vm }) !== "confirmed" &&
        (byName.get(vm)?.state ?? "unknown") !== "unknown"
      );
      const awayCount = countAwayVms(wave, turns) +
        vms.filter((vm) => begun.has(vm)).length;
      const waiting = own.filter((vm) => progress[vm] === undefined);
      const plan = this.#plan(wave, waiting, byName, awayCount);
      plan.begin.forEach((vm) => begun.add(vm));
      return { waveId, again, plan };
    });
  }

  #plan(
    wave: WaveRecord,
    waiting: readonly string[],
    byName: ReadonlyMap<string, ListedVm>,
    awayCount: number,
  ): MaintenancePlan {
    const { clock, policy } = this.#options;
    const candidates = waiting
      .flatMap((vm) => byName.get(vm) ?? [])
      .filter(({ state }) => state === "up")
      .map((listed) => this.#createCandidate(listed));
    return policy.plan({
      candidates,
      allowedStartCount: Math.max(0, wave.maxAwayCount - awayCount),
      leftMs: wave.completeByMs - clock.nowMs(),
      maxAwayCount: wave.maxAwayCount,
    });
  }

  #cordon(
    names: readonly string[],
    byName: ReadonlyMap<string, ListedVm>,
    cordoned: Set<string>,
  ): void {
    for (const vm of names) {
      const runnerId = byName.get(vm)?.runnerId;
      if (runnerId !== undefined) {
        cordoned.add(runnerId);
      }
    }
    this.#cordonedRunnerIds = new Set([
      ...this.#cordonedRunnerIds,
      ...cordoned,
    ]);
  }

  #createCandidate({ runnerId, vm }: ListedVm): MaintenanceCandidate {
    const running = this.#starter.listRunning(runnerId);
    return {
      vm,
      running,
      isProtected: !this.#starter.mayStop(running),
      guardedSteps: running
        .filter(({ step }) => step.isEndless && step.maxAwayCount !== undefined)
        .map(({ id }) => `${id.jobId}.${id.occurrence}.${id.step}`),
      isCordoned: runnerId !== undefined &&
        this.#cordonedRunnerIds.has(runnerId),
    };
  }

  // Evicts one task at a time: each counts as unavailable until it is back at
  // 100 %.
  #evictOne(waveId: number, vm: string, listed: ListedVm | undefined): void {
    const { fleet, logger } = this.#options;
    const runnerId = listed?.state === "up" ? listed.runnerId : undefined;
    const running = this.#starter.listRunning(runnerId);
    if (this.#starter.mayStop(running)) {
      return;
    }
    const run = running.find((candidate) =>
      candidate.step.isEndless && this.#starter.mayStop([candidate])
    );
    if (run !== undefined) {
      const task = formatTaskId(run.id);
      logger.info({ waveId, vm, runnerId, task }, "moves an endless task away");
      this.#starter.recordEviction(run);
      fleet.evict(run);
    }
  }
}

function toOrders(
  { waveId }: WavePlan,
  vms: readonly string[],
): MaintenanceOrder[] {
  return vms.map((vm) => ({ waveId, vm }));
}
