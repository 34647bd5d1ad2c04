/** Tells pools whose turn has ended from those whose turn may come next. */
import { findRecentTurns } from "./turn_detector.ts";
import type { Arrival } from "./demand_forecast.ts";

/**
 * Lists the pools whose turn has ended and before whose next one others come:
 * pools that have had none yet, or else the one whose turn is longest ago.
 *
 * @param arrivals - Work that has arrived, oldest first.
 * @param pools - The pools that may have turns.
 * @param nowMs - Wall-clock time (ms).
 */
export function listRestedPools(
  arrivals: readonly Arrival[],
  pools: readonly string[],
  nowMs: number,
): ReadonlySet<string> {
  const turns = findRecentTurns(arrivals, nowMs);
  const latestByPool = new Map(turns.map((turn) => [turn.pool, turn]));
  const rested = new Set<string>();
  for (const { endMs, pool } of latestByPool.values()) {
    if (endMs !== undefined) {
      rested.add(pool);
    }
  }
  if (pools.every((pool) => latestByPool.has(pool))) {
    const [next] = [...latestByPool.values()]
      .toSorted((left, right) => left.startMs - right.startMs);
    rested.delete(next?.pool ?? "");
  }
  return rested;
}
