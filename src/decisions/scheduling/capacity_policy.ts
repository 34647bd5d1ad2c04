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

/** Options of {@link FollowingCapacityPolicy}. */
export interface FollowingCapacityOptions {
  /** Capacity per demand, so that tasks of odd sizes find room. */
  readonly headroom?: number;
  /**
   * How long a VM runs nothing before it is parked, in milliseconds: parking
   * and fetching it back cost what it costs in its pool for about two seconds.
   */
  readonly parkAfterMs?: number;
  /** VMs that a pool keeps, for the first task after a pause. */
  readonly keptCount?: number;
}

const DEFAULT_HEADROOM = 1.15;
const DEFAULT_PARK_AFTER_MS = 1_200;
const DEFAULT_KEPT_COUNT = 2;

interface Balance {
  readonly load: PoolLoad;
  readonly wanted: number;
  capacity: number;
  idleLeft: IdleVm[];
}

/**
 * Fetches idle VMs for pools that lack capacity, from standby pools and from
 * pools that have more than they want, and parks VMs that stay idle.
 */
export class FollowingCapacityPolicy implements CapacityPolicy {
  readonly #headroom: number;
  readonly #parkAfterMs: number;
  readonly #keptCount: number;

  constructor(options: FollowingCapacityOptions = {}) {
    this.#headroom = options.headroom ?? DEFAULT_HEADROOM;
    this.#parkAfterMs = options.parkAfterMs ?? DEFAULT_PARK_AFTER_MS;
    this.#keptCount = options.keptCount ?? DEFAULT_KEPT_COUNT;
  }

  plan(input: CapacityInput): PlannedMove[] {
    const balances = new Map(
      input.pools.map((load) => [load.pool, this.#balance(load, input.idle)]),
    );
    const moves: PlannedMove[] = [];
    const short = [...balances.values()]
      .filter(({ load }) => !load.isStandby)
      .toSorted((left, right) => findLack(right) - findLack(left));
    for (const target of short) {
      this.#fetch(target, balances, moves);
    }
    const standby = input.pools.find(({ isStandby }) => isStandby);
    if (standby !== undefined) {
      this.#park(standby.pool, balances, moves);
    }
    return moves;
  }

  #balance(load: PoolLoad, idle: readonly IdleVm[]): Balance {
    const busy = load.runningMillicores + load.waitingMillicores;
    const expected = Math.max(
      busy,
      load.arrivingMillicores,
      load.forecastMillicores,
    );
    return {
      load,
      wanted: expected * this.#headroom,
      capacity: load.capacityMillicores,
      idleLeft: idle.filter(({ pool }) => pool === load.pool),
    };
  }

  #fetch(
    target: Balance,
    balances: ReadonlyMap<string, Balance>,
    moves: PlannedMove[],
  ): void {
    while (findLack(target) > 0) {
      const taken = this.#takeSpare(target, balances);
      if (taken === undefined) {
        return;
      }
      target.capacity += taken.cpuMillicores;
      moves.push({ vm: taken.vm, from: taken.pool, to: target.load.pool });
    }
  }

  #takeSpare(
    target: Balance,
    balances: ReadonlyMap<string, Balance>,
  ): IdleVm | undefined {
    const givers = [...balances.values()].filter((giver) => giver !== target)
      .toSorted((left, right) => findLack(left) - findLack(right));
    // VMs that cost already go before VMs that are switched off.
    const sorted = [
      ...givers.filter(({ load }) => !load.isStandby),
      ...givers.filter(({ load }) => load.isStandby),
    ];
    for (const giver of sorted) {
      const vm = giver.idleLeft.at(-1);
      if (vm !== undefined && canSpare(giver, vm)) {
        giver.idleLeft.pop();
        giver.capacity -= vm.cpuMillicores;
        return vm;
      }
    }
    return undefined;
  }

  #park(
    standbyPool: string,
    balances: ReadonlyMap<string, Balance>,
    moves: PlannedMove[],
  ): void {
    for (const giver of balances.values()) {
      if (giver.load.isStandby) {
        continue;
      }
      for (const vm of giver.idleLeft) {
        const left = giver.capacity - vm.cpuMillicores;
        const isKept = left < this.#keptCount * vm.cpuMillicores;
        const isOver = vm.idleMs >= this.#parkAfterMs && canSpare(giver, vm);
        if (isOver && !isKept) {
          giver.capacity = left;
          moves.push({ vm: vm.vm, from: vm.pool, to: standbyPool });
        }
      }
    }
  }
}

function findLack({ wanted, capacity }: Balance): number {
  return wanted - capacity;
}

function canSpare(giver: Balance, vm: IdleVm): boolean {
  return giver.load.isStandby ||
    giver.capacity - vm.cpuMillicores >= giver.wanted;
}
