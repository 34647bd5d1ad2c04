/** Plans moves of VMs for pools whose demand comes in turns. */
import {
  type CapacityInput,
  type CapacityPolicy,
  computeWantedMillicores,
  HEADROOM_FACTOR,
  type IdleVm,
  type PlannedMove,
  type PoolLoad,
  type PoolTurn,
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

const MS_PER_SECOND = 1_000;

/**
 * Fetches VMs for a turn one move ahead of it, and parks those that no pool needs
 * before they could be fetched again. Idle VMs of a pool whose turn is far go to
 * the next turn that lacks VMs, else to the standby pool. Pools whose next turn
 * is not known keep theirs, as the policy below decides.
 */
export class TurnCapacityPolicy implements CapacityPolicy {
  readonly #options: TurnCapacityOptions;

  constructor(options: TurnCapacityOptions) {
    this.#options = options;
  }

  plan(input: CapacityInput): PlannedMove[] {
    const pools = input.pools.map((load) => this.#expect(load, input.idle));
    const moves = this.#options.base.plan({ ...input, pools });
    const standby = input.pools.find(({ isStandby }) => isStandby);
    return standby === undefined
      ? moves
      : [...moves, ...this.#placeSpare(pools, input, moves, standby.pool)];
  }

  // The orders for a turn go out in time for the last of them to be of use when
  // it begins, and no sooner: other VMs may become idle until then.
  #expect(load: PoolLoad, idle: readonly IdleVm[]): PoolLoad {
    const { moveMs, movesPerSecond } = this.#options;
    const vmMillicores = Math.max(0, ...idle.map((vm) => vm.cpuMillicores));
    const neededMillicores = (load.turns ?? []).map((turn) => {
      const lacking = turn.millicores * HEADROOM_FACTOR -
        load.capacityMillicores;
      const spareMs = turn.startsInMs - moveMs - EARLY_MS;
      const laterCount = Math.max(0, spareMs) * movesPerSecond / MS_PER_SECOND;
      const due = lacking - laterCount * vmMillicores;
      return due > 0 ? (load.capacityMillicores + due) / HEADROOM_FACTOR : 0;
    });
    return {
      ...load,
      forecastMillicores: Math.max(
        load.forecastMillicores,
        ...neededMillicores,
      ),
    };
  }

  #placeSpare(
    pools: readonly PoolLoad[],
    { idle, reserveMillicores = 0 }: CapacityInput,
    moves: readonly PlannedMove[],
    standby: string,
  ): PlannedMove[] {
    const serving = pools.filter(({ isStandby }) => !isStandby);
    const capacity = new Map(
      serving.map((load) => [load.pool, load.capacityMillicores]),
    );
    const sizes = new Map(idle.map((vm) => [vm.vm, vm.cpuMillicores]));
    const add = (pool: string, millicores: number) =>
      capacity.set(pool, (capacity.get(pool) ?? 0) + millicores);
    for (const { from, to, vm } of moves) {
      add(from, -(sizes.get(vm) ?? 0));
      add(to, sizes.get(vm) ?? 0);
    }
    const moved = new Set(moves.map(({ vm }) => vm));
    const lacking = this.#listNear(serving);
    const reserve = reserveMillicores / serving.length;
    const added: PlannedMove[] = [];
    for (const load of serving) {
      const kept = this.#computeKept(load, reserve);
      // Demand varies within a turn: what is idle for a moment stays.
      const leastIdleMs = lacking.some(({ pool }) => pool === load.pool)
        ? this.#options.moveMs
        : 0;
      const own = idle.filter(({ idleMs, pool, vm }) =>
        pool === load.pool && !moved.has(vm) && idleMs >= leastIdleMs
      ).toSorted((left, right) => right.idleMs - left.idleMs);
      for (const { cpuMillicores, vm } of own) {
        if ((capacity.get(load.pool) ?? 0) - cpuMillicores < kept) {
          break;
        }
        const target = lacking.find(({ millicores, pool }) =>
          pool !== load.pool && (capacity.get(pool) ?? 0) < millicores
        );
        add(load.pool, -cpuMillicores);
        if (target !== undefined) {
          add(target.pool, cpuMillicores);
        }
        added.push({ vm, from: load.pool, to: target?.pool ?? standby });
      }
    }
    return added;
  }

  /** Time in which an idle VM could be parked and fetched again (ms). */
  get #parkedMs(): number {
    return 2 * this.#options.moveMs + EARLY_MS;
  }

  // Lists what pools need for turns that begin before that time, the next first.
  #listNear(pools: readonly PoolLoad[]) {
    return pools.flatMap(({ pool, turns = [] }) =>
      turns.filter((turn) => this.#isNear(turn)).map((turn) => ({
        pool,
        startsInMs: turn.startsInMs,
        millicores: turn.millicores * HEADROOM_FACTOR,
      }))
    ).toSorted((left, right) => left.startsInMs - right.startsInMs);
  }

  #isNear({ endsInMs, startsInMs }: PoolTurn): boolean {
    return startsInMs <= this.#parkedMs && endsInMs > 0;
  }

  #computeKept(load: PoolLoad, reserveMillicores: number): number {
    const { turns = [] } = load;
    if (turns.length === 0 || turns.some(({ isFirst }) => isFirst)) {
      return Infinity;
    }
    const near = turns.filter((turn) => this.#isNear(turn));
    return Math.max(
      computeWantedMillicores(load),
      load.apartMillicores + reserveMillicores,
      ...near.map(({ millicores }) => millicores * HEADROOM_FACTOR),
    );
  }
}
