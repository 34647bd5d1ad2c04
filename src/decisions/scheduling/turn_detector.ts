/** Finds the turns of pools: spans in which work arrives far more often. */
import type { Arrival } from "./demand_forecast.ts";

/** A span in which jobs arrive at a pool far more often than before it. */
export interface Turn {
  readonly pool: string;
  /** Wall-clock time of its first job (ms). */
  readonly startMs: number;
  /** Wall-clock time of its end (ms); undefined while it lasts. */
  readonly endMs: number | undefined;
  /** Mean demand from the start on, in millicores. */
  readonly millicores: number;
}

/** Age up to which arrivals count, in milliseconds. */
export const TURN_HISTORY_MS = 60_000;
/** Factor between two rates of arrival from which they count as different. */
const RATE_FACTOR = 3;
const LOG_FACTOR = Math.log(RATE_FACTOR);
/**
 * Logarithm of the likelihood ratio from which a change of the rate is certain:
 * some six jobs.
 */
const MIN_EVIDENCE = 6;
/** Weight of the rate that is assumed while little is known. */
const ASSUMED_COUNT = 0.5;
const ASSUMED_SPAN_MS = 500;
/**
 * Share of the highest demand of any pool below which demand is too low for a
 * turn.
 */
const MIN_DEMAND_SHARE = 0.1;
/** Span whose demand counts for the highest demand (ms). */
const PEAK_SPAN_MS = 1_000;
/** Longest lull in the midst of a turn, in milliseconds. */
const MAX_LULL_MS = 1_000;

/** A time in which no job arrived. */
interface Pause {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Finds the turns of each pool by cumulative sums of the likelihood ratio
 * between the present rate of arrival and one that differs by a factor. A step
 * is found after a few jobs, however long they take to come.
 *
 * @param arrivals - Work that has arrived, oldest first.
 * @param nowMs - Wall-clock time (ms).
 * @returns The turns, in the order of their starts.
 */
export function findTurns(
  arrivals: readonly Arrival[],
  nowMs: number,
): Turn[] {
  const byPool = new Map<string, Arrival[]>();
  for (const arrival of arrivals.filter(({ work }) => work > 0)) {
    const own = byPool.get(arrival.pool) ?? [];
    byPool.set(arrival.pool, own);
    own.push(arrival);
  }
  const pools = [...byPool.values()];
  const firstMs = Math.min(...pools.map((own) => own[0]?.atMs ?? nowMs));
  // The lull of a single pool does not tell that no job was accepted.
  const pauses = pools.length > 1 ? findPauses(arrivals) : [];
  const leastDemand = MIN_DEMAND_SHARE * Math.max(...pools.map(findPeak));
  return pools.flatMap((own) =>
    joinParts(
      new PoolTurns(firstMs, leastDemand / computeMeanWork(own))
        .read(own, nowMs),
      pauses,
      nowMs,
    )
  ).toSorted((left, right) => left.startMs - right.startMs);
}

/** The turns that were found last in a list of arrivals, which has not changed. */
const found = new WeakMap<
  readonly Arrival[],
  { readonly nowMs: number; readonly turns: readonly Turn[] }
>();

/**
 * Finds the turns of the last {@link TURN_HISTORY_MS}, once for all that ask.
 *
 * @param arrivals - Work that has arrived, oldest first; must not change later.
 * @param nowMs - Wall-clock time (ms).
 * @returns The turns, in the order of their starts.
 */
export function findRecentTurns(
  arrivals: readonly Arrival[],
  nowMs: number,
): readonly Turn[] {
  const known = found.get(arrivals);
  if (known?.nowMs === nowMs) {
    return known.turns;
  }
  const recent = arrivals.filter(({ atMs }) => nowMs - atMs <= TURN_HISTORY_MS);
  const turns = findTurns(recent, nowMs);
  found.set(arrivals, { nowMs, turns });
  return turns;
}

// A short lull looks like the end of a turn and the start of another one.
function joinParts(
  turns: readonly Turn[],
  pauses: readonly Pause[],
  nowMs: number,
): Turn[] {
  const joined: Turn[] = [];
  for (const turn of turns) {
    const before = joined.at(-1);
    if (
      before?.endMs === undefined ||
      measureLull(before.endMs, turn.startMs, pauses) > MAX_LULL_MS
    ) {
      joined.push(turn);
      continue;
    }
    const work = computeWork(before, nowMs) + computeWork(turn, nowMs);
    const lengthMs = (turn.endMs ?? nowMs) - before.startMs;
    joined[joined.length - 1] = {
      ...turn,
      startMs: before.startMs,
      millicores: work / Math.max(1, lengthMs),
    };
  }
  return joined;
}

// Lists the times in which no pool had a job: without a leader none is accepted.
function findPauses(arrivals: readonly Arrival[]): Pause[] {
  return arrivals.flatMap(({ atMs }, index) => {
    const fromMs = arrivals[index - 1]?.atMs ?? atMs;
    return atMs - fromMs > MAX_LULL_MS ? [{ fromMs, toMs: atMs }] : [];
  });
}

function measureLull(
  fromMs: number,
  toMs: number,
  pauses: readonly Pause[],
): number {
  return pauses.reduce(
    (leftMs, pause) =>
      leftMs - Math.max(
        0,
        Math.min(toMs, pause.toMs) - Math.max(fromMs, pause.fromMs),
      ),
    toMs - fromMs,
  );
}

function computeWork(
  { endMs, millicores, startMs }: Turn,
  nowMs: number,
): number {
  return millicores * ((endMs ?? nowMs) - startMs);
}

function computeMeanWork(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((sum, { work }) => sum + work, 0) / arrivals.length;
}

function findPeak(arrivals: readonly Arrival[]): number {
  let peak = 0;
  let sum = 0;
  let first = 0;
  for (const { atMs, work } of arrivals) {
    sum += work;
    while ((arrivals[first]?.atMs ?? atMs) <= atMs - PEAK_SPAN_MS) {
      sum -= arrivals[first]?.work ?? 0;
      first += 1;
    }
    peak = Math.max(peak, sum / PEAK_SPAN_MS);
  }
  return peak;
}

/** Jobs that arrived in a span. */
interface Span {
  startMs: number;
  count: number;
  work: number;
}

/** Reads the arrivals of one pool in their order. */
class PoolTurns {
  readonly #ended: (Span & { readonly endMs: number })[] = [];
  #isTurn = false;
  /** Arrivals since the latest change, without those of `#run`. */
  #span: Span;
  /** Arrivals since the time from which on the rate may be another one. */
  #run: Span;
  #evidence = 0;
  #latestMs: number;

  readonly #leastRate: number;

  /**
   * @param firstMs - Wall-clock time at which the history begins (ms).
   * @param leastRate - Rate below which there is no turn, in jobs a millisecond.
   */
  constructor(firstMs: number, leastRate: number) {
    this.#leastRate = leastRate;
    this.#span = { startMs: firstMs, count: 0, work: 0 };
    this.#run = { startMs: firstMs, count: 0, work: 0 };
    this.#latestMs = firstMs;
  }

  /**
   * Finds the turns of a pool.
   *
   * @param arrivals - Its arrivals, oldest first.
   * @param nowMs - Wall-clock time (ms).
   */
  read(arrivals: readonly Arrival[], nowMs: number): Turn[] {
    arrivals.forEach((arrival) => this.#add(arrival));
    this.#pass(nowMs);
    return this.#list(arrivals[0]?.pool ?? "", nowMs);
  }

  #add({ atMs, work }: Arrival): void {
    this.#pass(atMs);
    if (this.#isTurn) {
      this.#evidence -= LOG_FACTOR;
    } else {
      this.#evidence += LOG_FACTOR;
      this.#run.startMs = this.#run.count === 0 ? atMs : this.#run.startMs;
    }
    this.#run.count += 1;
    this.#run.work += work;
    this.#check(atMs);
  }

  #list(pool: string, nowMs: number): Turn[] {
    const turns = this.#ended.map((span): Turn => ({
      pool,
      startMs: span.startMs,
      endMs: span.endMs,
      millicores: span.work / Math.max(1, span.endMs - span.startMs),
    }));
    if (this.#isTurn) {
      const { startMs } = this.#span;
      const work = this.#span.work + this.#run.work;
      const count = this.#span.count + this.#run.count;
      // The first job comes at the start, as if the time before it had passed.
      const lengthMs = Math.max(1, nowMs - startMs) * (1 + 1 / count);
      const millicores = work / lengthMs;
      turns.push({ pool, startMs, endMs: undefined, millicores });
    }
    return turns;
  }

  // Time in which no job came speaks for the lower rate.
  #pass(atMs: number): void {
    const passedMs = Math.max(0, atMs - this.#latestMs);
    this.#latestMs = Math.max(atMs, this.#latestMs);
    const { count, startMs } = this.#span;
    const lengthMs = this.#run.startMs - startMs;
    const rate = Math.max(
      this.#leastRate,
      (count + ASSUMED_COUNT) / (lengthMs + ASSUMED_SPAN_MS),
    );
    this.#evidence += this.#isTurn
      ? rate * (1 - 1 / RATE_FACTOR) * passedMs
      : -rate * (RATE_FACTOR - 1) * passedMs;
    this.#check(atMs);
  }

  #check(atMs: number): void {
    if (this.#evidence <= 0) {
      this.#evidence = 0;
      this.#span.count += this.#run.count;
      this.#span.work += this.#run.work;
      this.#run = { startMs: atMs, count: 0, work: 0 };
    } else if (this.#evidence >= MIN_EVIDENCE) {
      if (this.#isTurn) {
        this.#ended.push({ ...this.#span, endMs: this.#run.startMs });
      }
      this.#isTurn = !this.#isTurn;
      this.#evidence = 0;
      this.#span = this.#run;
      this.#run = { startMs: atMs, count: 0, work: 0 };
    }
  }
}
