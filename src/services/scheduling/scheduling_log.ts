/** Access to the scheduling part of the replicated log. */
import type { Result } from "true-myth";
import type {
  AppliedValue,
  Failure,
  SchedulingCommand,
  SchedulingOperation,
  SchedulingState,
} from "../../domain/index.ts";
import type { Agreement, Clock, LeaderMetrics } from "../../ports/index.ts";
import { NoopOperationMeter, type OperationMeter } from "./operation_meter.ts";

/** Options of {@link SchedulingLog}. */
export interface SchedulingLogOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  /** Measures the proposed changes; nothing by default. */
  readonly meter?: OperationMeter;
  /** Where the times of proposals go; nowhere by default. */
  readonly metrics?: LeaderMetrics;
  /**
   * Term of the leader that reads and proposes; any entry in any term by
   * default. What a leader has decided counts only in its own term.
   */
  readonly term?: number;
}

/** What an answer of the leader relies on. */
export interface LeaseReliance {
  readonly term: number;
  readonly catalogVersion: number;
  /**
   * Time since a quorum confirmed the leader (ms); undefined if it does not lead
   * any more.
   */
  readonly leaseAgeMs: number | undefined;
}

/** Reads the scheduling state, proposes changes to it and shows who leads. */
export class SchedulingLog {
  readonly #agreement: Agreement;
  readonly #clock: Clock;
  readonly #meter: OperationMeter;
  readonly #metrics: LeaderMetrics | undefined;
  readonly #term: number | undefined;

  constructor(options: SchedulingLogOptions) {
    const { agreement, clock, meter, metrics, term } = options;
    this.#agreement = agreement;
    this.#clock = clock;
    this.#meter = meter ?? new NoopOperationMeter();
    this.#metrics = metrics;
    this.#term = term;
  }

  /** The scheduling state as applied by this entry. */
  get state(): SchedulingState {
    return this.#agreement.state.scheduling;
  }

  /**
   * Whether this entry leads the term and no other leader can have been elected
   * yet; only then may it send requests to runners and VMs.
   */
  get holdsLeaderLease(): boolean {
    const { leaderSinceMs, term } = this.#agreement.status();
    return leaderSinceMs !== undefined && term === (this.#term ?? term);
  }

  /**
   * Describes what an answer from this state relies on, for the log.
   *
   * @returns Term, version of the catalog, and the age of the leader lease (ms).
   */
  describeReliance(): LeaseReliance {
    const { leaseAgeMs, term } = this.#agreement.status();
    const catalogVersion = this.state.catalog.version;
    return {
      term,
      catalogVersion,
      leaseAgeMs: leaseAgeMs === undefined ? undefined : Math.round(leaseAgeMs),
    };
  }

  /**
   * Proposes changes as one batch. The batch is measured when it takes effect,
   * which may be after a proposal whose outcome was unknown.
   *
   * @param operations - The changes, in order.
   * @param onApplied - Called when the batch has taken effect in this process.
   * @returns The applied value, which callers need not read; `notLeader` when
   * the changes are certainly not in the log, `noQuorum` when they may be.
   */
  async propose(
    operations: readonly SchedulingOperation[],
    onApplied?: () => void,
  ): Promise<Result<AppliedValue, Failure>> {
    const atMs = this.#clock.nowMs();
    const startedMs = this.#clock.monotonicMs();
    const command: SchedulingCommand = {
      type: "scheduling",
      atMs,
      operations: [...operations],
    };
    this.state.observe(command, () => {
      const record = this.#meter.begin(operations, this.state, atMs);
      return () => {
        record();
        onApplied?.();
      };
    });
    const proposed = await this.#send(command);
    this.#metrics?.recordCommit(
      proposed.isOk ? "applied" : proposed.error.kind,
      this.#clock.monotonicMs() - startedMs,
    );
    return proposed;
  }

  #send(command: SchedulingCommand): Promise<Result<AppliedValue, Failure>> {
    return this.#term === undefined
      ? this.#agreement.propose(command)
      : this.#agreement.proposeInTerm(this.#term, command);
  }
}
