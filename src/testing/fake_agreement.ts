/** Agreement of several fake entries on one log, with faults of proposals. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
  FleetState,
} from "../domain/index.ts";
import type { Agreement, AgreementStatus, Clock } from "../ports/index.ts";

/** What becomes of a proposal. */
export type ProposalFault =
  | "none"
  | "lost"
  | "appliedOutcomeUnknown"
  | "refused";

const DEFAULT_PROPOSE_MS = 4;

/** Applies each command after a delay; all entries see the same state. */
export class FakeAgreement implements Agreement {
  readonly state = new FleetState();
  readonly commands: Command[] = [];
  /** What becomes of the next proposals. */
  fault: ProposalFault = "none";
  /** Time that a proposal takes, in milliseconds. */
  proposeMs = DEFAULT_PROPOSE_MS;
  freshUntilMs = Infinity;
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

  async follow(_index: number, signal: AbortSignal): Promise<AgreementStatus> {
    await this.#clock.sleep(Infinity, signal);
    return this.status();
  }

  status(): AgreementStatus {
    return {
      entryId: "entry-1",
      leaderId: "entry-1",
      term: 1,
      leaderSinceMs: 0,
      appliedIndex: this.commands.length,
      commitIndex: this.commands.length,
      revision: this.state.revision,
      freshUntilMs: this.freshUntilMs,
    };
  }
}
