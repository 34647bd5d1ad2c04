/** Decides what follows a start that the runner has not confirmed. */
import type { StartFailure } from "./run_commands.ts";
import { MAX_START_ATTEMPTS } from "./timing.ts";

/**
 * Refusals that show that a run did not start, if no earlier attempt was
 * unanswered.
 */
const NOT_STARTED_REFUSALS: ReadonlySet<string> = new Set([
  "noRoom",
  "leaseOver",
  "noTicket",
  "invalid",
  "unhealthy",
]);

/**
 * What to do with the run: `end` its attempts, record it as `closed`, `stop` it,
 * `retry` later, or wait for the `report` of a poll that is sent from now on.
 */
export type StartStep = "end" | "closed" | "stop" | "retry" | "report";

/** Follows the start requests of one run. */
export class StartAttempts {
  readonly #isInherited: boolean;
  #unansweredCount = 0;

  /** @param isInherited - Whether an earlier leader may have sent the start. */
  constructor(isInherited = false) {
    this.#isInherited = isInherited;
  }

  /** Whether a stop must follow the next report that does not list the run. */
  get isOver(): boolean {
    return this.#unansweredCount >= MAX_START_ATTEMPTS;
  }

  /** Whether a request may still reach the runner. */
  get mayArrive(): boolean {
    return this.#isInherited || this.#unansweredCount > 0;
  }

  /**
   * Records an attempt that was not confirmed and chooses what to do next.
   *
   * @param failure - Why it was not confirmed.
   * @param isUnwanted - Whether the run is no longer needed.
   * @returns The step.
   */
  record({ refusal, isUnsent }: StartFailure, isUnwanted: boolean): StartStep {
    if (refusal === "staleFence") {
      return "end";
    }
    if (refusal === "outdatedRun") {
      return "closed";
    }
    if (isUnsent) {
      return isUnwanted ? this.#chooseClosing() : "retry";
    }
    if (NOT_STARTED_REFUSALS.has(refusal ?? "")) {
      return this.#chooseClosing();
    }
    this.#unansweredCount += 1;
    return isUnwanted ? "stop" : "report";
  }

  // An earlier request may still arrive, unless the runner confirms a stop.
  #chooseClosing(): StartStep {
    return this.mayArrive ? "stop" : "closed";
  }
}
