/** Plans which idle VMs change their pool, so that capacity follows demand. */

/** A turn of a pool that lasts, or is expected. */
export interface PoolTurn {
  /** Time until its start (ms); negative once it has begun. */
  readonly startsInMs: number;
  /** Time until its end (ms); infinite while the length of turns is unknown. */
  readonly endsInMs: number;
  /** Mean demand from the start on, in millicores. */
  readonly millicores: number;
  /** Whether the pool has had none before, so that its time is a guess. */
  readonly isFirst: boolean;
}

/** Demand and capacity of one pool, in millicores. */
export interface PoolLoad {
  readonly pool: string;
  readonly isStandby: boolean;
  /** Whether its turn has ended and those of other pools come before its next. */
  readonly hasRested: boolean;
  /** Used by running tasks. */
  readonly runningMillicores: number;
  /** Needed by waiting tasks, as {@link sumWaitingDemand} counts them. */
  readonly waitingMillicores: number;
  /** Needed if jobs go on arriving at the latest rate. */
  readonly arrivingMillicores: number;
  /** Expected demand at the time when a VM that moves now would be usable. */
  readonly forecastMillicores: number;
  /** Capacity of the VMs that tasks need which stand apart. */
  readonly apartMillicores: number;
  /**
   * Capacity of usable runners and of VMs that are moving to the pool; of a
   * standby pool, that of its VMs.
   */
  readonly capacityMillicores: number;
  /** Its turn that lasts and its next one, as far as known. */
  readonly turns?: readonly PoolTurn[];
}

/** A VM without running tasks. */
export interface IdleVm {
  readonly vm: string;
  readonly pool: string;
  readonly cpuMillicores: number;
  /** Time since it became idle, in milliseconds; 0 in standby pools. */
  readonly idleMs: number;
}

/** Input of {@link CapacityPolicy.plan}. */
export interface CapacityInput {
  readonly pools: readonly PoolLoad[];
  readonly idle: readonly IdleVm[];
}

/** A planned move of a VM from one pool to another. */
export interface PlannedMove {
  readonly vm: string;
  readonly from: string;
  readonly to: string;
}

/** Plans moves of idle VMs between pools. */
export interface CapacityPolicy {
  /**
   * Plans the moves to begin now.
   *
   * @param input - Load of the pools and the idle VMs.
   */
  plan(input: CapacityInput): PlannedMove[];
}

/** Baseline: moves no VM. */
export class FixedCapacityPolicy implements CapacityPolicy {
  plan(): PlannedMove[] {
    return [];
  }
}

/** Options of {@link DemandCapacityPolicy}. */
export interface DemandCapacityOptions {
  /**
   * Time that a VM stays idle before it is parked, which means moved to a
   * standby pool, in milliseconds. Idle VMs are the reserve for the first
   * seconds of the next turn of their pool, so they stay for longer than pools
   * that take turns rest. Other pools get them as soon as those of a standby
   * pool.
   */
  readonly parkAfterMs?: number;
  /** VMs that a pool keeps for the first tasks after an idle time. */
  readonly minPoolVmCount?: number;
}

/**
 * Planned capacity as a multiple of the demand, so that tasks whose sizes do not
 * divide a VM evenly still fit.
 */
const HEADROOM_FACTOR = 1.15;
const DEFAULT_PARK_AFTER_MS = 30_000;
const DEFAULT_MIN_POOL_VM_COUNT = 2;

interface Balance {
  readonly load: PoolLoad;
  readonly wantedMillicores: number;
  capacityMillicores: number;
  idleLeft: IdleVm[];
}

/**
 * Moves idle VMs to pools that lack capacity, from standby pools and from pools
 * with more capacity than they want, and parks VMs that stay idle.
 */
export class DemandCapacityPolicy implements CapacityPolicy {
  readonly #parkAfterMs: number;
  readonly #minPoolVmCount: number;

  constructor(options: DemandCapacityOptions = {}) {
    this.#parkAfterMs = options.parkAfterMs ?? DEFAULT_PARK_AFTER_MS;
    this.#minPoolVmCount = options.minPoolVmCount ?? DEFAULT_MIN_POOL_VM_COUNT;
  }

  plan(input: CapacityInput): PlannedMove[] {
    const balances = new Map(
      input.pools.map((
        load,
      ) => [load.pool, this.#createBalance(load, input.idle)]),
    );
    const moves: PlannedMove[] = [];
    const byShortage = [...balances.values()]
      .filter(({ load }) => !load.isStandby)
      .toSorted((left, right) =>
        computeShortage(right) - computeShortage(left)
      );
    for (const target of byShortage) {
      this.#coverShortage(target, balances, moves);
    }
    const standby = input.pools.find(({ isStandby }) => isStandby);
    if (standby !== undefined) {
      this.#parkIdle(standby.pool, balances, moves);
    }
    return moves;
  }

  #createBalance(load: PoolLoad, idle: readonly IdleVm[]): Balance {
    return {
      load,
      wantedMillicores: computeWantedMillicores(load),
      capacityMillicores: load.capacityMillicores,
      idleLeft: idle.filter(({ pool }) => pool === load.pool),
    };
  }

  #coverShortage(
    target: Balance,
    balances: ReadonlyMap<string, Balance>,
    moves: PlannedMove[],
  ): void {
    while (computeShortage(target) > 0) {
      const taken = this.#takeFromDonor(target, balances);
      if (taken === undefined) {
        return;
      }
      target.capacityMillicores += taken.cpuMillicores;
      moves.push({ vm: taken.vm, from: taken.pool, to: target.load.pool });
    }
  }

  #takeFromDonor(
    target: Balance,
    balances: ReadonlyMap<string, Balance>,
  ): IdleVm | undefined {
    const donors = [...balances.values()].filter((donor) => donor !== target)
      .toSorted((left, right) =>
        computeShortage(left) - computeShortage(right)
      );
    // Running VMs come first where no turn is near, because they cost money
    // already. Those of other pools are the reserve for a turn that may come next,
    // and a VM that is fetched from elsewhere comes too late for its beginning.
    const sorted = [
      ...donors.filter(({ load }) => !load.isStandby && load.hasRested),
      ...donors.filter(({ load }) => load.isStandby),
      ...donors.filter(({ load }) => !load.isStandby && !load.hasRested),
    ];
    for (const donor of sorted) {
      const vm = donor.idleLeft.at(-1);
      if (vm !== undefined && canSpare(donor, vm)) {
        donor.idleLeft.pop();
        donor.capacityMillicores -= vm.cpuMillicores;
        return vm;
      }
    }
    return undefined;
  }

  #parkIdle(
    standbyPool: string,
    balances: ReadonlyMap<string, Balance>,
    moves: PlannedMove[],
  ): void {
    for (const donor of balances.values()) {
      if (donor.load.isStandby) {
        continue;
      }
      for (const vm of donor.idleLeft) {
        const left = donor.capacityMillicores - vm.cpuMillicores;
        const isKept = left < this.#minPoolVmCount * vm.cpuMillicores;
        const isOver = vm.idleMs >= this.#parkAfterMs && canSpare(donor, vm);
        if (isOver && !isKept) {
          donor.capacityMillicores = left;
          moves.push({ vm: vm.vm, from: vm.pool, to: standbyPool });
        }
      }
    }
  }
}

/**
 * Computes the capacity that a pool needs for its work.
 *
 * @param load - Demand of the pool.
 * @returns Millicores.
 */
export function computeWantedMillicores(load: PoolLoad): number {
  const expectedMillicores = Math.max(
    load.runningMillicores + load.waitingMillicores,
    load.arrivingMillicores,
    load.forecastMillicores,
  );
  return Math.max(expectedMillicores * HEADROOM_FACTOR, load.apartMillicores);
}

function computeShortage(
  { wantedMillicores, capacityMillicores }: Balance,
): number {
  return wantedMillicores - capacityMillicores;
}

function canSpare(donor: Balance, vm: IdleVm): boolean {
  return donor.load.isStandby ||
    donor.capacityMillicores - vm.cpuMillicores >= donor.wantedMillicores;
}
