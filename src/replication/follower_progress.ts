/** What a leader knows of one follower. */
import type { Member } from "../domain/index.ts";
import type { Pull } from "./messages.ts";
import { FRESHNESS_LEASE_MS, MAX_KEPT_ASKS, RECENT_PULL_MS } from "./timing.ts";

interface Ask {
  /** Follower's time of the ask, in milliseconds. */
  readonly askMs: number;
  /** Leader's time at which the ask arrived, in milliseconds. */
  readonly arrivedMs: number;
}

/** Position, confirmations and lease of one follower. */
export class FollowerProgress {
  readonly member: Member;
  /** Index up to which the follower holds the log durably. */
  matchIndex = 0;
  /** Stamp of the newest answer that the follower has acknowledged (ms). */
  echoMs = -Infinity;
  /** Leader's time at which the follower last had its whole log (ms). */
  caughtUpMs: number | undefined;
  hasDisk = false;
  wantsVote = false;
  /** Configuration revision in force at the follower. */
  revision: number | undefined;
  #lastPullMs = -Infinity;
  #leaseEndMs = -Infinity;
  #asks: Ask[] = [];

  /** @param member - Entry and data folder. */
  constructor(member: Member) {
    this.member = member;
  }

  /** Upper bound of when the follower's freshness lease ends (ms). */
  get leaseEndMs(): number {
    return this.#leaseEndMs;
  }

  /**
   * Records a pull.
   *
   * @param pull - The message.
   * @param arrivedMs - Leader's monotonic time (ms).
   * @param term - The leader's term.
   */
  recordPull(pull: Pull, arrivedMs: number, term: number): void {
    this.hasDisk = pull.hasDisk;
    this.wantsVote = pull.wantsVote;
    this.revision = Math.max(this.revision ?? 0, pull.revision);
    this.#lastPullMs = arrivedMs;
    this.#asks.push({ askMs: pull.askMs, arrivedMs });
    if (this.#asks.length > MAX_KEPT_ASKS) {
      this.#asks.shift();
    }
    if (pull.term === term && pull.echoTerm === term) {
      this.echoMs = Math.max(this.echoMs, pull.echoMs);
    }
  }

  /** Tells whether the follower has pulled lately. */
  isRunning(nowMs: number): boolean {
    return nowMs - this.#lastPullMs < RECENT_PULL_MS;
  }

  /**
   * Computes for how long the follower has not pulled.
   *
   * @param nowMs - Leader's monotonic time (ms).
   * @param sinceMs - Time from which on it is counted, if it never pulled (ms).
   * @returns The silence, in milliseconds.
   */
  computeSilenceMs(nowMs: number, sinceMs: number): number {
    return nowMs - Math.max(sinceMs, this.#lastPullMs);
  }

  /**
   * Finds the newest ask that arrived before a quorum confirmed.
   *
   * @param confirmedMs - Leader's time after which a quorum confirmed (ms).
   * @returns Follower's time of the ask (ms), or undefined.
   */
  findConfirmedAsk(confirmedMs: number): number | undefined {
    const ask = this.#asks.findLast(({ arrivedMs }) =>
      arrivedMs <= confirmedMs
    );
    if (ask !== undefined) {
      const endMs = ask.arrivedMs + FRESHNESS_LEASE_MS;
      this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
    }
    return ask?.askMs;
  }
}
