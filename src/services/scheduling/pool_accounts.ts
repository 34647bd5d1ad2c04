/** Accounts for the capacity of each pool: who uses it, or what withholds it. */
import { HostCapacity } from "../../decisions/index.ts";
import type { Runner } from "../../domain/index.ts";
import type { Clock, ListedVm, PoolShare } from "../../ports/index.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { MOVE_MS } from "./timing.ts";

/** Options of {@link PoolAccounts}. */
export interface PoolAccountsOptions {
  readonly log: SchedulingLog;
  readonly fleet: Pick<RunnerFleet, "findStatus">;
  readonly clock: Clock;
  /** Returns whether a runner may get work now. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
  /** Returns whether a runner gets one task at a time; false by default. */
  readonly isSuspect?: ((runner: Runner) => boolean) | undefined;
  /** Returns whether a runner's VM is being drained for maintenance. */
  readonly isInMaintenance: (runner: Runner) => boolean;
  /** Returns whether a runner's VM has, or is about to get, an order to move. */
  readonly isMoving: (runner: Runner) => boolean;
}

/** Shares of runners whose long-running work has to go elsewhere. */
const LEAVING_SHARES: ReadonlySet<PoolShare> = new Set([
  "cordoned",
  "silent",
  "draining",
  "zoneOut",
]);

/** Millicores of one pool by what they are used for or withheld by. */
export type PoolAccount = ReadonlyMap<PoolShare, number>;

/** A VM that has been moved and does not serve its new pool yet. */
interface ArrivingVm {
  readonly pool: string;
  readonly cpuMillicores: number;
  /** Monotonic time until which it counts as arriving (ms). */
  readonly untilMs: number;
}

/**
 * Knows where the capacity of each pool is. Waves, moves and the scheduler each
 * withhold VMs; here their shares add up.
 */
export class PoolAccounts {
  readonly #options: PoolAccountsOptions;
  readonly #arriving = new Map<string, ArrivingVm>();
  #vms: readonly ListedVm[] = [];

  constructor(options: PoolAccountsOptions) {
    this.#options = options;
  }

  /**
   * Records the newest list of VMs.
   *
   * @param vms - The VMs.
   */
  recordListing(vms: readonly ListedVm[]): void {
    this.#vms = vms;
    const { runners } = this.#options.log.state;
    for (const { pool, runnerId, vm } of vms) {
      const runner = runners.get(runnerId ?? "");
      if (runner?.pool === pool && this.#arriving.get(vm)?.pool === pool) {
        this.#arriving.delete(vm);
      }
    }
  }

  /**
   * Records a VM whose move the platform has confirmed.
   *
   * @param listed - The VM as it was listed before.
   * @param pool - Its new pool.
   */
  recordMoved({ capacity, vm }: ListedVm, pool: string): void {
    const { cpuMillicores } = capacity;
    const untilMs = this.#options.clock.monotonicMs() + MOVE_MS;
    this.#arriving.set(vm, { pool, cpuMillicores, untilMs });
  }

  /**
   * Knows what all VMs offer, in whichever pool they are.
   *
   * @returns The capacity, or undefined while the list of VMs does not tell it.
   */
  findHostCapacity(): HostCapacity | undefined {
    const { runners } = this.#options.log.state;
    const withoutRunner = this.#vms.filter(({ runnerId }) =>
      !runners.has(runnerId ?? "")
    );
    const isKnown = this.#vms.length > 0 &&
      withoutRunner.every(({ capacity }) => capacity.cpuMillicores > 0);
    return isKnown
      ? new HostCapacity([...runners.values(), ...withoutRunner])
      : undefined;
  }

  /** Returns whether a VM has been moved and does not serve its new pool yet. */
  isArriving(vm: string): boolean {
    const { untilMs = -Infinity } = this.#arriving.get(vm) ?? {};
    return this.#options.clock.monotonicMs() <= untilMs;
  }

  /**
   * Sums the capacity of each pool by what it is used for. The shares of a pool
   * add up to the capacity of its runners and of its listed VMs without one.
   *
   * @returns Millicores by pool and share; shares of nothing are left out.
   */
  sum(): Map<string, PoolAccount> {
    const { log: { state } } = this.#options;
    const accounts = new Map(
      state.catalog.pools.map(({ name }) => [
        name,
        new Map<PoolShare, number>(),
      ]),
    );
    const add = (pool: string, share: PoolShare, millicores: number) => {
      const account = accounts.get(pool);
      if (millicores > 0) {
        account?.set(share, (account.get(share) ?? 0) + millicores);
      }
    };
    for (const runner of state.runners.values()) {
      const { capacity: { cpuMillicores }, pool } = runner;
      const usedMillicores = state.jobs.findLoad(runner).used.cpuMillicores;
      const share = this.#findShare(runner);
      const countedMillicores = LEAVING_SHARES.has(share) ? 0 : usedMillicores;
      add(pool, "used", countedMillicores);
      add(pool, share, cpuMillicores - countedMillicores);
    }
    for (const [pool, millicores] of this.#sumArriving()) {
      add(pool, "arriving", millicores);
    }
    for (const listed of this.#vms) {
      const share = this.#findShareWithoutRunner(listed);
      if (share !== undefined) {
        add(listed.pool, share, listed.capacity.cpuMillicores);
      }
    }
    return accounts;
  }

  #sumArriving(): Map<string, number> {
    const sums = new Map<string, number>();
    for (const [vm, { cpuMillicores, pool }] of this.#arriving) {
      if (this.isArriving(vm)) {
        sums.set(pool, (sums.get(pool) ?? 0) + cpuMillicores);
      } else {
        this.#arriving.delete(vm);
      }
    }
    // A runner that the newest list does not show is on a VM that was arriving.
    const listed = new Set(this.#vms.map(({ runnerId }) => runnerId));
    for (const runner of this.#options.log.state.runners.values()) {
      const sum = sums.get(runner.pool);
      if (sum !== undefined && !listed.has(runner.runnerId)) {
        const { cpuMillicores } = runner.capacity;
        sums.set(runner.pool, Math.max(0, sum - cpuMillicores));
      }
    }
    return sums;
  }

  #findShare(runner: Runner): PoolShare {
    const { fleet, isInMaintenance, isMoving, isSuspect, log, mayPlaceOn } =
      this.#options;
    const status = fleet.findStatus(runner);
    if (mayPlaceOn(runner)) {
      return isSuspect?.(runner) ? "suspect" : "free";
    }
    if (runner.isDraining) {
      return "draining";
    }
    if (log.state.zonesOut.has(runner.zone)) {
      return "zoneOut";
    }
    if (isInMaintenance(runner)) {
      return "cordoned";
    }
    if (isMoving(runner)) {
      return "leaving";
    }
    if (status === undefined || status.isUnheard) {
      return "unheard";
    }
    return status.isOperational ? "overdue" : "silent";
  }

  #findShareWithoutRunner(
    { pool, runnerId, state, vm }: ListedVm,
  ): PoolShare | undefined {
    const { catalog, runners } = this.#options.log.state;
    if (this.isArriving(vm) || runners.has(runnerId ?? "")) {
      return undefined;
    }
    const isStandby = catalog.pools.some((known) =>
      known.name === pool && known.isStandby
    );
    switch (state) {
      case "upkeep":
        return "maintenance";
      case "moving":
        return "arriving";
      case "up":
        return isStandby ? "standby" : "empty";
      default:
        return "down";
    }
  }
}
