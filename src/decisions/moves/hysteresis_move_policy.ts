/** Move policies: one that follows only sustained demand, and a baseline. */
import {
  countRecentMoves,
  createCapacityMove,
  DEFAULT_THRESHOLDS,
  findNeeds,
  type MoveInput,
  type MoveNeed,
  type MovePolicy,
  type MoveThresholds,
  type PoolDemand,
} from "./move_policy.ts";
import type { RequestedAction } from "./requested_action.ts";

/** Options of {@link HysteresisMovePolicy}. */
export interface HysteresisOptions extends MoveThresholds {
  /**
   * Time that demand stays high before a pool borrows a VM, in milliseconds.
   */
  readonly borrowAfterMs: number;
  /** Time that demand stays low before a pool returns a VM, in milliseconds. */
  readonly returnAfterMs: number;
  readonly maxMovesPerHourCount: number;
  /** Time constant over which demand is averaged, in milliseconds. */
  readonly averagingMs: number;
}

const DEFAULT_HYSTERESIS: HysteresisOptions = {
  ...DEFAULT_THRESHOLDS,
  reserveRatio: 0.5,
  borrowAfterMs: 300_000,
  returnAfterMs: 1_200_000,
  maxMovesPerHourCount: 6,
  averagingMs: 300_000,
};

/**
 * Longest time between two decisions in which demand counts as observed, in
 * milliseconds: several rounds of a controller.
 */
const MAX_DECISION_GAP_MS = 30_000;

interface AveragedRatio {
  readonly ratio: number;
  readonly atMs: number;
}

interface SustainedNeed {
  readonly direction: MoveNeed["direction"];
  readonly sinceMs: number;
}

/**
 * Moves VMs only when demand stays high or low.
 *
 * A move costs a drain and a reboot, while peaks last seconds. Peaks are
 * absorbed by the overflow to spare pools and by the teams' shares. The times
 * are kept in memory, so a controller that takes over measures them from the
 * start, also after a break of its own leadership.
 */
export class HysteresisMovePolicy implements MovePolicy {
  readonly #options: HysteresisOptions;
  readonly #since = new Map<string, SustainedNeed>();
  readonly #averages = new Map<string, AveragedRatio>();
  /** Monotonic time of the latest decision (ms). */
  #decidedAtMs = -Infinity;

  constructor(options: Partial<HysteresisOptions> = {}) {
    this.#options = { ...DEFAULT_HYSTERESIS, ...options };
  }

  decide(input: MoveInput): RequestedAction[] {
    if (input.monotonicMs - this.#decidedAtMs > MAX_DECISION_GAP_MS) {
      this.#since.clear();
    }
    this.#decidedAtMs = input.monotonicMs;
    const averaged = {
      ...input,
      demand: input.demand.map((demand) =>
        this.#average(demand, input.monotonicMs)
      ),
    };
    const needs = findNeeds(averaged, this.#options);
    const sustained = this.#keepSustained(needs, input.monotonicMs);
    if (sustained.length === 0) {
      return [];
    }
    const { reserveRatio } = this.#options;
    const leftCount = this.#options.maxMovesPerHourCount -
      countRecentMoves(input);
    return sustained
      .map((need) => createCapacityMove(averaged, need, reserveRatio))
      .filter((action) => action !== undefined)
      .slice(0, Math.max(0, leftCount));
  }

  // Without averaging, peaks and dips of a few seconds would restart the time
  // that demand has stayed beyond a threshold.
  #average(demand: PoolDemand, monotonicMs: number): PoolDemand {
    const { pool, busySlotCount, slotCount } = demand;
    const ratio = slotCount === 0 ? 0 : busySlotCount / slotCount;
    const known = this.#averages.get(pool) ?? { ratio, atMs: monotonicMs };
    const elapsedMs = monotonicMs - known.atMs;
    const weight = 1 - Math.exp(-elapsedMs / this.#options.averagingMs);
    const averaged = known.ratio + (ratio - known.ratio) * weight;
    this.#averages.set(pool, { ratio: averaged, atMs: monotonicMs });
    return { pool, slotCount, busySlotCount: averaged * slotCount };
  }

  #keepSustained(
    needs: readonly MoveNeed[],
    monotonicMs: number,
  ): MoveNeed[] {
    const present = new Set(needs.map(({ demand }) => demand.pool));
    for (const pool of this.#since.keys()) {
      if (!present.has(pool)) {
        this.#since.delete(pool);
      }
    }
    return needs.filter(({ demand, direction }) => {
      const known = this.#since.get(demand.pool);
      const sinceMs = known?.direction === direction
        ? known.sinceMs
        : monotonicMs;
      this.#since.set(demand.pool, { direction, sinceMs });
      const neededMs = direction === "borrow"
        ? this.#options.borrowAfterMs
        : this.#options.returnAfterMs;
      return monotonicMs - sinceMs >= neededMs;
    });
  }
}

/** Baseline: moves a VM as soon as demand passes a threshold. */
export class ReactiveMovePolicy implements MovePolicy {
  decide(input: MoveInput): RequestedAction[] {
    return findNeeds(input, DEFAULT_THRESHOLDS)
      .map((need) =>
        createCapacityMove(input, need, DEFAULT_THRESHOLDS.reserveRatio)
      )
      .filter((action) => action !== undefined);
  }
}
