/** The lease during which an entry guarantees that its configuration is current. */
import { FRESHNESS_LEASE_MS } from "./timing.ts";

const MAX_PENDING_CONFIRMATIONS = 64;

interface PendingConfirmation {
  readonly requestedAtMs: number;
  readonly commitIndex: number;
}

/** A freshness lease, which starts when the entry sends a pull to the leader. */
export class FreshnessLease {
  #untilMs = -Infinity;
  #pending: PendingConfirmation[] = [];

  /** Monotonic time at which the lease ends, in milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /**
   * Records that a quorum confirmed the leader after the leader had received a
   * pull of this entry.
   *
   * @param requestedAtMs - Monotonic time at which the pull was sent (ms).
   * @param commitIndex - Commit index of the leader when it responded; the lease
   * is extended only once this index is applied locally.
   */
  addConfirmation(requestedAtMs: number, commitIndex: number): void {
    this.#pending.push({ requestedAtMs, commitIndex });
    if (this.#pending.length > MAX_PENDING_CONFIRMATIONS) {
      this.#pending.shift();
    }
  }

  /**
   * Extends the lease by all confirmations whose commit index is applied.
   *
   * @param appliedIndex - Index of the last applied log entry.
   */
  extend(appliedIndex: number): void {
    for (const { requestedAtMs, commitIndex } of this.#pending) {
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
