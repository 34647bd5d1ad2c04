/** The turns of the latest arrivals, found once for all that ask. */
import type { Arrival } from "./demand_forecast.ts";
import { findTurns, type Turn } from "./turn_detector.ts";

/** Age up to which arrivals count, in milliseconds. */
const HISTORY_MS = 60_000;

/** The latest arrivals and their turns. */
export interface RecentTurns {
  readonly arrivals: readonly Arrival[];
  /** In the order of their starts. */
  readonly turns: readonly Turn[];
}

/** Finds turns, once for each list of arrivals. */
export class TurnHistory {
  #arrivals: readonly Arrival[] | undefined;
  #nowMs = NaN;
  #recent: RecentTurns = { arrivals: [], turns: [] };

  /**
   * Finds the turns of the latest arrivals.
   *
   * @param arrivals - Work that has arrived, oldest first.
   * @param nowMs - Wall-clock time (ms).
   */
  read(arrivals: readonly Arrival[], nowMs: number): RecentTurns {
    if (arrivals !== this.#arrivals || nowMs !== this.#nowMs) {
      const recent = arrivals.filter(({ atMs }) => nowMs - atMs <= HISTORY_MS);
      this.#arrivals = arrivals;
      this.#nowMs = nowMs;
      this.#recent = { arrivals: recent, turns: findTurns(recent, nowMs) };
    }
    return this.#recent;
  }
}
