/** Which VMs change their pool, so that capacity follows the demand. */

/** Demand and capacity of one pool, in millicores. */
export interface PoolLoad {
  readonly pool: string;
  readonly isStandby: boolean;
  /** Held by tasks that run. */
  readonly runningMillicores: number;
  /** Asked for by tasks that wait and can still be in time. */
  readonly waitingMillicores: number;
  /** What the jobs of the last moments keep busy if they go on arriving. */
  readonly arrivingMillicores: number;
  /** What is expected by the time a VM could be there. */
  readonly forecastMillicores: number;
  /** Of runners that may get work, and of VMs on their way to the pool. */
  readonly capacityMillicores: number;
}

/** A VM that runs nothing. */
export interface IdleVm {
  readonly vm: string;
  readonly pool: string;
  readonly cpuMillicores: number;
  /** How long it has run nothing, in milliseconds; 0 in standby pools. */
  readonly idleMs: number;
}

/** What a plan of moves is made from. */
export interface CapacityInput {
  readonly pools: readonly PoolLoad[];
  readonly idle: readonly IdleVm[];
}

/** A VM that is to change its pool. */
export interface PlannedMove {
  readonly vm: string;
  readonly from: string;
  readonly to: string;
}

/** Plans moves of VMs. */
export interface CapacityPolicy {
  /** Plans the moves of this moment. */
  plan(input: CapacityInput): PlannedMove[];
}

/** Leaves each VM where it is; the baseline. */
export class FixedCapacityPolicy implements CapacityPolicy {
  plan(): PlannedMove[] {
    return [];
  }
}

/** Options of {@link DemandCapacityPolicy}. */
export interface DemandCapacityOptions {
  /** Capacity per demand, so that tasks of odd sizes find room. */
  readonly headroomFactor?: number;
  /**
   * How long a VM runs nothing before it is parked, in milliseconds: parking
   * and fetching it back cost what it costs in its pool for about two seconds.
   */
  readonly parkAfterMs?: number;
  /** VMs that a pool keeps, for the first task after a pause. */
  readonly minPoolVmCount?: number;
}

const DEFAULT_HEADROOM_FACTOR = 1.15;
const DEFAULT_PARK_AFTER_MS = 1_200;
const DEFAULT_MIN_POOL_VM_COUNT = 2;

interface Balance {
  readonly load: PoolLoad;
  readonly wantedMillicores: number;
  capacityMillicores: number;
  idleLeft: IdleVm[];
}

/**
 * Fetches idle VMs for pools that lack capacity, from standby pools and from
 * pools that have more than they want, and parks VMs that stay idle.
 */
export class DemandCapacityPolicy implements CapacityPolicy {
  readonly #headroomFactor: number;
  readonly #parkAfterMs: number;
  readonly #minPoolVmCount: number;

  constructor(options: DemandCapacityOptions = {}) {
    this.#headroomFactor = options.headroomFactor ?? DEFAULT_HEADROOM_FACTOR;
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
    const busy = load.runningMillicores + load.waitingMillicores;
    const expected = Math.max(
      busy,
      load.arrivingMillicores,
      load.forecastMillicores,
    );
    return {
      load,
      wantedMillicores: expected * this.#headroomFactor,
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
    // VMs that cost already go before VMs that are switched off.
    const sorted = [
      ...donors.filter(({ load }) => !load.isStandby),
      ...donors.filter(({ load }) => load.isStandby),
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

function computeShortage(
  { wantedMillicores, capacityMillicores }: Balance,
): number {
  return wantedMillicores - capacityMillicores;
}

function canSpare(donor: Balance, vm: IdleVm): boolean {
  return donor.load.isStandby ||
    donor.capacityMillicores - vm.cpuMillicores >= donor.wantedMillicores;
}
