/** Finds the pools whose next turn is not near, so that their VMs may rest. */
import type { Arrival } from "./demand_forecast.ts";
import type { Turn } from "./turn_detector.ts";
import { TurnHistory } from "./turn_history.ts";

/** Number of the latest repeated turns whose order must have been as expected. */
const CHECKED_COUNT = 4;
/** Pools that keep their VMs while no turn has been repeated. */
const NEAR_COUNT_UNCHECKED = 2;
/** Pools that keep their VMs once repeated turns came as expected. */
const NEAR_COUNT_CHECKED = 1;

/** Decides which pools rest. */
export interface RestPolicy {
  /**
   * Finds the pools whose idle VMs may be parked soon.
   *
   * @param arrivals - Work that has arrived, oldest first.
   * @param nowMs - Wall-clock time (ms).
   * @returns Names of the pools.
   */
  findResting(
    arrivals: readonly Arrival[],
    nowMs: number,
  ): ReadonlySet<string>;
}

/** Baseline: no pool rests. */
export class NeverRestPolicy implements RestPolicy {
  findResting(): ReadonlySet<string> {
    return new Set();
  }
}

/**
 * Lets pools rest after their turn until the turns of most others are over. The
 * pool whose turn is longest ago, or that has had none yet, is the next one. If
 * one of the latest turns came out of this order, no pool rests.
 */
export class TurnRestPolicy implements RestPolicy {
  readonly #history: TurnHistory;

  /** @param history - The turns, which others may read as well. */
  constructor(history = new TurnHistory()) {
    this.#history = history;
  }

  findResting(
    arrivals: readonly Arrival[],
    nowMs: number,
  ): ReadonlySet<string> {
    const { arrivals: recent, turns } = this.#history.read(arrivals, nowMs);
    const repeats = checkOrder(turns).slice(-CHECKED_COUNT);
    if (repeats.includes(false)) {
      return new Set();
    }
    const latestByPool = new Map(turns.map((turn) => [turn.pool, turn]));
    const ended = [...latestByPool.values()]
      .filter(({ endMs }) => endMs !== undefined)
      .toSorted((left, right) => left.startMs - right.startMs);
    const pools = new Set(
      recent.filter(({ work }) => work > 0).map(({ pool }) => pool),
    );
    // Pools that had no turn while others had two may never have one.
    const nearCount = repeats.length === 0
      ? Math.max(0, NEAR_COUNT_UNCHECKED - (pools.size - latestByPool.size))
      : NEAR_COUNT_CHECKED;
    return new Set(ended.slice(nearCount).map(({ pool }) => pool));
  }
}

// Tells of each turn of a pool that had one before whether the turn of no other
// pool was longer ago. A lull may split a turn in two: it is still one if no other
// pool had a turn between.
function checkOrder(turns: readonly Turn[]): boolean[] {
  const startMsByPool = new Map<string, number>();
  const checks: boolean[] = [];
  let latestPool: string | undefined;
  for (const { pool, startMs } of turns) {
    const before = startMsByPool.get(pool);
    if (before !== undefined && pool !== latestPool) {
      checks.push(before === Math.min(...startMsByPool.values()));
    }
    startMsByPool.set(pool, startMs);
    latestPool = pool;
  }
  return checks;
}
