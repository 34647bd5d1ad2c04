/** Backend servers with a free slot, reached by position in constant time. */
import type { BackendCandidate, CandidateList } from "../../decisions/index.ts";

/** A set of candidates that can be drawn from at random. */
export class FreeBackendList implements CandidateList {
  readonly #candidates: BackendCandidate[] = [];
  readonly #positions = new Map<string, number>();

  /** Number of backend servers with a free slot. */
  get length(): number {
    return this.#candidates.length;
  }

  /** Returns the candidate at a position. */
  at(position: number): BackendCandidate | undefined {
    return this.#candidates[position];
  }

  /**
   * Finds a candidate by a test; looks at all of them.
   *
   * @param predicate - The test.
   * @returns The first candidate that passes, or undefined.
   */
  find(
    predicate: (candidate: BackendCandidate) => boolean,
  ): BackendCandidate | undefined {
    return this.#candidates.find(predicate);
  }

  /**
   * Adds, replaces or, without a free slot, removes a candidate.
   *
   * @param candidate - The backend server with its free slots.
   */
  set(candidate: BackendCandidate): void {
    if (candidate.freeSlotCount <= 0) {
      this.remove(candidate.backendServerId);
      return;
    }
    const position = this.#positions.get(candidate.backendServerId) ??
      this.#candidates.length;
    this.#candidates[position] = candidate;
    this.#positions.set(candidate.backendServerId, position);
  }

  /**
   * Removes a candidate.
   *
   * @param backendServerId - Id of the backend server; an unknown one has no
   * effect.
   */
  remove(backendServerId: string): void {
    const position = this.#positions.get(backendServerId);
    const last = this.#candidates.at(-1);
    if (position === undefined || last === undefined) {
      return;
    }
    this.#candidates[position] = last;
    this.#positions.set(last.backendServerId, position);
    this.#candidates.pop();
    this.#positions.delete(backendServerId);
  }
}
