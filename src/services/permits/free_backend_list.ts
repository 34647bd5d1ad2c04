/** List of backend servers with free slots, with access by index in O(1). */
import type { BackendCandidate, CandidateList } from "../../decisions/index.ts";

/** Stores backend servers with free slots so that a picker can sample them. */
export class FreeBackendList implements CandidateList {
  readonly #candidates: BackendCandidate[] = [];
  readonly #positions = new Map<string, number>();

  /** Number of backend servers with a free slot. */
  get length(): number {
    return this.#candidates.length;
  }

  /** Returns the candidate at an index, or undefined beyond the end. */
  at(position: number): BackendCandidate | undefined {
    return this.#candidates[position];
  }

  /**
   * Finds the first candidate that a predicate accepts, in linear time.
   *
   * @param predicate - Returns true for a suitable candidate.
   * @returns The candidate, or undefined when the predicate accepts none.
   */
  find(
    predicate: (candidate: BackendCandidate) => boolean,
  ): BackendCandidate | undefined {
    return this.#candidates.find(predicate);
  }

  /**
   * Adds or replaces a candidate, or removes it when it has no free slot.
   *
   * @param candidate - The backend server and its number of free slots.
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
   * Removes a candidate. The last candidate takes its position.
   *
   * @param backendServerId - Id of the backend server. An unknown id has no
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
