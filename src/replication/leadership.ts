/** One term as leader: what followers have, and who confirmed it when. */
import { Result } from "true-myth";
import {
  type Applied,
  type AppliedValue,
  computeQuorum,
  createFailure,
  type Failure,
  includesMember,
  type Member,
} from "../domain/index.ts";
import type { VoterPosition } from "./commit_rule.ts";
import { FollowerProgress } from "./follower_progress.ts";
import type { PullRequest } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { LEADER_LEASE_MS, QUORUM_LOSS_TIMEOUT_MS } from "./timing.ts";

type SettleProposal = (applied: Result<AppliedValue, Failure>) => void;

/** Progress of the followers and the proposals that wait for them. */
export class Leadership {
  readonly term: number;
  /** Monotonic time at which the term began here, in milliseconds. */
  readonly sinceMs: number;
  /** Number of times that the voters were asked for a prompt confirmation. */
  confirmationRound = 0;
  readonly #core: ReplicaCore;
  /** Index of the entry with which the term began. */
  readonly #firstIndex: number;
  readonly #followers = new Map<string, FollowerProgress>();
  readonly #pendingProposals = new Map<number, SettleProposal>();

  /** @param core - The replica, whose log ends with the first entries of the term. */
  constructor(core: ReplicaCore) {
    this.#core = core;
    this.term = core.term;
    this.sinceMs = core.options.clock.monotonicMs();
    this.#firstIndex = core.log.last.index;
  }

  /** Followers that have pulled in this term. */
  get followers(): readonly FollowerProgress[] {
    return [...this.#followers.values()];
  }

  /** Whether an entry of this term is committed, and with it all before it. */
  get isEstablished(): boolean {
    return this.#core.commitIndex >= this.#firstIndex;
  }

  /** Monotonic time after which a quorum confirmed this leader, in milliseconds. */
  get confirmedAtMs(): number {
    const nowMs = this.#core.options.clock.monotonicMs();
    return this.#findQuorumValue(
      nowMs,
      (voter) =>
        this.#followers.get(voter.storeId)?.echoedTimestampMs ?? -Infinity,
    );
  }

  /** Whether no other leader can have been elected yet. */
  get hasLease(): boolean {
    const ageMs = this.#core.options.clock.monotonicMs() - this.confirmedAtMs;
    return this.isEstablished && ageMs < LEADER_LEASE_MS;
  }

  /** Whether a quorum has been silent for too long to go on. */
  get hasLostQuorum(): boolean {
    const lastConfirmedAtMs = Math.max(this.confirmedAtMs, this.sinceMs);
    return this.#core.options.clock.monotonicMs() - lastConfirmedAtMs >
      QUORUM_LOSS_TIMEOUT_MS;
  }

  /**
   * Records a pull, which also acknowledges the answer before it.
   *
   * @param entryId - The follower.
   * @param pull - Its message.
   * @returns What is known of the follower.
   */
  recordPull(entryId: string, pull: PullRequest): FollowerProgress {
    const follower = this.#findOrCreateFollower({
      entryId,
      storeId: pull.storeId,
    });
    const nowMs = this.#core.options.clock.monotonicMs();
    const previousMs = this.confirmedAtMs;
    follower.recordPull(pull, nowMs, this.term);
    if (this.confirmedAtMs > previousMs) {
      this.#core.changed.notify();
    }
    return follower;
  }

  /**
   * Records up to where a follower holds the log durably.
   *
   * @param follower - The follower.
   * @param index - Index of the last entry that it holds.
   */
  recordMatch(follower: FollowerProgress, index: number): void {
    const { log, options } = this.#core;
    if (index >= log.last.index) {
      follower.caughtUpAtMs = options.clock.monotonicMs();
    }
    if (index > follower.matchIndex) {
      follower.matchIndex = index;
      this.advanceCommit();
    }
  }

  /** Commits what enough voters hold durably. */
  advanceCommit(): void {
    const core = this.#core;
    const positions = core.log.membership.voters.map((voter) =>
      this.#findPosition(voter)
    );
    const index = core.options.commitRule.findCommitIndex(positions);
    // Entries of earlier terms are committed only by one of this term after them.
    if (index > core.commitIndex && core.log.findTerm(index) === this.term) {
      core.advanceCommit(index);
    }
  }

  /**
   * Finds the newest ask of a follower after which a quorum confirmed.
   *
   * @param follower - The follower.
   * @returns Its monotonic time of the ask (ms), or undefined.
   */
  findConfirmedRequestMs(follower: FollowerProgress): number | undefined {
    return this.isEstablished
      ? follower.findConfirmedRequestMs(this.confirmedAtMs)
      : undefined;
  }

  /** Computes for how long a member has not pulled in this term, in milliseconds. */
  computeMsSinceLastPull({ storeId }: Member): number {
    const nowMs = this.#core.options.clock.monotonicMs();
    const follower = this.#followers.get(storeId);
    return follower?.computeMsSinceLastPull(nowMs, this.sinceMs) ??
      nowMs - this.sinceMs;
  }

  /** Asks the voters that wait for entries to confirm at once. */
  startConfirmationRound(): void {
    this.confirmationRound += 1;
    this.#core.changed.notify();
  }

  /** Tells whether a follower votes. */
  isVoter(follower: FollowerProgress): boolean {
    return includesMember(this.#core.log.membership.voters, follower.member);
  }

  /**
   * Waits for an entry to be applied.
   *
   * @param index - Index of the entry.
   * @param settle - Called once with what came of it.
   */
  onApplied(index: number, settle: SettleProposal): void {
    this.#pendingProposals.set(index, settle);
  }

  /** Settles the proposal that waits for an applied entry. */
  settle(index: number, applied: Applied): void {
    this.#pendingProposals.get(index)?.(applied);
    this.#pendingProposals.delete(index);
  }

  /** Settles all waiting proposals: another leader may yet commit them. */
  failPendingProposals(): void {
    const failure = createFailure(
      "noQuorum",
      `the leader of term ${this.term} stepped down before a quorum answered`,
      { remedy: "ask again under the same operation id" },
    );
    for (const settle of this.#pendingProposals.values()) {
      settle(Result.err(failure));
    }
    this.#pendingProposals.clear();
  }

  #findOrCreateFollower(member: Member): FollowerProgress {
    const follower = this.#followers.get(member.storeId) ??
      new FollowerProgress(member);
    this.#followers.set(member.storeId, follower);
    return follower;
  }

  #findPosition({ storeId }: Member): VoterPosition {
    const { log, options, self } = this.#core;
    if (storeId === self.storeId) {
      return { matchIndex: log.last.index, lagMs: 0 };
    }
    const follower = this.#followers.get(storeId);
    const caughtUpAtMs = follower?.caughtUpAtMs ?? this.sinceMs;
    return {
      matchIndex: follower?.matchIndex ?? 0,
      lagMs: options.clock.monotonicMs() - caughtUpAtMs,
    };
  }

  // The largest value that at least a majority of the voters have reached.
  #findQuorumValue(
    ownValue: number,
    readValue: (voter: Member) => number,
  ): number {
    const { log, self } = this.#core;
    const { voters } = log.membership;
    const values = voters.map((voter) =>
      voter.storeId === self.storeId ? ownValue : readValue(voter)
    );
    values.sort((left, right) => right - left);
    return values[computeQuorum(voters.length) - 1] ?? -Infinity;
  }
}
