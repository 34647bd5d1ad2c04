/** Forecasts the demand of pools that take turns, from the order of the turns. */
import type { Arrival, DemandForecast } from "./demand_forecast.ts";
import { measureHeldUp } from "./held_up.ts";
import {
  findRecentTurns,
  type Turn,
  TURN_HISTORY_MS,
} from "./turn_detector.ts";

/** Time by which a turn may begin earlier than expected (ms). */
const EARLY_MS = 250;
/** Time after which a turn that has not begun is no longer expected (ms). */
const OVERDUE_MS = 1_000;
/** Starts of turns that lie less far apart belong to the same change (ms). */
const MIN_LAG_MS = 1_000;
/** Weight of the demand of earlier turns in that of a new one (ms). */
const EARLIER_WEIGHT_MS = 1_000;

/** A turn that is expected to begin. */
interface ExpectedTurn {
  readonly pool: string;
  readonly atMs: number;
  readonly millicores: number;
}

/**
 * Predicts the demand of turns that last, and which pool's turn comes next:
 * what followed the previous turn of the pool whose turn began last. Before any
 * pool has had two turns, the next one is expected after the usual time between
 * turns, at pools that have had none, or else at the one whose turn is longest
 * ago.
 */
export class TurnForecast implements DemandForecast {
  predict(
    arrivals: readonly Arrival[],
    fromMs: number,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const recent = arrivals.filter(({ atMs }) =>
      nowMs - atMs <= TURN_HISTORY_MS
    );
    const turns = findRecentTurns(arrivals, nowMs);
    const expected = new Map<string, number>();
    for (const turn of turns) {
      if (turn.endMs === undefined) {
        expected.set(turn.pool, estimateDemand(turn, turns, recent, nowMs));
      }
    }
    const pools = new Set(recent.map(({ pool }) => pool));
    for (const { pool, atMs, millicores } of expectTurns(turns, pools)) {
      if (atMs - EARLY_MS <= fromMs && atMs + OVERDUE_MS >= nowMs) {
        expected.set(pool, Math.max(millicores, expected.get(pool) ?? 0));
      }
    }
    return expected;
  }
}

/**
 * Estimates the demand of a turn that lasts, from its own jobs and the turn of its
 * pool before. What arrives at its start after a time without any job has waited
 * for it, so that time counts as well.
 *
 * @param turn - The turn.
 * @param turns - All turns, in the order of their starts.
 * @param arrivals - The arrivals of all pools, oldest first.
 * @param nowMs - Wall-clock time (ms).
 * @returns Millicores.
 */
export function estimateDemand(
  turn: Turn,
  turns: readonly Turn[],
  arrivals: readonly Arrival[],
  nowMs: number,
): number {
  const lengthMs = Math.max(1, nowMs - turn.startMs);
  const heldUpMs = measureHeldUp(arrivals, turn.startMs);
  const millicores = turn.millicores * lengthMs / (lengthMs + heldUpMs);
  const earlier = turns.findLast(({ pool, endMs }) =>
    pool === turn.pool && endMs !== undefined
  );
  if (earlier === undefined) {
    return millicores;
  }
  return (millicores * lengthMs + earlier.millicores * EARLIER_WEIGHT_MS) /
    (lengthMs + EARLIER_WEIGHT_MS);
}

function expectTurns(
  turns: readonly Turn[],
  pools: ReadonlySet<string>,
): ExpectedTurn[] {
  const latest = turns.at(-1);
  if (latest === undefined) {
    return [];
  }
  // The first turn may have begun before the history.
  const before = turns.slice(1, -1).findLast(({ pool }) =>
    pool === latest.pool
  );
  return before === undefined
    ? expectUnseenOrder(turns, latest, pools)
    : expectSameOrder(turns, latest, before);
}

function expectSameOrder(
  turns: readonly Turn[],
  latest: Turn,
  before: Turn,
): ExpectedTurn[] {
  const shiftMs = latest.startMs - before.startMs;
  return turns.filter(({ startMs }) =>
    startMs > before.startMs && startMs < latest.startMs
  ).map(({ pool, startMs, millicores }) => ({
    pool,
    atMs: startMs + shiftMs,
    millicores,
  }));
}

function expectUnseenOrder(
  turns: readonly Turn[],
  latest: Turn,
  pools: ReadonlySet<string>,
): ExpectedTurn[] {
  const lagMs = findUsualLag(turns);
  if (lagMs === undefined) {
    return [];
  }
  const atMs = latest.startMs + lagMs;
  const latestByPool = new Map(turns.map((turn) => [turn.pool, turn]));
  const unseen = [...pools].filter((pool) => !latestByPool.has(pool));
  if (unseen.length === 0) {
    const [oldest = latest] = [...latestByPool.values()]
      .toSorted((left, right) => left.startMs - right.startMs);
    return [{ pool: oldest.pool, atMs, millicores: oldest.millicores }];
  }
  const sum = turns.reduce((total, turn) => total + turn.millicores, 0);
  const millicores = sum / turns.length / unseen.length;
  return unseen.map((pool) => ({ pool, atMs, millicores }));
}

// The first turn may have begun before the history.
function findUsualLag(turns: readonly Turn[]): number | undefined {
  const starts = turns.slice(1).map(({ startMs }) => startMs);
  const lags = starts.slice(1).map((startMs, index) =>
    startMs - (starts[index] ?? startMs)
  ).filter((lagMs) => lagMs >= MIN_LAG_MS)
    .toSorted((left, right) => left - right);
  return lags[Math.floor(lags.length / 2)];
}
