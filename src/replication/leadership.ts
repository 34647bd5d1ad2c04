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
import type { Pull } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { LEADER_LEASE_MS, STEP_DOWN_MS } from "./timing.ts";

type Settle = (applied: Result<AppliedValue, Failure>) => void;

/** Progress of the followers and the proposals that wait for them. */
export class Leadership {
  readonly term: number;
  /** Monotonic time at which the term began here, in milliseconds. */
  readonly sinceMs: number;
  /** Number of times that the voters were asked for a prompt confirmation. */
  round = 0;
  readonly #core: ReplicaCore;
  /** Index of the entry with which the term began. */
  readonly #firstIndex: number;
  readonly #followers = new Map<string, FollowerProgress>();
  readonly #waiting = new Map<number, Settle>();

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
  get confirmedMs(): number {
    const nowMs = this.#core.options.clock.monotonicMs();
    return this.#findQuorumValue(
      nowMs,
      (voter) => this.#followers.get(voter.storeId)?.echoMs ?? -Infinity,
    );
  }

  /** Whether no other leader can have been elected yet. */
  get hasLease(): boolean {
    const ageMs = this.#core.options.clock.monotonicMs() - this.confirmedMs;
    return this.isEstablished && ageMs < LEADER_LEASE_MS;
  }

  /** Whether a quorum has been silent for too long to go on. */
  get hasLostQuorum(): boolean {
    const heardMs = Math.max(this.confirmedMs, this.sinceMs);
    return this.#core.options.clock.monotonicMs() - heardMs > STEP_DOWN_MS;
  }

  /**
   * Records a pull, which also acknowledges the answer before it.
   *
   * @param entryId - The follower.
   * @param pull - Its message.
   * @returns What is known of the follower.
   */
  recordPull(entryId: string, pull: Pull): FollowerProgress {
    const follower = this.#find({ entryId, storeId: pull.storeId });
    const nowMs = this.#core.options.clock.monotonicMs();
    const before = this.confirmedMs;
    follower.recordPull(pull, nowMs, this.term);
    if (this.confirmedMs > before) {
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
      follower.caughtUpMs = options.clock.monotonicMs();
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
    const index = core.options.commitRule.findCommitted(positions);
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
  findConfirmedAsk(follower: FollowerProgress): number | undefined {
    return this.isEstablished
      ? follower.findConfirmedAsk(this.confirmedMs)
      : undefined;
  }

  /** Computes for how long a member has not pulled in this term, in milliseconds. */
  computeSilenceMs({ storeId }: Member): number {
    const nowMs = this.#core.options.clock.monotonicMs();
    const follower = this.#followers.get(storeId);
    return follower?.computeSilenceMs(nowMs, this.sinceMs) ??
      nowMs - this.sinceMs;
  }

  /** Asks the voters that wait for entries to confirm at once. */
  startRound(): void {
    this.round += 1;
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
  await(index: number, settle: Settle): void {
    this.#waiting.set(index, settle);
  }

  /** Settles the proposal that waits for an applied entry. */
  settle(index: number, applied: Applied): void {
    this.#waiting.get(index)?.(applied);
    this.#waiting.delete(index);
  }

  /** Settles all waiting proposals: another leader may yet commit them. */
  end(): void {
    const failure = createFailure(
      "noQuorum",
      `the leader of term ${this.term} stepped down before a quorum answered`,
      { remedy: "ask again under the same operation id" },
    );
    for (const settle of this.#waiting.values()) {
      settle(Result.err(failure));
    }
    this.#waiting.clear();
  }

  #find(member: Member): FollowerProgress {
    const known = this.#followers.get(member.storeId) ??
      new FollowerProgress(member);
    this.#followers.set(member.storeId, known);
    return known;
  }

  #findPosition({ storeId }: Member): VoterPosition {
    const { log, options, self } = this.#core;
    if (storeId === self.storeId) {
      return { matchIndex: log.last.index, lagMs: 0 };
    }
    const follower = this.#followers.get(storeId);
    const caughtUpMs = follower?.caughtUpMs ?? this.sinceMs;
    return {
      matchIndex: follower?.matchIndex ?? 0,
      lagMs: options.clock.monotonicMs() - caughtUpMs,
    };
  }

  // The largest value that at least a majority of the voters have reached.
  #findQuorumValue(own: number, read: (voter: Member) => number): number {
    const { log, self } = this.#core;
    const { voters } = log.membership;
    const values = voters.map((voter) =>
      voter.storeId === self.storeId ? own : read(voter)
    );
    values.sort((left, right) => right - left);
    return values[computeQuorum(voters.length) - 1] ?? -Infinity;
  }
}
