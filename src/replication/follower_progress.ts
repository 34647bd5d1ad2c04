/** A leader's view of one follower. */
import type { Member } from "../domain/index.ts";
import type { Clock } from "../ports/index.ts";
import type { PullRequest } from "./messages.ts";
import {
  FRESHNESS_LEASE_MS,
  MAX_KEPT_PULLS,
  RECENT_PULL_MS,
} from "./timing.ts";

interface ReceivedPull {
  /** Follower's monotonic time at which it sent the pull, in milliseconds. */
  readonly requestedAtMs: number;
  /** Leader's monotonic time at which the pull arrived, in milliseconds. */
  readonly receivedAtMs: number;
  /** Leader's steady time at which the pull arrived, in milliseconds. */
  readonly receivedAtSteadyMs: number;
}

/** Replication progress, confirmations and freshness lease of one follower. */
export class FollowerProgress {
  readonly member: Member;
  /** Index up to which the follower holds the leader's log durably. */
  matchIndex = 0;
  /**
   * Leader's monotonic time of the newest response that the follower acknowledged
   * (ms).
   */
  echoedTimestampMs = -Infinity;
  /** Leader's steady time at which the follower last held its whole log (ms). */
  caughtUpAtMs: number | undefined;
  hasDisk = false;
  wantsVote = false;
  /** Configuration revision in force at the follower. */
  revision: number | undefined;
  /** Steady time (ms). */
  #lastPullAtMs = -Infinity;
  #leaseEndsAtMs = -Infinity;
  #receivedPulls: ReceivedPull[] = [];

  /** @param member - Entry and data folder of the follower. */
  constructor(member: Member) {
    this.member = member;
  }

  /**
   * Leader's steady time by which the follower's freshness lease ends at the
   * latest (ms).
   */
  get leaseEndsAtMs(): number {
    return this.#leaseEndsAtMs;
  }

  /**
   * Records a pull.
   *
   * @param pull - The message.
   * @param clock - The leader's clock, which reads the time of its arrival.
   * @param term - The leader's term.
   */
  recordPull(pull: PullRequest, clock: Clock, term: number): void {
    const receivedAtMs = clock.monotonicMs();
    const receivedAtSteadyMs = clock.steadyMs();
    this.hasDisk = pull.hasDisk;
    this.wantsVote = pull.wantsVote;
    this.revision = Math.max(this.revision ?? 0, pull.revision);
    this.#lastPullAtMs = receivedAtSteadyMs;
    this.#receivedPulls.push({
      requestedAtMs: pull.askMs,
      receivedAtMs,
      receivedAtSteadyMs,
    });
    if (this.#receivedPulls.length > MAX_KEPT_PULLS) {
      this.#receivedPulls.shift();
    }
    if (pull.term === term && pull.echoTerm === term) {
      this.echoedTimestampMs = Math.max(this.echoedTimestampMs, pull.echoMs);
    }
  }

  /**
   * Returns whether the follower has pulled within {@link RECENT_PULL_MS}.
   *
   * @param nowMs - Leader's steady time (ms).
   */
  isRunning(nowMs: number): boolean {
    return nowMs - this.#lastPullAtMs < RECENT_PULL_MS;
  }

  /**
   * Computes the time since the follower's last pull.
   *
   * @param nowMs - Leader's steady time (ms).
   * @param sinceMs - Start of the period, if the last pull is older (ms).
   * @returns The time in milliseconds.
   */
  computeMsSinceLastPull(nowMs: number, sinceMs: number): number {
    return nowMs - Math.max(sinceMs, this.#lastPullAtMs);
  }

  /**
   * Finds the newest pull that arrived before a quorum confirmed the leader, and
   * records the freshness lease that this pull gives the follower.
   *
   * @param confirmedAtMs - Leader's time as of which a quorum confirmed it (ms).
   * @returns Follower's time at which it sent the pull (ms), or undefined.
   */
  findConfirmedRequestMs(confirmedAtMs: number): number | undefined {
    const pull = this.#receivedPulls.findLast(({ receivedAtMs }) =>
      receivedAtMs <= confirmedAtMs
    );
    if (pull !== undefined) {
      const endMs = pull.receivedAtSteadyMs + FRESHNESS_LEASE_MS;
      this.#leaseEndsAtMs = Math.max(this.#leaseEndsAtMs, endMs);
    }
    return pull?.requestedAtMs;
  }
}
