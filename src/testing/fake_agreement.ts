/** A fake agreement on one state, with injectable faults of proposals. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
  FleetState,
} from "../domain/index.ts";
import type { Agreement, AgreementStatus, Clock } from "../ports/index.ts";

/**
 * Fault of a proposal.
 *
 * - `lost`: the command is not applied, and the proposer gets `noQuorum`.
 * - `appliedOutcomeUnknown`: the command is applied, but the proposer gets
 *   `noQuorum`.
 * - `refused`: the command is not applied, and the proposer gets `notLeader`.
 */
export type ProposalFault =
  | "none"
  | "lost"
  | "appliedOutcomeUnknown"
  | "refused";

const DEFAULT_PROPOSE_MS = 4;

/** Applies each command after a delay; all entries of a test can share it. */
export class FakeAgreement implements Agreement {
  readonly state = new FleetState();
  /** Applied commands, in order. */
  readonly commands: Command[] = [];
  /** Fault of all further proposals. */
  fault: ProposalFault = "none";
  /** Duration of a proposal, in milliseconds. */
  proposeMs = DEFAULT_PROPOSE_MS;
  freshUntilMs = Infinity;
  /** Whether this entry holds the leader lease. */
  holdsLease = true;
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async propose(command: Command): Promise<Result<AppliedValue, Failure>> {
    const { fault } = this;
    await this.#clock.sleep(this.proposeMs);
    if (fault === "refused") {
      return Result.err(createFailure("notLeader", "another entry leads"));
    }
    if (fault === "lost") {
      return Result.err(createFailure("noQuorum", "no quorum answered"));
    }
    this.commands.push(command);
    const applied = this.state.apply(command);
    return fault === "appliedOutcomeUnknown"
      ? Result.err(createFailure("noQuorum", "no quorum answered"))
      : applied;
  }

  proposeInTerm(
    _term: number,
    command: Command,
  ): Promise<Result<AppliedValue, Failure>> {
    return this.propose(command);
  }

  async follow(_index: number, signal: AbortSignal): Promise<AgreementStatus> {
    await this.#clock.sleep(Infinity, signal);
    return this.status();
  }

  status(): AgreementStatus {
    return {
      entryId: "entry-1",
      leaderId: "entry-1",
      term: 1,
      leaderSinceMs: this.holdsLease ? 0 : undefined,
      leaseAgeMs: this.holdsLease ? 0 : undefined,
      appliedIndex: this.commands.length,
      commitIndex: this.commands.length,
      revision: this.state.revision,
      freshUntilMs: this.freshUntilMs,
    };
  }
}
