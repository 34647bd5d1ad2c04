/** Determines when a written step is in force on every entry. */
import type { Clock } from "../../ports/index.ts";

/** Time without contact after which an entry stops taking work. */
export const FRESHNESS_LEASE_MS = 2_000;
/** Margin for requests that were admitted just before the lease expired. */
export const IN_FORCE_MARGIN_MS = 1_000;

/** Decides when a written step is in force on every entry. */
export interface InForceWait {
  /**
   * Checks whether a step is in force on every entry.
   *
   * @param vm - The VM of the step.
   * @param operationId - Operation id of the step, already applied on this entry.
   * @returns True when each entry has applied the step or can no longer take work.
   */
  isInForce(vm: string, operationId: string): boolean;
}

interface SeenStep {
  readonly operationId: string;
  readonly seenAtMs: number;
}

/**
 * Waits for the freshness lease, counted from when this controller first saw the
 * step.
 *
 * By then, every entry has applied the step or its lease has expired. A
 * controller that takes over waits again, because it cannot know when the step
 * was committed.
 */
export class FreshnessLeaseWait implements InForceWait {
  readonly #clock: Clock;
  readonly #seen = new Map<string, SeenStep>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  isInForce(vm: string, operationId: string): boolean {
    const nowMs = this.#clock.steadyMs();
    const seen = this.#seen.get(vm);
    if (seen?.operationId !== operationId) {
      this.#seen.set(vm, { operationId, seenAtMs: nowMs });
      return false;
    }
    return nowMs - seen.seenAtMs >= FRESHNESS_LEASE_MS + IN_FORCE_MARGIN_MS;
  }
}
