/** What a leader knows of one follower. */
import type { Member } from "../domain/index.ts";
import type { PullRequest } from "./messages.ts";
import {
  FRESHNESS_LEASE_MS,
  MAX_KEPT_PULLS,
  RECENT_PULL_MS,
} from "./timing.ts";

interface ReceivedPull {
  /** Follower's time of the ask, in milliseconds. */
  readonly requestedAtMs: number;
  /** Leader's time at which the ask arrived, in milliseconds. */
  readonly receivedAtMs: number;
}

/** Position, confirmations and lease of one follower. */
export class FollowerProgress {
  readonly member: Member;
  /** Index up to which the follower holds the log durably. */
  matchIndex = 0;
  /** Stamp of the newest answer that the follower has acknowledged (ms). */
  echoedTimestampMs = -Infinity;
  /** Leader's time at which the follower last had its whole log (ms). */
  caughtUpAtMs: number | undefined;
  hasDisk = false;
  wantsVote = false;
  /** Configuration revision in force at the follower. */
  revision: number | undefined;
  #lastPullAtMs = -Infinity;
  #leaseEndsAtMs = -Infinity;
  #receivedPulls: ReceivedPull[] = [];

  /** @param member - Entry and data folder. */
  constructor(member: Member) {
    this.member = member;
  }

  /** Upper bound of when the follower's freshness lease ends (ms). */
  get leaseEndsAtMs(): number {
    return this.#leaseEndsAtMs;
  }

  /**
   * Records a pull.
   *
   * @param pull - The message.
   * @param receivedAtMs - Leader's monotonic time (ms).
   * @param term - The leader's term.
   */
  recordPull(pull: PullRequest, receivedAtMs: number, term: number): void {
    this.hasDisk = pull.hasDisk;
    this.wantsVote = pull.wantsVote;
    this.revision = Math.max(this.revision ?? 0, pull.revision);
    this.#lastPullAtMs = receivedAtMs;
    this.#receivedPulls.push({
      requestedAtMs: pull.askMs,
      receivedAtMs,
    });
    if (this.#receivedPulls.length > MAX_KEPT_PULLS) {
      this.#receivedPulls.shift();
    }
    if (pull.term === term && pull.echoTerm === term) {
      this.echoedTimestampMs = Math.max(this.echoedTimestampMs, pull.echoMs);
    }
  }

  /** Tells whether the follower has pulled lately. */
  isRunning(nowMs: number): boolean {
    return nowMs - this.#lastPullAtMs < RECENT_PULL_MS;
  }

  /**
   * Computes for how long the follower has not pulled.
   *
   * @param nowMs - Leader's monotonic time (ms).
   * @param sinceMs - Time from which on it is counted, if it never pulled (ms).
   * @returns The silence, in milliseconds.
   */
  computeMsSinceLastPull(nowMs: number, sinceMs: number): number {
    return nowMs - Math.max(sinceMs, this.#lastPullAtMs);
  }

  /**
   * Finds the newest ask that arrived before a quorum confirmed.
   *
   * @param confirmedAtMs - Leader's time after which a quorum confirmed (ms).
   * @returns Follower's time of the ask (ms), or undefined.
   */
  findConfirmedRequestMs(confirmedAtMs: number): number | undefined {
    const pull = this.#receivedPulls.findLast((
      { receivedAtMs },
    ) => receivedAtMs <= confirmedAtMs);
    if (pull !== undefined) {
      const endMs = pull.receivedAtMs + FRESHNESS_LEASE_MS;
      this.#leaseEndsAtMs = Math.max(this.#leaseEndsAtMs, endMs);
    }
    return pull?.requestedAtMs;
  }
}
