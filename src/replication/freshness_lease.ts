/** How long an entry may vouch for its configuration. */
import { FRESHNESS_LEASE_MS } from "./timing.ts";

const MAX_PENDING = 64;

interface PendingAsk {
  readonly askMs: number;
  readonly index: number;
}

/** A lease that counts from the moment at which the entry asked a leader. */
export class FreshnessLease {
  #untilMs = -Infinity;
  #pending: PendingAsk[] = [];

  /** Monotonic time at which the lease ends, in milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /**
   * Takes an answer of a leader that confirmed its quorum after an ask.
   *
   * @param askMs - Monotonic time of the ask (ms).
   * @param index - Commit index of the leader when it answered; the lease
   * counts only once this index is applied here.
   */
  offer(askMs: number, index: number): void {
    this.#pending.push({ askMs, index });
    if (this.#pending.length > MAX_PENDING) {
      this.#pending.shift();
    }
  }

  /**
   * Extends the lease by what was offered.
   *
   * @param appliedIndex - Index of the last applied entry.
   */
  confirm(appliedIndex: number): void {
    for (const { askMs, index } of this.#pending) {
      if (index <= appliedIndex) {
        this.#untilMs = Math.max(this.#untilMs, askMs + FRESHNESS_LEASE_MS);
      }
    }
    this.#pending = this.#pending.filter(({ index }) => index > appliedIndex);
  }
}
