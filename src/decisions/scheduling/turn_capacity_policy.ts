/** Plans moves of VMs for pools whose demand comes in turns. */
import {
  type CapacityInput,
  type CapacityPolicy,
  computeWantedMillicores,
  HEADROOM_FACTOR,
  type IdleVm,
  type PlannedMove,
  type PoolLoad,
} from "./capacity_policy.ts";

/** Options of {@link TurnCapacityPolicy}. */
export interface TurnCapacityOptions {
  /** Plans the moves for what pools lack now, and those without turns. */
  readonly base: CapacityPolicy;
  /** Time until a VM that is moved serves its new pool (ms). */
  readonly moveMs: number;
  /** Moves that can be ordered in a second. */
  readonly movesPerSecond: number;
}

/** Time by which a turn may begin earlier than expected (ms). */
const EARLY_MS = 250;
/**
 * Moves that take as long as a VM has to be off at least: it is of no use while
 * it is parked and fetched, so that it is off for as long again.
 */
const OFF_MOVE_COUNT = 4;

const MS_PER_SECOND = 1_000;

/** What a pool needs for a turn that is near, in millicores. */
interface TurnNeed {
  readonly pool: string;
  readonly startsInMs: number;
  readonly millicores: number;
}

/**
 * Fetches VMs for a turn one move ahead of it, and parks those that no pool needs
 * for long. Idle VMs of a pool whose turn is far go to the next turn that lacks
 * VMs, else to the standby pool. What pools need now comes before what they will
 * need. Pools whose next turn is not known keep their VMs, as the base decides.
 */
export class TurnCapacityPolicy implements CapacityPolicy {
  readonly #options: TurnCapacityOptions;

  constructor(options: TurnCapacityOptions) {
    this.#options = options;
  }

  plan(input: CapacityInput): PlannedMove[] {
    const moves = this.#options.base.plan(input);
    const standby = input.pools.find(({ isStandby }) => isStandby);
    if (standby === undefined) {
      return moves;
    }
    const draft = new Draft(input, moves);
    const near = listNear(
      input.pools,
      OFF_MOVE_COUNT * this.#options.moveMs,
    );
    this.#placeSpare(input, near, standby.pool, draft);
    this.#fetch(input, near, standby.pool, draft);
    return draft.moves;
  }

  #placeSpare(
    { pools, reserveMillicores = 0 }: CapacityInput,
    near: readonly TurnNeed[],
    standby: string,
    draft: Draft,
  ): void {
    const serving = pools.filter(({ isStandby }) => !isStandby);
    for (const load of serving) {
      const own = near.filter(({ pool }) => pool === load.pool);
      const kept = computeKept(load, own, reserveMillicores / serving.length);
      for (const vm of draft.listIdle(load.pool)) {
        const left = draft.findCapacity(load.pool) - vm.cpuMillicores;
        if (left < kept) {
          break;
        }
        const target = near.find(({ millicores, pool }) =>
          pool !== load.pool && draft.findCapacity(pool) < millicores
        );
        draft.move(vm, target?.pool ?? standby);
      }
    }
  }

  // The orders for a turn go out in time for the last of them to be of use when
  // it begins, and no sooner: other VMs may become idle until then.
  #fetch(
    { pools }: CapacityInput,
    near: readonly TurnNeed[],
    standby: string,
    draft: Draft,
  ): void {
    const { moveMs, movesPerSecond } = this.#options;
    const isShort = pools.some((
      { pool, runningMillicores, waitingMillicores },
    ) => draft.findCapacity(pool) < runningMillicores + waitingMillicores);
    if (isShort) {
      return;
    }
    for (const { millicores, pool, startsInMs } of near) {
      const spareMs = Math.max(0, startsInMs - moveMs - EARLY_MS);
      const laterCount = spareMs * movesPerSecond / MS_PER_SECOND;
      for (const vm of draft.listIdle(standby)) {
        const lacking = millicores - draft.findCapacity(pool);
        if (lacking <= laterCount * vm.cpuMillicores) {
          break;
        }
        draft.move(vm, pool);
      }
    }
  }
}

/** A plan in the making. */
class Draft {
  readonly moves: PlannedMove[] = [];
  readonly #capacity: Map<string, number>;
  readonly #idle: readonly IdleVm[];
  readonly #moved = new Set<string>();

  constructor({ idle, pools }: CapacityInput, moves: readonly PlannedMove[]) {
    this.#idle = idle.toSorted((left, right) => right.idleMs - left.idleMs);
    this.#capacity = new Map(
      pools.map((load) => [load.pool, load.capacityMillicores]),
    );
    const byName = new Map(idle.map((vm) => [vm.vm, vm]));
    for (const { to, vm } of moves) {
      const known = byName.get(vm);
      if (known !== undefined) {
        this.move(known, to);
      }
    }
  }

  /** Lists the VMs of a pool that are idle and stay, the longest idle first. */
  listIdle(name: string): IdleVm[] {
    return this.#idle.filter(({ pool, vm }) =>
      pool === name && !this.#moved.has(vm)
    );
  }

  /** Returns the capacity of a pool after the moves, in millicores. */
  findCapacity(pool: string): number {
    return this.#capacity.get(pool) ?? 0;
  }

  /** Adds a move. */
  move({ cpuMillicores, pool, vm }: IdleVm, to: string): void {
    this.#moved.add(vm);
    this.#capacity.set(pool, this.findCapacity(pool) - cpuMillicores);
    this.#capacity.set(to, this.findCapacity(to) + cpuMillicores);
    this.moves.push({ vm, from: pool, to });
  }
}

// Lists what pools need for turns that last or begin within a time, the next
// first.
function listNear(pools: readonly PoolLoad[], withinMs: number): TurnNeed[] {
  return pools.flatMap(({ pool, turns = [] }) =>
    turns.filter(({ startsInMs }) => startsInMs <= withinMs).map((
      { millicores, startsInMs },
    ) => ({
      pool,
      startsInMs,
      millicores: millicores * HEADROOM_FACTOR,
    }))
  ).toSorted((left, right) => left.startsInMs - right.startsInMs);
}

function computeKept(
  load: PoolLoad,
  near: readonly TurnNeed[],
  reserveMillicores: number,
): number {
  const { turns = [] } = load;
  // A turn that has begun tells little of its demand for some time.
  const isKept = turns.length === 0 ||
    turns.some(({ isFirst, startsInMs }) => isFirst || startsInMs <= 0);
  if (isKept) {
    return Infinity;
  }
  return Math.max(
    computeWantedMillicores(load),
    load.apartMillicores + reserveMillicores,
    ...near.map(({ millicores }) => millicores),
  );
}
