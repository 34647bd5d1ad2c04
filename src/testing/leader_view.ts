/** The agreement of one leader on a log that successive leaders share. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
  type FleetState,
} from "../domain/index.ts";
import type {
  Agreement,
  AgreementStatus,
  Clock,
  Random,
} from "../ports/index.ts";
import type { Notifier } from "../tasks/index.ts";
import type { PausableClock } from "./pausable_clock.ts";

type Proposed = Result<AppliedValue, Failure>;

const PROPOSE_MS = 12;
const PROPOSE_TIMEOUT_MS = 5_000;

/** A log that successive leaders share. */
export interface SharedLog {
  readonly random: Random;
  readonly state: FleetState;
  readonly appliedIndex: number;
  /** Paused while no entry reaches a quorum, nor the leader's own log. */
  readonly commits: PausableClock;
  /** Longest additional time until an entry is committed, in milliseconds. */
  readonly maxCommitDelayMs: number;
  /** Notified after a command was applied. */
  readonly applied: Notifier;
  /** Applies a command to the state. */
  apply(command: Command): Proposed;
  /** Forwards a command to the current leader. */
  forward(command: Command): Promise<Proposed>;
}

interface LogEntry {
  readonly command: Command;
  /** Monotonic time from which the entry can be committed (ms). */
  readonly commitAtMs: number;
  readonly settle: (proposed: Proposed) => void;
}

/** The agreement of one leader, whose lease ends when another takes over. */
export class LeaderView implements Agreement {
  readonly term: number;
  readonly #log: SharedLog;
  readonly #clock: Clock;
  #isLeading = true;
  /** Entries of the leader's log that are not committed yet, in order. */
  #uncommitted: LogEntry[] = [];

  /**
   * Creates the agreement of a leader.
   *
   * @param log - The log that all leaders share.
   * @param clock - Clock of the leader's process.
   * @param term - Term of this leader.
   */
  constructor(log: SharedLog, clock: Clock, term: number) {
    this.#log = log;
    this.#clock = clock;
    this.term = term;
  }

  get state(): FleetState {
    return this.#log.state;
  }

  /**
   * Ends the leadership. The next leader's log holds the first of the entries
   * that are not committed yet, and commits them before it leads. The others are
   * lost, or are still queued and so in no log.
   */
  depose(): void {
    this.#isLeading = false;
    const uncommitted = this.#uncommitted;
    this.#uncommitted = [];
    const keptCount = this.#chooseCount(uncommitted.length, 0);
    const appendedCount = keptCount +
      this.#chooseCount(uncommitted.length - keptCount, Infinity);
    uncommitted.forEach(({ command, settle }, at) => {
      if (at < keptCount) {
        this.#log.apply(command);
      }
      settle(failWith(at < appendedCount ? "noQuorum" : "notLeader"));
    });
  }

  /** Proposes at the current leader, whichever it is. */
  async propose(command: Command): Promise<Proposed> {
    const proposed = await this.proposeInTerm(this.term, command);
    return proposed.isErr && proposed.error.kind === "notLeader"
      ? await this.#log.forward(command)
      : proposed;
  }

  async proposeInTerm(term: number, command: Command): Promise<Proposed> {
    if (!this.#isLeading || term !== this.term) {
      return failWith("notLeader");
    }
    const commitAtMs = Math.max(
      this.#uncommitted.at(-1)?.commitAtMs ?? 0,
      this.#clock.monotonicMs() + this.#chooseCommitMs(),
    );
    const settled = new Promise<Proposed>((settle) => {
      this.#uncommitted.push({ command, commitAtMs, settle });
    });
    void this.#commit(commitAtMs);
    return await Promise.race([settled, this.#timeOut()]);
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
      leaderId: this.#isLeading ? `leader-${this.term}` : undefined,
      term: this.term,
      leaderSinceMs: this.#isLeading ? 0 : undefined,
      leaseAgeMs: this.#isLeading ? 0 : undefined,
      appliedIndex,
      commitIndex: appliedIndex,
      revision: 0,
      freshUntilMs: Infinity,
    };
  }

  #chooseCount(maxCount: number, usualCount: number): number {
    const { commits, maxCommitDelayMs, random } = this.#log;
    if (commits.isPaused) {
      return 0;
    }
    return maxCommitDelayMs > 0
      ? random.nextInt(maxCount + 1)
      : Math.min(usualCount, maxCount);
  }

  #chooseCommitMs(): number {
    const { maxCommitDelayMs, random } = this.#log;
    return PROPOSE_MS +
      (maxCommitDelayMs > 0 ? random.nextInt(maxCommitDelayMs) : 0);
  }

  async #commit(atMs: number): Promise<void> {
    await this.#clock.sleep(atMs - this.#clock.monotonicMs());
    await this.#log.commits.waitUntilResumed();
    const committed = this.#uncommitted.filter(({ commitAtMs }) =>
      commitAtMs <= atMs
    );
    this.#uncommitted = this.#uncommitted.slice(committed.length);
    for (const { command, settle } of committed) {
      settle(this.#log.apply(command));
    }
  }

  async #timeOut(): Promise<Proposed> {
    await this.#clock.sleep(PROPOSE_TIMEOUT_MS);
    return failWith("noQuorum");
  }
}

function failWith(kind: "noQuorum" | "notLeader"): Proposed {
  return Result.err(createFailure(kind, "another leader has taken over"));
}
