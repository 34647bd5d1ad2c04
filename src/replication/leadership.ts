/** State of one term as leader: progress and confirmations of the followers. */
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

/** What a quorum of the voters has confirmed. */
interface QuorumConfirmation {
  readonly voters: readonly Member[];
  /** Monotonic time of the newest response that a quorum has confirmed (ms). */
  readonly atMs: number;
  /** Steady time at which that confirmation was noticed (ms). */
  readonly noticedAtMs: number;
}

type SettleProposal = (applied: Result<AppliedValue, Failure>) => void;

/** Tracks the followers of one term and the proposals that they must confirm. */
export class Leadership {
  readonly term: number;
  /** Steady time at which this replica began to lead, in milliseconds. */
  readonly sinceMs: number;
  /** Number of rounds in which voters were requested to confirm at once. */
  confirmationRound = 0;
  /** Number of waiting pulls that end once a quorum has confirmed the leader. */
  hurriedPullCount = 0;
  readonly #core: ReplicaCore;
  /** Index of the last log entry with which the leader opened the term. */
  readonly #firstIndex: number;
  readonly #followers = new Map<string, FollowerProgress>();
  readonly #pendingProposals = new Map<number, SettleProposal>();
  #confirmation: QuorumConfirmation | undefined;
  /** Whether a follower has confirmed a newer response since. */
  #isConfirmationOutdated = true;

  /** @param core - State of a replica whose log ends with the opening of the term. */
  constructor(core: ReplicaCore) {
    this.#core = core;
    this.term = core.term;
    this.sinceMs = core.options.clock.steadyMs();
    this.#firstIndex = core.log.last.index;
  }

  /** Followers that have pulled in this term. */
  get followers(): readonly FollowerProgress[] {
    return [...this.#followers.values()];
  }

  /** Whether a log entry of this term, and so every earlier one, is committed. */
  get isEstablished(): boolean {
    return this.#core.commitIndex >= this.#firstIndex;
  }

  /**
   * Latest monotonic time as of which a quorum has confirmed this leader, in
   * milliseconds; a voter confirms by echoing the timestamp of a response.
   */
  get confirmedAtMs(): number {
    return Math.min(
      this.#findConfirmation().atMs,
      this.#core.options.clock.monotonicMs(),
    );
  }

  /** Time since a quorum last confirmed this leader, in milliseconds. */
  get leaseAgeMs(): number {
    return this.#core.options.clock.monotonicMs() - this.confirmedAtMs;
  }

  /** Whether the leader lease is valid: no other leader can be elected yet. */
  get hasLease(): boolean {
    return this.isEstablished && this.leaseAgeMs < LEADER_LEASE_MS;
  }

  /** Whether no quorum has confirmed the leader for too long. */
  get hasLostQuorum(): boolean {
    const { atMs, noticedAtMs } = this.#findConfirmation();
    const silentMs = this.#core.options.clock.steadyMs() -
      Math.max(noticedAtMs, this.sinceMs);
    return atMs < Infinity && silentMs > QUORUM_LOSS_TIMEOUT_MS;
  }

  /**
   * Records a pull, which also acknowledges the previous response.
   *
   * @param entryId - The follower.
   * @param pull - Its message.
   * @returns The progress of the follower.
   */
  recordPull(entryId: string, pull: PullRequest): FollowerProgress {
    const follower = this.#findOrCreateFollower({
      entryId,
      storeId: pull.storeId,
    });
    const { echoedTimestampMs } = follower;
    follower.recordPull(pull, this.#core.options.clock, this.term);
    this.#isConfirmationOutdated ||=
      follower.echoedTimestampMs !== echoedTimestampMs;
    if (this.hurriedPullCount > 0) {
      this.#core.changed.notify();
    }
    return follower;
  }

  /**
   * Records up to which index a follower holds the log durably.
   *
   * @param follower - The follower.
   * @param index - Index of the last log entry that it holds.
   */
  recordMatch(follower: FollowerProgress, index: number): void {
    const { log, options } = this.#core;
    if (index >= log.last.index) {
      follower.caughtUpAtMs = options.clock.steadyMs();
    }
    if (index > follower.matchIndex) {
      follower.matchIndex = index;
      this.advanceCommit();
    }
  }

  /** Commits the log entries that enough voters hold durably. */
  advanceCommit(): void {
    const core = this.#core;
    const positions = core.log.membership.voters.map((voter) =>
      this.#findPosition(voter)
    );
    const index = core.options.commitRule.findCommitIndex(positions);
    // Log entries of earlier terms are committed only by a later one of this term.
    if (index > core.commitIndex && core.log.findTerm(index) === this.term) {
      core.advanceCommit(index);
    }
  }

  /**
   * Finds a follower's newest pull after which a quorum confirmed the leader.
   *
   * @param follower - The follower.
   * @returns Follower's monotonic time of that pull (ms), or undefined.
   */
  findConfirmedRequestMs(follower: FollowerProgress): number | undefined {
    return this.isEstablished
      ? follower.findConfirmedRequestMs(this.confirmedAtMs)
      : undefined;
  }

  /** Computes the time since a member's last pull in this term, in milliseconds. */
  computeMsSinceLastPull({ storeId }: Member): number {
    const nowMs = this.#core.options.clock.steadyMs();
    const follower = this.#followers.get(storeId);
    return follower?.computeMsSinceLastPull(nowMs, this.sinceMs) ??
      nowMs - this.sinceMs;
  }

  /**
   * Tells whether a member has pulled in this term, and lately.
   *
   * @param member - Entry and data folder of the member.
   * @param withinMs - How long ago its last pull may be (ms).
   */
  isHeard({ storeId }: Member, withinMs: number): boolean {
    const nowMs = this.#core.options.clock.steadyMs();
    const follower = this.#followers.get(storeId);
    const silentMs = follower?.computeMsSinceLastPull(nowMs, -Infinity);
    return silentMs !== undefined && silentMs <= withinMs;
  }

  /** Ends the waiting pulls of voters, whose next pulls confirm the leader. */
  startConfirmationRound(): void {
    this.confirmationRound += 1;
    this.#core.changed.notify();
  }

  /** Lists the entries of the other voters that have pulled lately, sorted. */
  listRunningVoterIds(): readonly string[] {
    const nowMs = this.#core.options.clock.steadyMs();
    return this.followers.filter((follower) =>
      follower.isRunning(nowMs) && this.isVoter(follower)
    ).map(({ member }) => member.entryId).toSorted();
  }

  /** Returns whether a follower is a voter. */
  isVoter(follower: FollowerProgress): boolean {
    return includesMember(this.#core.log.membership.voters, follower.member);
  }

  /**
   * Registers a callback for a log entry that waits to be applied.
   *
   * @param index - Index of the log entry.
   * @param settle - Called once, with the result of applying the log entry or
   * with `noQuorum` when the leader steps down first.
   */
  onApplied(index: number, settle: SettleProposal): void {
    this.#pendingProposals.set(index, settle);
  }

  /** Settles the proposal whose log entry has been applied. */
  settle(index: number, applied: Applied): void {
    this.#pendingProposals.get(index)?.(applied);
    this.#pendingProposals.delete(index);
  }

  /** Fails all pending proposals; another leader may still commit them. */
  failPendingProposals(): void {
    const failure = createFailure(
      "noQuorum",
      `the leader of term ${this.term} stepped down before a quorum confirmed the proposal`,
      { remedy: "send the request again with the same operation id" },
    );
    for (const settle of this.#pendingProposals.values()) {
      settle(Result.err(failure));
    }
    this.#pendingProposals.clear();
  }

  #findConfirmation(): QuorumConfirmation {
    const { log, options } = this.#core;
    const { voters } = log.membership;
    const known = this.#confirmation;
    if (known?.voters === voters && !this.#isConfirmationOutdated) {
      return known;
    }
    const atMs = this.#findQuorumValue(
      Infinity,
      (voter) =>
        this.#followers.get(voter.storeId)?.echoedTimestampMs ?? -Infinity,
    );
    // Other voters have had no time to confirm anything yet.
    const isNews = known?.voters !== voters || atMs > known.atMs;
    const noticedAtMs = isNews ? options.clock.steadyMs() : known.noticedAtMs;
    this.#confirmation = { voters, atMs, noticedAtMs };
    this.#isConfirmationOutdated = false;
    return this.#confirmation;
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
      lagMs: options.clock.steadyMs() - caughtUpAtMs,
    };
  }

  // Returns the largest value that a majority of the voters has reached.
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
