/** Port for the durable storage of the replicated log. */
import type { Result } from "true-myth";
import type { Command, Failure, FleetSnapshot } from "../domain/index.ts";

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
}

/** Durable record of a replica's term and vote. */
export interface VoteRecord {
  readonly term: number;
  readonly votedFor: string | undefined;
  /** Id of the data folder, generated when the folder is first used. */
  readonly storeId: string;
}

/** State at a log index; the log up to this index is no longer needed. */
export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly state: FleetSnapshot;
}

/** Contents of the data folder at start. */
export interface StoredLog {
  readonly vote: VoteRecord;
  readonly snapshot: StoredSnapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/** Storage of one replica. Each write returns after it is synced to disk. */
export interface LogStore {
  /**
   * Loads the stored log. Truncates a torn last record, and fails on any other
   * damage.
   */
  load(): Promise<Result<StoredLog, Failure>>;
  /**
   * Appends entries. Stored entries from the first new index on conflict with
   * the new ones and are removed.
   */
  append(entries: readonly LogEntry[]): Promise<Result<void, Failure>>;
  /** Saves the term and the vote. */
  saveVote(vote: VoteRecord): Promise<Result<void, Failure>>;
  /**
   * Saves a snapshot, then removes the log up to its index. Later entries are
   * kept only if the log has the snapshot's term at the snapshot's index.
   */
  saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>>;
  /** Closes the files. */
  close(): Promise<void>;
}
