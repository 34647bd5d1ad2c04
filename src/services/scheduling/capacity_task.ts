/** Task of the leader that moves idle VMs to pools that lack capacity. */
import type {
  CapacityPolicy,
  IdleVm,
  PlannedMove,
} from "../../decisions/index.ts";
import type { Runner } from "../../domain/index.ts";
import type { Clock, ListedVm, Logger, VmControl } from "../../ports/index.ts";
import type { PoolAccounts } from "./pool_accounts.ts";
import type { PoolLoads } from "./pool_loads.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { CAPACITY_TICK_MS, MAX_LISTING_AGE_MS } from "./timing.ts";
import { type ConfirmedMove, VmMover } from "./vm_mover.ts";

/** Options of {@link CapacityTask}. */
export interface CapacityTaskOptions {
  readonly log: SchedulingLog;
  readonly fleet: Pick<RunnerFleet, "findStatus" | "retire">;
  readonly vms: VmControl;
  readonly policy: CapacityPolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
  /** Returns whether a runner's VM is being drained for maintenance. */
  readonly isInMaintenance: (runner: Runner) => boolean;
  readonly accounts: Pick<
    PoolAccounts,
    "isArriving" | "recordListing" | "recordMoved"
  >;
  readonly loads: Pick<PoolLoads, "list">;
}

/** A runner incarnation without work. */
interface IdleRunner {
  readonly bornAtMs: number;
  /** Monotonic time since when it is known to be idle (ms). */
  readonly sinceMs: number;
}

/** Moves idle VMs between pools to match the demand of each pool. */
export class CapacityTask {
  readonly #options: CapacityTaskOptions;
  /** The known runners that are idle, by id. */
  #idleRunners: ReadonlyMap<string, IdleRunner> = new Map();
  readonly #mover: VmMover;
  #vms: readonly ListedVm[] = [];
  #listedAtMs = -Infinity;

  constructor(options: CapacityTaskOptions) {
    this.#options = options;
    this.#mover = new VmMover({
      ...options,
      isIdle: (runner) => this.#mayMove(runner),
      onMoved: (moved) => this.#recordMoved(moved),
    });
  }

  /** Returns whether a runner gets no work because its VM may move. */
  isCordoned({ runnerId }: Runner): boolean {
    return this.#mover.isCordoned(runnerId);
  }

  /**
   * Moves VMs until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.#options;
    while (!signal.aborted) {
      let isPartial = false;
      if (log.holdsLeaderLease && log.state.catalog.version >= 0) {
        isPartial = await this.#rebalance(signal);
      }
      if (!isPartial) {
        await clock.sleep(CAPACITY_TICK_MS, signal);
      }
    }
  }

  // Returns whether more moves were planned than were tried.
  async #rebalance(signal: AbortSignal): Promise<boolean> {
    const { loads, logger, policy } = this.#options;
    this.#updateIdleTimes();
    const pools = loads.list();
    const byName = new Map(this.#vms.map((listed) => [listed.vm, listed]));
    const moves = policy.plan({ pools, idle: this.#listIdleVms() })
      .flatMap((move) => {
        const listed = byName.get(move.vm);
        return listed === undefined ? [] : [{ move, listed }];
      });
    let isPartial = false;
    if (moves.length > 0) {
      const targets = new Set(moves.map(({ move }) => move.to));
      const standby = new Set(
        pools.filter(({ isStandby }) => isStandby).map(({ pool }) => pool),
      );
      const count = (pick: (move: PlannedMove) => string) =>
        moves.filter(({ move }) => standby.has(pick(move))).length;
      logger.info(
        {
          moveCount: moves.length,
          fetchedCount: count(({ from }) => from),
          parkedCount: count(({ to }) => to),
          sources: countByPool(moves.map(({ move }) => move.from)),
          targets: pools.filter(({ pool }) => targets.has(pool)),
        },
        "planned moves of VMs",
      );
      const outcome = await this.#mover.carryOut(moves, signal);
      if (outcome.failedCount > 0) {
        this.#listedAtMs = -Infinity;
      }
      // Moves that fail are tried again at the next tick.
      isPartial = outcome.leftCount > 0 && outcome.confirmedCount > 0;
    }
    await this.#refreshListing();
    return isPartial;
  }

  async #refreshListing(): Promise<void> {
    const { clock, logger, log, vms } = this.#options;
    const nowMs = clock.monotonicMs();
    const known = new Set(this.#vms.map(({ runnerId }) => runnerId));
    const hasUnknown = [...log.state.runners.keys()].some((id) =>
      !known.has(id)
    );
    const maxAgeMs = hasUnknown ? MAX_LISTING_AGE_MS : 10 * MAX_LISTING_AGE_MS;
    if (nowMs - this.#listedAtMs < maxAgeMs) {
      return;
    }
    this.#listedAtMs = nowMs;
    const listed = await vms.list();
    if (listed.isErr) {
      logger.warn({ failure: listed.error }, "the VMs could not be listed");
      return;
    }
    this.#vms = listed.value.vms;
    this.#options.accounts.recordListing(this.#vms);
  }

  #updateIdleTimes(): void {
    const { clock, log } = this.#options;
    const nowMs = clock.monotonicMs();
    const idleRunners = new Map<string, IdleRunner>();
    for (const runner of log.state.runners.values()) {
      const { bornAtMs, runnerId } = runner;
      if (log.state.jobs.findLoad(runner).running.size === 0) {
        const known = this.#idleRunners.get(runnerId);
        const isKnown = known?.bornAtMs === bornAtMs;
        idleRunners.set(
          runnerId,
          isKnown ? known : { bornAtMs, sinceMs: nowMs },
        );
      }
    }
    this.#idleRunners = idleRunners;
  }

  #listIdleVms(): IdleVm[] {
    const { accounts, clock, log } = this.#options;
    const standby = new Set(
      log.state.catalog.pools.filter(({ isStandby }) => isStandby)
        .map(({ name }) => name),
    );
    const nowMs = clock.monotonicMs();
    return this.#vms.flatMap((listed): IdleVm[] => {
      const { vm, pool, capacity, runnerId, state, zone } = listed;
      const { cpuMillicores } = capacity;
      const isUnavailable = accounts.isArriving(vm) || state !== "up" ||
        log.state.zonesOut.has(zone);
      if (isUnavailable) {
        return [];
      }
      if (standby.has(pool)) {
        return [{ vm, pool, cpuMillicores, idleMs: 0 }];
      }
      const runner = log.state.runners.get(runnerId ?? "");
      const idle = this.#idleRunners.get(runnerId ?? "");
      const isIdle = runner !== undefined && idle !== undefined &&
        runner.pool === pool && this.#mayMove(runner);
      return isIdle
        ? [{ vm, pool, cpuMillicores, idleMs: nowMs - idle.sinceMs }]
        : [];
    });
  }

  #mayMove(runner: Runner): boolean {
    const { fleet, isInMaintenance, log } = this.#options;
    return !runner.isDraining && !isInMaintenance(runner) &&
      (fleet.findStatus(runner)?.isOperational ?? false) &&
      log.state.jobs.findLoad(runner).running.size === 0;
  }

  #recordMoved({ listed, move, runner }: ConfirmedMove): void {
    const { accounts, fleet } = this.#options;
    const { vm } = listed;
    accounts.recordMoved(listed, move.to);
    this.#vms = this.#vms.map((known) =>
      known.vm === vm ? { ...known, pool: move.to, runnerId: undefined } : known
    );
    if (runner !== undefined) {
      fleet.retire(runner);
    }
  }
}

function countByPool(pools: readonly string[]): Record<string, number> {
  const counts = new Map<string, number>();
  pools.forEach((pool) => counts.set(pool, (counts.get(pool) ?? 0) + 1));
  return Object.fromEntries(counts);
}
