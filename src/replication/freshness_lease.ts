/** How long an entry may vouch for its configuration. */
import { FRESHNESS_LEASE_MS } from "./timing.ts";

const MAX_PENDING_CONFIRMATIONS = 64;

interface PendingConfirmation {
  readonly requestedAtMs: number;
  readonly commitIndex: number;
}

/** A lease that counts from the moment at which the entry asked a leader. */
export class FreshnessLease {
  #untilMs = -Infinity;
  #pending: PendingConfirmation[] = [];

  /** Monotonic time at which the lease ends, in milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /**
   * Takes an answer of a leader that confirmed its quorum after an ask.
   *
   * @param requestedAtMs - Monotonic time of the ask (ms).
   * @param commitIndex - Commit index of the leader when it answered; the lease
   * counts only once this index is applied here.
   */
  addConfirmation(requestedAtMs: number, commitIndex: number): void {
    this.#pending.push({
      requestedAtMs,
      commitIndex,
    });
    if (this.#pending.length > MAX_PENDING_CONFIRMATIONS) {
      this.#pending.shift();
    }
  }

  /**
   * Extends the lease by what was offered.
   *
   * @param appliedIndex - Index of the last applied entry.
   */
  extend(appliedIndex: number): void {
    for (
      const { requestedAtMs, commitIndex } of this
        .#pending
    ) {
      if (commitIndex <= appliedIndex) {
        this.#untilMs = Math.max(
          this.#untilMs,
          requestedAtMs + FRESHNESS_LEASE_MS,
        );
      }
    }
    this.#pending = this.#pending.filter(({ commitIndex }) =>
      commitIndex > appliedIndex
    );
  }
}
