/** Expects when each pool has its next turn, over a whole cycle of turns. */
import type { Arrival } from "./demand_forecast.ts";
import { findRecentTurns, type Turn } from "./turn_detector.ts";
import { estimateDemand } from "./turn_forecast.ts";

/** A turn that lasts, or is expected. */
export interface ExpectedTurn {
  readonly pool: string;
  /** Wall-clock time of its start (ms); for an unknown order the earliest. */
  readonly startMs: number;
  /** Wall-clock time of its end (ms); infinite while lengths are unknown. */
  readonly endMs: number;
  /** Mean demand from the start on, in millicores. */
  readonly millicores: number;
  /** Whether the pool has had none before. */
  readonly isFirst: boolean;
}

/** Expects the turns of pools. */
export interface TurnOutlook {
  /**
   * Lists the turns that last and the next one of each pool, as far as known.
   *
   * @param arrivals - Work that has arrived, oldest first.
   * @param pools - The pools that may have turns.
   * @param nowMs - Wall-clock time (ms).
   */
  expect(
    arrivals: readonly Arrival[],
    pools: readonly string[],
    nowMs: number,
  ): ExpectedTurn[];
}

/** Baseline: expects no turn. */
export class NoTurnOutlook implements TurnOutlook {
  expect(): ExpectedTurn[] {
    return [];
  }
}

/** Time after which a turn that has not begun is no longer expected (ms). */
const OVERDUE_MS = 1_000;

/**
 * Longest time without any job in which none was held up, and time after a longer
 * one until turns are known again (ms).
 */
const MAX_PAUSE_MS = 1_000;
/** Starts of turns that lie less far apart belong to the same change (ms). */
const MIN_LAG_MS = 1_000;

/**
 * Expects the turns of each pool at the period that the pools share. Before one
 * has passed, pools without a turn come next, in any order, and the others follow
 * in theirs, at the distance between turns.
 */
export class CyclicTurnOutlook implements TurnOutlook {
  expect(
    arrivals: readonly Arrival[],
    pools: readonly string[],
    nowMs: number,
  ): ExpectedTurn[] {
    if (wasHeldUp(arrivals, nowMs)) {
      return [];
    }
    const turns = findRecentTurns(arrivals, nowMs);
    const lengthMs = findUsualLength(turns);
    const lasting = turns.filter(({ endMs }) => endMs === undefined).map((
      turn,
    ): ExpectedTurn => ({
      pool: turn.pool,
      startMs: turn.startMs,
      endMs: Math.max(nowMs, turn.startMs + lengthMs),
      millicores: estimateDemand(turn, turns, arrivals, nowMs),
      isFirst: false,
    }));
    const periodMs = findPeriod(turns);
    const next = periodMs === undefined
      ? expectFirstCycle(turns, pools, nowMs)
      : pools.flatMap((pool) => expectNext(turns, pool, periodMs, nowMs));
    return [
      ...lasting,
      ...next.map((turn) => ({ ...turn, endMs: turn.startMs + lengthMs })),
    ];
  }
}

// Without a leader no job is accepted, which looks like the end of all turns.
function wasHeldUp(arrivals: readonly Arrival[], nowMs: number): boolean {
  let laterMs = nowMs;
  for (const { atMs } of arrivals.toReversed()) {
    if (laterMs - atMs > MAX_PAUSE_MS) {
      return true;
    }
    if (nowMs - atMs > MAX_PAUSE_MS) {
      return false;
    }
    laterMs = atMs;
  }
  return false;
}

type ExpectedStart = Omit<ExpectedTurn, "endMs">;

// A burst looks like a turn, but has less work.
function expectNext(
  turns: readonly Turn[],
  pool: string,
  periodMs: number,
  nowMs: number,
): ExpectedStart[] {
  const own = turns.filter((turn) => turn.pool === pool);
  const [largest] = own.slice(-2).toSorted((left, right) =>
    computeWork(right, nowMs) - computeWork(left, nowMs)
  );
  if (largest === undefined) {
    return [];
  }
  const { millicores, startMs: beganMs } = largest;
  // A pool that has missed its turns as often as it had them takes none.
  const startMs = own.map((_, index) => beganMs + (index + 1) * periodMs).find(
    (atMs) =>
      atMs + OVERDUE_MS >= nowMs &&
      !own.some((turn) => hasBegun(turn, atMs, periodMs)),
  );
  return startMs === undefined
    ? []
    : [{ pool, startMs, millicores, isFirst: false }];
}

// Tells whether a turn is the one expected at a time, though it came early.
function hasBegun(turn: Turn, atMs: number, periodMs: number): boolean {
  const earlyMs = atMs - turn.startMs;
  return Math.abs(earlyMs) <= OVERDUE_MS ||
    turn.endMs === undefined && earlyMs > 0 && earlyMs < periodMs / 2;
}

function expectFirstCycle(
  turns: readonly Turn[],
  pools: readonly string[],
  nowMs: number,
): ExpectedStart[] {
  const lags = turns.slice(1).map(({ startMs }, index) =>
    startMs - (turns[index]?.startMs ?? startMs)
  ).filter((lagMs) => lagMs >= MIN_LAG_MS);
  const [latest] = turns.slice(-1);
  if (latest === undefined || lags.length === 0) {
    return [];
  }
  const lagMs = Math.max(...lags);
  const byPool = new Map(turns.map((turn) => [turn.pool, turn]));
  const unseen = pools.filter((pool) => !byPool.has(pool));
  const seen = [...byPool.values()].toSorted((left, right) =>
    left.startMs - right.startMs
  );
  const sum = turns.reduce((total, turn) => total + turn.millicores, 0);
  const isOver = latest.startMs + 2 * lagMs < nowMs;
  return [
    ...unseen.filter(() => !isOver).map((pool) => ({
      pool,
      // It may still come while no other turn has begun.
      startMs: Math.max(nowMs, latest.startMs + lagMs),
      millicores: sum / turns.length,
      isFirst: true,
    })),
    ...seen.map(({ millicores, pool }, index) => ({
      pool,
      startMs: latest.startMs + lagMs * (unseen.length + index + 1),
      millicores,
      isFirst: false,
    })).filter(({ startMs }) => startMs + OVERDUE_MS >= nowMs),
  ];
}

function computeWork(turn: Turn, nowMs: number): number {
  return turn.millicores * ((turn.endMs ?? nowMs) - turn.startMs);
}

// The first turn may have begun before the history.
function findPeriod(turns: readonly Turn[]): number | undefined {
  const whole = turns.slice(1);
  return findMedian(whole.flatMap((turn, index) => {
    const before = whole.slice(0, index).findLast(({ pool }) =>
      pool === turn.pool
    );
    return before === undefined ? [] : [turn.startMs - before.startMs];
  }));
}

function findUsualLength(turns: readonly Turn[]): number {
  const lengths = turns.slice(1).flatMap(({ endMs, startMs }) =>
    endMs === undefined ? [] : [endMs - startMs]
  );
  return findMedian(lengths) ?? Infinity;
}

function findMedian(values: readonly number[]): number | undefined {
  return values.toSorted((left, right) => left - right)[
    Math.floor(values.length / 2)
  ];
}
