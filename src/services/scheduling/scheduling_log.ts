/** Proposals of scheduling changes, and whether this entry may give orders. */
import type { Result } from "true-myth";
import type {
  AppliedValue,
  Failure,
  SchedulingOperation,
  SchedulingState,
} from "../../domain/index.ts";
import type { Agreement, Clock } from "../../ports/index.ts";
import { NoopOperationMeter, type OperationMeter } from "./operation_meter.ts";

/** Options of {@link SchedulingLog}. */
export interface SchedulingLogOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  /** Measures what is proposed here; nothing by default. */
  readonly meter?: OperationMeter;
}

/** The scheduling part of the replicated state. */
export class SchedulingLog {
  readonly #agreement: Agreement;
  readonly #clock: Clock;
  readonly #meter: OperationMeter;

  constructor({ agreement, clock, meter }: SchedulingLogOptions) {
    this.#agreement = agreement;
    this.#clock = clock;
    this.#meter = meter ?? new NoopOperationMeter();
  }

  /** The state as applied here. */
  get state(): SchedulingState {
    return this.#agreement.state.scheduling;
  }

  /** Term of the log; a leader's fencing token. */
  get term(): number {
    return this.#agreement.status().term;
  }

  /** Whether no other leader can have been elected yet. */
  get holdsLeaderLease(): boolean {
    return this.#agreement.status().leaderSinceMs !== undefined;
  }

  /**
   * Proposes changes as one batch.
   *
   * @param operations - The changes, in order.
   * @returns Nothing of use, or `notLeader` when they are certainly not in the
   * log, `noQuorum` when they may be.
   */
  async propose(
    operations: readonly SchedulingOperation[],
  ): Promise<Result<AppliedValue, Failure>> {
    const atMs = this.#clock.nowMs();
    const record = this.#meter.begin(operations, this.state, atMs);
    const proposed = await this.#agreement.propose({
      type: "scheduling",
      atMs,
      operations: [...operations],
    });
    if (proposed.isOk) {
      record();
    }
    return proposed;
  }
}
