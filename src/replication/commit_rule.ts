/** When an entry counts as committed. */
import { computeQuorum } from "../domain/index.ts";

/** How far one voter has come. */
export interface VoterPosition {
  /** Index up to which the voter holds the log durably. */
  readonly matchIndex: number;
  /** How long ago the voter had the whole log of the leader, in milliseconds. */
  readonly lagMs: number;
}

/** Decides which entries are committed. */
export interface CommitRule {
  /**
   * Finds the last committed entry.
   *
   * @param voters - All voters, the leader among them.
   * @returns Index of the entry.
   */
  findCommitIndex(voters: readonly VoterPosition[]): number;
}

/** Commits what a majority holds: one slow voter delays nothing. */
export class MajorityCommitRule implements CommitRule {
  findCommitIndex(voters: readonly VoterPosition[]): number {
    const indexes = voters.map(({ matchIndex }) => matchIndex)
      .toSorted((left, right) => right - left);
    return indexes[computeQuorum(voters.length) - 1] ?? 0;
  }
}

/**
 * Commits what all voters hold that do not lag; the baseline of the
 * measurement. Elections by majority are not safe with it.
 */
export class AllInSyncCommitRule implements CommitRule {
  readonly #maxLagMs: number;

  /** @param maxLagMs - Lag after which a voter is not waited for (ms). */
  constructor(maxLagMs: number) {
    this.#maxLagMs = maxLagMs;
  }

  findCommitIndex(voters: readonly VoterPosition[]): number {
    const inSync = voters.filter(({ lagMs }) => lagMs <= this.#maxLagMs);
    return Math.min(...inSync.map(({ matchIndex }) => matchIndex));
  }
}
