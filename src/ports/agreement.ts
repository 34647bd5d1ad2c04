/** Consensus on the durable state, as the services see it. */
import type { Result } from "true-myth";
import * as v from "valibot";
import {
  type AppliedValue,
  type Command,
  type Failure,
  type FleetState,
  nameSchema,
} from "../domain/index.ts";

/** What an entry knows about the replicated log. */
export interface AgreementStatus {
  readonly entryId: string;
  readonly leaderId: string | undefined;
  readonly term: number;
  /**
   * Steady time at which this entry became leader of the term (ms);
   * undefined when it is not the leader.
   */
  readonly leaderSinceMs: number | undefined;
  /**
   * Time since a quorum last confirmed this leader, by the clock that its lease
   * is measured with (ms); undefined when it is not the leader.
   */
  readonly leaseAgeMs: number | undefined;
  /** Index of the last log entry that is applied on this entry. */
  readonly appliedIndex: number;
  /** Highest index that this entry knows to be committed. */
  readonly commitIndex: number;
  /** Configuration revision in force on this entry. */
  readonly revision: number;
  /**
   * Monotonic time until which the configuration of this entry is guaranteed to
   * be fresh enough to admit work (ms).
   */
  readonly freshUntilMs: number;
}

/** Consensus on the commands that change the durable state. */
export interface Agreement {
  /** State that this entry has applied; it never goes back to an older one. */
  readonly state: FleetState;
  /**
   * Proposes a command and waits until it is durable on a quorum and applied.
   *
   * @param command - The command.
   * @param signal - Ends the wait; the command may still be accepted later.
   * @returns The result of applying the command; `noQuorum` when the outcome is
   * unknown; `notLeader` or `readOnly` when it certainly was not accepted.
   */
  propose(
    command: Command,
    signal?: AbortSignal,
  ): Promise<Result<AppliedValue, Failure>>;
  /**
   * Proposes a command that the leader of a term has decided. No other leader
   * accepts it, because that leader may have decided otherwise meanwhile.
   *
   * @param term - The term.
   * @param command - The command.
   * @returns As defined by `propose`; `notLeader` unless this entry still leads
   * the term.
   */
  proposeInTerm(
    term: number,
    command: Command,
  ): Promise<Result<AppliedValue, Failure>>;
  /**
   * Waits until this entry has applied a log entry after the given index.
   *
   * @param appliedIndex - Index that the caller has already seen.
   * @param signal - Ends the wait.
   * @returns The status at the end of the wait.
   */
  follow(appliedIndex: number, signal: AbortSignal): Promise<AgreementStatus>;
  /** Returns what this entry knows now. */
  status(): AgreementStatus;
}

/** What the leader knows about one entry. */
export interface EntryReport {
  readonly entryId: string;
  readonly role: "leader" | "voter" | "learner" | "observer";
  /**
   * Configuration revision in force on the entry; undefined before its first
   * pull.
   */
  readonly revision?: number | undefined;
  /** Upper bound of the time left of its freshness lease, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** What the leader knows about all entries. */
export interface EntryList {
  readonly leaderId: string;
  readonly revision: number;
  readonly entries: readonly EntryReport[];
}

/** Schema of {@link VoterChange}. */
export const voterChangeSchema = v.strictObject({
  action: v.picklist(["add", "remove"]),
  entryId: nameSchema,
});

/** Addition or removal of one voter, requested by an operator. */
export type VoterChange = v.InferOutput<typeof voterChangeSchema>;

/** Access to the state of all entries, and to the set of voters. */
export interface EntryDirectory {
  /**
   * Requests the state of every entry from the leader.
   *
   * @returns The list; `notLeader` when there is no leader; `peerUnreachable`
   * when the leader does not answer.
   */
  listEntries(): Promise<Result<EntryList, Failure>>;
  /**
   * Adds or removes one voter. An added entry votes once it has caught up.
   *
   * @param change - The entry, and whether to add or to remove it.
   * @returns The list after the change; `notFound` for an entry that has no
   * disk or does not run; `conflict` while an earlier change is in progress.
   */
  changeVoter(change: VoterChange): Promise<Result<EntryList, Failure>>;
}
