/** Agreement on the durable state: policies only propose and follow. */
import type { Result } from "true-myth";
import * as v from "valibot";
import {
  type AppliedValue,
  type Command,
  type Failure,
  type FleetState,
  nameSchema,
} from "../domain/index.ts";

/** What an entry knows of the agreement. */
export interface AgreementStatus {
  readonly entryId: string;
  readonly leaderId: string | undefined;
  readonly term: number;
  /** Monotonic time at which this entry became leader of the term; undefined on others. */
  readonly leaderSinceMs: number | undefined;
  /** Index of the last entry of the log that is applied here. */
  readonly appliedIndex: number;
  /** Index up to which the log is committed, as far as is known here. */
  readonly commitIndex: number;
  /** Configuration revision in force here. */
  readonly revision: number;
  /** Monotonic time until which this entry may vouch for its configuration. */
  readonly freshUntilMs: number;
}

/** Replicated agreement on commands. */
export interface Agreement {
  /** The state as applied on this entry; never steps back. */
  readonly state: FleetState;
  /**
   * Proposes a command and waits until it is durable on a quorum and applied.
   *
   * @param command - The command.
   * @param signal - Ends the wait; the command may still be accepted then.
   * @returns What applying it led to, or `noQuorum` when that is in doubt,
   * `notLeader` or `readOnly` when it certainly was not accepted.
   */
  propose(
    command: Command,
    signal?: AbortSignal,
  ): Promise<Result<AppliedValue, Failure>>;
  /**
   * Waits until something newer than the given index is applied here.
   *
   * @param appliedIndex - The index already seen.
   * @param signal - Ends the wait.
   * @returns The status then.
   */
  follow(appliedIndex: number, signal: AbortSignal): Promise<AgreementStatus>;
  /** Tells what this entry knows now. */
  status(): AgreementStatus;
}

/** What the leader knows of one entry. */
export interface EntryReport {
  readonly entryId: string;
  readonly role: "leader" | "voter" | "learner" | "observer";
  /** Configuration revision in force there, undefined before its first pull. */
  readonly revision?: number | undefined;
  /** Upper bound of what is left of its freshness lease, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** What the leader knows of all entries. */
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

/** A change of one voter that an operator asks for. */
export type VoterChange = v.InferOutput<typeof voterChangeSchema>;

/** Lists which revision is in force where. */
export interface EntryDirectory {
  /**
   * Asks the leader for the state of every entry.
   *
   * @returns The list, `notLeader` without a leader, or `peerUnreachable`.
   */
  listEntries(): Promise<Result<EntryList, Failure>>;
  /**
   * Adds or removes one voter; an added one votes once it has caught up.
   *
   * @param change - The entry, and what becomes of it.
   * @returns The list then; `notFound` for an entry that has no disk or does
   * not run, `conflict` while an earlier change is under way.
   */
  changeVoter(change: VoterChange): Promise<Result<EntryList, Failure>>;
}
