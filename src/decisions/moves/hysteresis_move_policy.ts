/** Move policies: for sustained change only, and the reactive baseline. */
import {
  countRecentMoves,
  createCapacityMove,
  DEFAULT_THRESHOLDS,
  findNeeds,
  type MoveInput,
  type MoveNeed,
  type MovePolicy,
  type MoveThresholds,
} from "./move_policy.ts";
import type { Wish } from "./wish.ts";

/** Options of {@link HysteresisMovePolicy}. */
export interface HysteresisOptions extends MoveThresholds {
  /** How long demand must stay high before a pool borrows, in milliseconds. */
  readonly borrowAfterMs: number;
  /** How long demand must stay low before a pool gives back, in milliseconds. */
  readonly returnAfterMs: number;
  readonly maxMovesPerHourCount: number;
}

const DEFAULT_HYSTERESIS: HysteresisOptions = {
  ...DEFAULT_THRESHOLDS,
  borrowAfterMs: 600_000,
  returnAfterMs: 1_200_000,
  maxMovesPerHourCount: 6,
};

interface SustainedNeed {
  readonly direction: MoveNeed["direction"];
  readonly sinceMs: number;
}

/**
 * Moves VMs only for change that lasts.
 *
 * A move costs a drain and a reboot, and peaks last seconds; those are left to
 * overflow and shares. A controller that takes over starts to wait anew.
 */
export class HysteresisMovePolicy implements MovePolicy {
  readonly #options: HysteresisOptions;
  readonly #since = new Map<string, SustainedNeed>();

  constructor(options: Partial<HysteresisOptions> = {}) {
    this.#options = { ...DEFAULT_HYSTERESIS, ...options };
  }

  decide(input: MoveInput): Wish[] {
    const needs = findNeeds(input, this.#options);
    const sustained = this.#keepSustained(needs, input.monotonicMs);
    if (sustained.length === 0) {
      return [];
    }
    const leftCount = this.#options.maxMovesPerHourCount -
      countRecentMoves(input);
    return sustained
      .map((need) => createCapacityMove(input, need))
      .filter((wish) => wish !== undefined)
      .slice(0, Math.max(0, leftCount));
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

/** Moves a VM as soon as a threshold is passed; the baseline. */
export class ReactiveMovePolicy implements MovePolicy {
  decide(input: MoveInput): Wish[] {
    return findNeeds(input, DEFAULT_THRESHOLDS)
      .map((need) => createCapacityMove(input, need))
      .filter((wish) => wish !== undefined);
  }
}
