/** Chooses the backend server that gets an attempt. */
import type { Random } from "../../ports/index.ts";

/** A backend server that may get the attempt. */
export interface BackendCandidate {
  readonly backendServerId: string;
  readonly pool: string;
  readonly zone: string;
  /** Slots there that nobody uses. */
  readonly freeSlotCount: number;
  readonly slotCount: number;
}

/** Candidates by position, so that a choice need not look at all of them. */
export type CandidateList = Pick<readonly BackendCandidate[], "length" | "at">;

/** A way of choosing among backend servers with a free slot. */
export interface BackendPicker {
  /**
   * Chooses a backend server.
   *
   * @param candidates - Backend servers with at least one free slot.
   * @returns One of them, or undefined when there is none.
   */
  pick(candidates: CandidateList): BackendCandidate | undefined;
}

/** Chooses the backend server with the most free slots of two drawn at random. */
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

/** Baseline: chooses at random, whatever the load. */
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
