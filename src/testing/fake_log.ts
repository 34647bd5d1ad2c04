/**
 * A shared log with injectable faults, and the agreement of each entry on it.
 */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
  FleetState,
  type Resource,
} from "../domain/index.ts";
import type {
  Agreement,
  AgreementStatus,
  Clock,
  Random,
} from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

const PERCENT = 100;

/** Faults of proposals; each probability is in percent. */
export interface ProposalFaults {
  /** The command is refused. */
  readonly refusedPercent: number;
  /** The command is applied, but the proposer gets a failure. */
  readonly lostAnswerPercent: number;
  /** Maximum delay until a command is applied, in milliseconds. */
  readonly maxDelayMs: number;
}

const NO_FAULTS: ProposalFaults = {
  refusedPercent: 0,
  lostAnswerPercent: 0,
  maxDelayMs: 0,
};

/** A log that all fake agreements of a test share. */
export class FakeLog {
  readonly state = new FleetState();
  readonly applied = new Notifier();
  faults = NO_FAULTS;
  index = 0;
  readonly #clock: Clock;
  readonly #random: Random;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Sets the faults from now on; faults that are not given are off. */
  setFaults(faults: Partial<ProposalFaults>): void {
    this.faults = { ...NO_FAULTS, ...faults };
  }

  /** Applies a command, subject to the faults. */
  async propose(command: Command): Promise<Result<AppliedValue, Failure>> {
    const { maxDelayMs } = this.faults;
    if (maxDelayMs > 0) {
      await this.#clock.sleep(this.#random.nextInt(maxDelayMs));
    }
    if (this.#happens(this.faults.refusedPercent)) {
      return Result.err(createFailure("notLeader", "another entry leads"));
    }
    this.index += 1;
    const applied = this.state.apply(command);
    this.applied.notify();
    return this.#happens(this.faults.lostAnswerPercent)
      ? Result.err(createFailure("noQuorum", "the response was lost"))
      : applied;
  }

  /** Applies a change by an operator that puts the resources. */
  declare(resources: readonly Resource[], operator = "key/operator-1"): void {
    const revision = this.state.revision;
    this.index += 1;
    this.state.apply({
      type: "change",
      operator,
      atMs: 0,
      change: {
        operationId: `change-${revision}`,
        expectedRevision: revision,
        puts: [...resources],
        deletes: [],
      },
    });
    this.applied.notify();
  }

  #happens(percent: number): boolean {
    return percent > 0 && this.#random.nextInt(PERCENT) < percent;
  }
}

/** The agreement of one entry on a {@link FakeLog}. */
export class FakeLogAgreement implements Agreement {
  readonly #log: FakeLog;
  readonly #entryId: string;
  /** Whether this entry considers itself the leader; several may at once. */
  isLeader = true;
  /** Term that the status shows. */
  term = 1;

  constructor(log: FakeLog, entryId = "entry-1") {
    this.#log = log;
    this.#entryId = entryId;
  }

  get state(): FleetState {
    return this.#log.state;
  }

  propose(command: Command): Promise<Result<AppliedValue, Failure>> {
    return this.#log.propose(command);
  }

  proposeInTerm(
    _term: number,
    command: Command,
  ): Promise<Result<AppliedValue, Failure>> {
    return this.#log.propose(command);
  }

  async follow(
    appliedIndex: number,
    signal: AbortSignal,
  ): Promise<AgreementStatus> {
    while (this.#log.index <= appliedIndex && !signal.aborted) {
      await this.#log.applied.wait(signal);
    }
    return this.status();
  }

  status(): AgreementStatus {
    return {
      entryId: this.#entryId,
      leaderId: this.isLeader ? this.#entryId : undefined,
      term: this.term,
      leaderSinceMs: this.isLeader ? 0 : undefined,
      leaseAgeMs: this.isLeader ? 0 : undefined,
      appliedIndex: this.#log.index,
      commitIndex: this.#log.index,
      revision: this.#log.state.revision,
      freshUntilMs: Infinity,
    };
  }
}
