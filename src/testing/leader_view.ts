/** The agreement of one leader on a log that successive leaders share. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
  type FleetState,
} from "../domain/index.ts";
import type { Agreement, AgreementStatus, Clock } from "../ports/index.ts";
import type { Notifier } from "../tasks/index.ts";

const PROPOSE_MS = 12;

/** A log that successive leaders share. */
export interface SharedLog {
  readonly clock: Clock;
  readonly state: FleetState;
  readonly appliedIndex: number;
  /** Notified after a command was applied. */
  readonly applied: Notifier;
  /** Applies a command to the state. */
  apply(command: Command): Result<AppliedValue, Failure>;
}

/**
 * The agreement of one leader, whose proposals fail once it no longer leads.
 */
export class LeaderView implements Agreement {
  /** Whether this leader still leads; set to false when another takes over. */
  isLeading = true;
  readonly term: number;
  readonly #log: SharedLog;

  /**
   * Creates the agreement of a leader.
   *
   * @param log - The log that all leaders share.
   * @param term - Term of this leader.
   */
  constructor(log: SharedLog, term: number) {
    this.#log = log;
    this.term = term;
  }

  get state(): FleetState {
    return this.#log.state;
  }

  async propose(command: Command): Promise<Result<AppliedValue, Failure>> {
    await this.#log.clock.sleep(PROPOSE_MS);
    return this.isLeading
      ? this.#log.apply(command)
      : Result.err(createFailure("noQuorum", "another leader has taken over"));
  }

  async follow(
    appliedIndex: number,
    signal: AbortSignal,
  ): Promise<AgreementStatus> {
    while (this.#log.appliedIndex <= appliedIndex && !signal.aborted) {
      await this.#log.applied.wait(signal);
    }
    return this.status();
  }

  status(): AgreementStatus {
    const { appliedIndex } = this.#log;
    return {
      entryId: `leader-${this.term}`,
      leaderId: this.isLeading ? `leader-${this.term}` : undefined,
      term: this.term,
      leaderSinceMs: this.isLeading ? 0 : undefined,
      appliedIndex,
      commitIndex: appliedIndex,
      revision: 0,
      freshUntilMs: Infinity,
    };
  }
}
