/** Chooses the backend server of an attempt. */
import type { Random } from "../../ports/index.ts";

/** A backend server that may get the attempt. */
export interface BackendCandidate {
  readonly backendServerId: string;
  readonly pool: string;
  readonly zone: string;
  /** Number of unused slots. */
  readonly freeSlotCount: number;
  readonly slotCount: number;
}

/** Candidates by index, so that a choice need not visit all of them. */
export type CandidateList = Pick<readonly BackendCandidate[], "length" | "at">;

/** Chooses among backend servers with a free slot. */
export interface BackendPicker {
  /**
   * Chooses a backend server.
   *
   * @param candidates - Backend servers with at least one free slot.
   * @returns One of them, or undefined when there is none.
   */
  pick(candidates: CandidateList): BackendCandidate | undefined;
}

/**
 * Draws two backend servers at random and picks the one with more free slots.
 */
export class TwoChoicesPicker implements BackendPicker {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  pick(candidates: CandidateList): BackendCandidate | undefined {
    if (candidates.length === 0) {
      return undefined;
    }
    const first = candidates.at(this.#random.nextInt(candidates.length));
    const second = candidates.at(this.#random.nextInt(candidates.length));
    if (first === undefined || second === undefined) {
      return first ?? second;
    }
    return second.freeSlotCount > first.freeSlotCount ? second : first;
  }
}

/** Baseline: picks a backend server at random, whatever its load. */
export class RandomPicker implements BackendPicker {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  pick(candidates: CandidateList): BackendCandidate | undefined {
    return candidates.length === 0
      ? undefined
      : candidates.at(this.#random.nextInt(candidates.length));
  }
}
