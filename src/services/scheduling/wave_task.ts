/** Task of the leader that carries out maintenance waves. */
import {
  formatTaskId,
  type Runner,
  type RunnerIncarnation,
  type WaveRecord,
} from "../../domain/index.ts";
import type { MaintenancePolicy } from "../../decisions/index.ts";
import type { Clock, ListedVm, Logger, VmControl } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import { MaintenanceStarter } from "./maintenance_starter.ts";
import type { PoolAccounts } from "./pool_accounts.ts";
import type { PoolLoads } from "./pool_loads.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { MOVING_WAVE_TICK_MS, WAVE_TICK_MS } from "./timing.ts";
import { VmPresence } from "./vm_presence.ts";
import { type WavePlan, WavePlanner } from "./wave_planner.ts";
import { type CompletedListing, WaveProgress } from "./wave_progress.ts";

/** Options of {@link WaveTask}. */
export interface WaveTaskOptions {
  readonly log: SchedulingLog;
  readonly fleet: RunnerFleet;
  readonly vms: VmControl;
  readonly policy: MaintenancePolicy;
  readonly accounts: Pick<PoolAccounts, "recordListing">;
  readonly loads: Pick<PoolLoads, "list">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly changed: Notifier;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
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
  readonly #planner: WavePlanner;
  readonly #progress: WaveProgress;
  #cordonedRunnerIds: ReadonlySet<string> = new Set();
  #awaitingRunnerIds: ReadonlySet<string> = new Set();

  constructor(options: WaveTaskOptions) {
    this.#options = options;
    this.#starter = new MaintenanceStarter(options);
    this.#presence = new VmPresence({
      findRunner: (runnerId) => options.log.state.runners.get(runnerId),
    });
    const shared = {
      ...options,
      starter: this.#starter,
      presence: this.#presence,
      listOpen: () => this.#listOpen(),
      listRunners: () => [...options.log.state.runners.values()],
      listLoads: () => options.loads.list(),
    };
    this.#planner = new WavePlanner(shared);
    this.#progress = new WaveProgress({
      ...shared,
      orders: this.#starter.orders,
    });
  }

  /**
   * Returns whether a runner gets no work because its VM is about to be
   * maintained.
   */
  isCordoned({ runnerId }: RunnerIncarnation): boolean {
    return this.#cordonedRunnerIds.has(runnerId);
  }

  /**
   * Returns whether a runner's VM is going to be maintained in a wave that is not
   * complete.
   */
  awaitsMaintenance({ runnerId }: Runner): boolean {
    return this.#awaitingRunnerIds.has(runnerId);
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
        this.#awaitingRunnerIds = new Set();
        await waitFor({
          clock,
          notifier: changed,
          timeoutMs: IDLE_WAIT_MS,
          signal,
          isMet: () => this.#listOpen().length > 0,
        });
        continue;
      }
      const isMoving = await this.#advance();
      await clock.sleep(isMoving ? MOVING_WAVE_TICK_MS : WAVE_TICK_MS, signal);
    }
  }

  #listOpen(): WaveRecord[] {
    const { log } = this.#options;
    return [...log.state.waves.values()].filter(({ vms, progress }) =>
      vms.some((vm) => progress[vm] !== "done")
    );
  }

  // Returns whether tasks have to move before the maintenance of some VMs.
  async #advance(): Promise<boolean> {
    const { accounts, clock, log, logger, vms } = this.#options;
    if (!log.holdsLeaderLease) {
      return false;
    }
    const requestedAtMs = clock.steadyMs();
    const listed = await vms.list();
    if (listed.isErr) {
      logger.warn({ failure: listed.error }, "the VMs could not be listed");
      return false;
    }
    accounts.recordListing(listed.value.vms);
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
    this.#awaitingRunnerIds = new Set(
      this.#listOpen().flatMap(({ progress, vms }) =>
        vms.filter((vm) => progress[vm] === undefined)
          .flatMap((vm) => byName.get(vm)?.runnerId ?? [])
      ),
    );
    return await this.#orderNext(listing);
  }

  async #orderNext(listing: CompletedListing): Promise<boolean> {
    const { byName } = listing;
    const cordoned = new Set<string>();
    const plans = this.#planner.plan(listing, this.#cordonedRunnerIds);
    for (const { plan, send } of plans) {
      this.#cordon([...send, ...plan.cordon], byName, cordoned);
    }
    const cordonedVms = new Set(
      plans.flatMap(({ plan, send }) => [...send, ...plan.cordon]),
    );
    plans.forEach((wave) => this.#logPlan(wave, byName));
    const confirmed = await this.#confirmIdle(plans, listing);
    await this.#starter.begin(
      confirmed.flatMap(({ plan, send, waveId }) =>
        [...send, ...plan.begin].filter((vm) => cordonedVms.has(vm))
          .map((vm) => ({ waveId, vm, runnerId: byName.get(vm)?.runnerId }))
      ),
    );
    // A VM that begins has all of its tasks unavailable for the time of one.
    for (const { plan, send, waveId } of plans) {
      for (const vm of [...send, ...plan.evacuate]) {
        this.#evictOne(waveId, vm, byName.get(vm));
      }
    }
    this.#cordonedRunnerIds = cordoned;
    return plans.some(({ plan }) => plan.evacuate.length > 0);
  }

  #logPlan(
    { plan, send, waveId }: WavePlan,
    byName: ReadonlyMap<string, ListedVm>,
  ): void {
    const { clock, log, logger } = this.#options;
    const wave = log.state.waves.get(waveId);
    if (wave === undefined) {
      return;
    }
    logger.info({
      waveId,
      leftMs: Math.round(wave.completeByMs - clock.nowMs()),
      vmCount: wave.vms.length,
      orderedCount: countState(wave, "ordered"),
      doneCount: countState(wave, "done"),
      begin: countByPool([...send, ...plan.begin], byName),
      cordon: countByPool(plan.cordon, byName),
      evacuate: countByPool(plan.evacuate, byName),
    }, "planned maintenance");
  }

  // A plan of the scheduler that was made before the cordon may still place work
  // on these VMs. Once a later entry of the log has taken effect, it has too, or
  // it never will.
  async #confirmIdle(
    plans: readonly WavePlan[],
    listing: CompletedListing,
  ): Promise<readonly WavePlan[]> {
    if (!plans.some(({ plan }) => plan.begin.length > 0)) {
      return plans;
    }
    const proposed = await this.#options.log.propose([]);
    return proposed.isOk
      ? this.#planner.plan(listing, this.#cordonedRunnerIds)
      : plans.map(({ plan, ...rest }) => ({
        ...rest,
        plan: { ...plan, begin: [] },
      }));
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

  // Evicts one task at a time: each counts as unavailable until it is back at
  // 100 %.
  #evictOne(waveId: number, vm: string, listed: ListedVm | undefined): void {
    const { fleet, logger } = this.#options;
    const { orders } = this.#starter;
    const runnerId = listed?.state === "up" ? listed.runnerId : undefined;
    const running = this.#starter.listRunning(runnerId);
    const hasBegun = orders.findOutcome({ waveId, vm }) === "confirmed";
    if (hasBegun || this.#starter.mayStop(running)) {
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

function countState({ progress }: WaveRecord, wanted: string): number {
  return Object.values(progress).filter((state) => state === wanted).length;
}

function countByPool(
  names: readonly string[],
  byName: ReadonlyMap<string, ListedVm>,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const vm of names) {
    const pool = byName.get(vm)?.pool ?? "";
    counts[pool] = (counts[pool] ?? 0) + 1;
  }
  return counts;
}
