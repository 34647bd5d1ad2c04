/** Rules that decide which log entries are committed. */
import { computeQuorum } from "../domain/index.ts";

/** Replication progress of one voter. */
export interface VoterPosition {
  /** Index up to which the voter holds the leader's log durably. */
  readonly matchIndex: number;
  /** Time since the voter last held the leader's whole log, in milliseconds. */
  readonly lagMs: number;
}

/** Decides which log entries are committed. */
export interface CommitRule {
  /**
   * Computes the commit index.
   *
   * @param voters - Progress of all voters, including the leader.
   * @returns Index of the last committed log entry.
   */
  findCommitIndex(voters: readonly VoterPosition[]): number;
}

/** Commits log entries held by a majority; one slow voter delays no commit. */
export class MajorityCommitRule implements CommitRule {
  findCommitIndex(voters: readonly VoterPosition[]): number {
    const indexes = voters.map(({ matchIndex }) => matchIndex)
      .toSorted((left, right) => right - left);
    return indexes[computeQuorum(voters.length) - 1] ?? 0;
  }
}

/**
 * Commits log entries held by every in-sync voter. This rule is the baseline of
 * a benchmark only: a minority that is in sync can commit, so an election by
 * majority may lose committed log entries.
 */
export class AllInSyncCommitRule implements CommitRule {
  readonly #maxLagMs: number;

  /** @param maxLagMs - Lag above which a voter is not in sync (ms). */
  constructor(maxLagMs: number) {
    this.#maxLagMs = maxLagMs;
  }

  findCommitIndex(voters: readonly VoterPosition[]): number {
    const inSync = voters.filter(({ lagMs }) => lagMs <= this.#maxLagMs);
    return Math.min(...inSync.map(({ matchIndex }) => matchIndex));
  }
}
