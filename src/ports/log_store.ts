/** Durable storage of the replicated log, as the replication sees it. */
import type { Result } from "true-myth";
import type { Command, Failure, FleetSnapshot } from "../domain/index.ts";

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
}

/** What a replica must remember of its votes. */
export interface VoteRecord {
  readonly term: number;
  readonly votedFor: string | undefined;
  /** Id of the data folder, drawn when the folder was first used. */
  readonly storeId: string;
}

/** A state at an index, with which the log before it may be cut off. */
export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly state: FleetSnapshot;
}

/** What was found in the data folder at start. */
export interface StoredLog {
  readonly vote: VoteRecord;
  readonly snapshot: StoredSnapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/** Storage of one replica; every method returns after its sync to disk. */
export interface LogStore {
  /** Loads what is stored; cuts off a torn tail, fails on other damage. */
  load(): Promise<Result<StoredLog, Failure>>;
  /** Appends entries; the first index may cut off a conflicting tail. */
  append(entries: readonly LogEntry[]): Promise<Result<void, Failure>>;
  /** Saves term and vote. */
  saveVote(vote: VoteRecord): Promise<Result<void, Failure>>;
  /**
   * Saves a snapshot, then drops the log up to its index; entries after it stay
   * only if the log agrees with the snapshot at its index.
   */
  saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>>;
  /** Closes the files. */
  close(): Promise<void>;
}
