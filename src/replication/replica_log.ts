/** The in-memory log, kept equal to what the store holds durably. */
import { Result } from "true-myth";
import {
  type Failure,
  type Membership,
  NO_MEMBERSHIP,
} from "../domain/index.ts";
import type {
  LogEntry,
  LogStore,
  StoredLog,
  StoredSnapshot,
} from "../ports/index.ts";
import {
  MAX_BATCH_BYTES,
  MAX_BATCH_COUNT,
  MAX_TRAILING_BYTES,
  TRAILING_ENTRY_COUNT,
} from "./timing.ts";
import { estimateEntryBytes } from "./value_size.ts";

/** Index and term of a log entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

interface LoggedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** Log entries after a base position; changed only under the replica's mutex. */
export class ReplicaLog {
  readonly #store: LogStore;
  readonly #trailingEntryCount: number;
  /** Position just before the first log entry in memory. */
  #base: LogPosition;
  #entries: LogEntry[];
  #snapshot: StoredSnapshot | undefined;
  #cachedMembership: LoggedMembership | undefined;

  /**
   * @param store - Makes log entries and snapshots durable.
   * @param stored - Contents of the store.
   * @param trailingEntryCount - Number of log entries that stay in memory
   * although a snapshot covers them.
   */
  constructor(
    store: LogStore,
    stored: StoredLog,
    trailingEntryCount = TRAILING_ENTRY_COUNT,
  ) {
    this.#store = store;
    this.#trailingEntryCount = trailingEntryCount;
    this.#snapshot = stored.snapshot;
    this.#base = {
      index: stored.snapshot?.index ?? 0,
      term: stored.snapshot?.term ?? 0,
    };
    this.#entries = [...stored.entries];
  }

  /** Position of the last log entry, or the base position if there is none. */
  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** Index just before the first log entry in memory. */
  get baseIndex(): number {
    return this.#base.index;
  }

  /** The newest snapshot. */
  get snapshot(): StoredSnapshot | undefined {
    return this.#snapshot;
  }

  /** The newest membership in the log, committed or not. */
  get membership(): Membership {
    return this.#findMembership().membership;
  }

  /** Index of the log entry that set the membership; 0 if a snapshot set it. */
  get membershipIndex(): number {
    return this.#findMembership().index;
  }

  /**
   * Finds a log entry.
   *
   * @param index - Index of the log entry.
   * @returns The log entry, or undefined if it is not in memory.
   */
  find(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /**
   * Finds the term of a log entry.
   *
   * @param index - Index of the log entry.
   * @returns Its term, or undefined if it is not known.
   */
  findTerm(index: number): number | undefined {
    return index === this.#base.index
      ? this.#base.term
      : this.find(index)?.term;
  }

  /**
   * Finds the last log entry within bounds of index and term.
   *
   * @param index - Upper bound of the index.
   * @param term - Upper bound of the term.
   * @returns Position of the log entry, or the base position.
   */
  findLastUpTo(index: number, term: number): LogPosition {
    for (let at = Math.min(index, this.last.index); at > this.baseIndex; at--) {
      const entryTerm = this.findTerm(at);
      if (entryTerm !== undefined && entryTerm <= term) {
        return { index: at, term: entryTerm };
      }
    }
    return this.#base;
  }

  /**
   * Selects the log entries of one response to a pull.
   *
   * @param firstIndex - Index of the first log entry.
   * @returns Log entries in order, limited in number and size; at least one if
   * the log reaches `firstIndex`.
   */
  selectBatch(firstIndex: number): LogEntry[] {
    const start = firstIndex - this.#base.index - 1;
    const batch: LogEntry[] = [];
    let sizeBytes = 0;
    for (const entry of this.#entries.slice(start, start + MAX_BATCH_COUNT)) {
      if (sizeBytes > MAX_BATCH_BYTES) {
        break;
      }
      sizeBytes += estimateEntryBytes(entry);
      batch.push(entry);
    }
    return batch;
  }

  /**
   * Appends log entries; the first of them may replace a conflicting tail, which
   * is truncated.
   *
   * @param entries - Log entries in order.
   * @returns Nothing once they are durable, or the failure of the disk.
   */
  async append(entries: readonly LogEntry[]): Promise<Result<void, Failure>> {
    const first = entries[0];
    if (first === undefined) {
      return Result.ok(undefined);
    }
    const appended = await this.#store.append(entries);
    if (appended.isOk) {
      const keptCount = first.index - this.#base.index - 1;
      const isTruncated = keptCount < this.#entries.length;
      this.#entries.length = keptCount;
      let hasMembership = false;
      for (const entry of entries) {
        this.#entries.push(entry);
        hasMembership ||= entry.command.type === "membership";
      }
      if (isTruncated || hasMembership) {
        this.#cachedMembership = undefined;
      }
    }
    return appended;
  }

  /**
   * Saves a local snapshot. Of the log entries that it covers, only the last
   * ones stay in memory, by default {@link TRAILING_ENTRY_COUNT}, and no more
   * than fit into {@link MAX_TRAILING_BYTES}.
   *
   * @param snapshot - The state at an applied index.
   * @returns Nothing, or the failure of the disk.
   */
  async saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    const saved = await this.#store.saveSnapshot(snapshot);
    if (saved.isOk) {
      this.#snapshot = snapshot;
      this.#discardUpTo(this.#findLastDiscarded(snapshot.index));
    }
    return saved;
  }

  /**
   * Replaces the log with a snapshot from the leader. Later log entries stay only
   * if the log matches the snapshot at its index.
   *
   * @param snapshot - The snapshot from the leader.
   * @returns Nothing, or the failure of the disk.
   */
  async installSnapshot(
    snapshot: StoredSnapshot,
  ): Promise<Result<void, Failure>> {
    const saved = await this.#store.saveSnapshot(snapshot);
    if (saved.isErr) {
      return saved;
    }
    const matches = this.findTerm(snapshot.index) === snapshot.term;
    const kept = matches ? this.#entries : [];
    this.#entries = kept.filter(({ index }) => index > snapshot.index);
    this.#base = { index: snapshot.index, term: snapshot.term };
    this.#snapshot = snapshot;
    this.#cachedMembership = undefined;
    return saved;
  }

  #findLastDiscarded(snapshotIndex: number): number {
    const lowestIndex = snapshotIndex - this.#trailingEntryCount;
    let index = snapshotIndex;
    let sizeBytes = 0;
    while (index > lowestIndex && index > this.#base.index) {
      const entry = this.find(index);
      sizeBytes += entry === undefined ? 0 : estimateEntryBytes(entry);
      if (sizeBytes > MAX_TRAILING_BYTES) {
        break;
      }
      index -= 1;
    }
    return index;
  }

  #discardUpTo(index: number): void {
    const term = this.findTerm(index);
    if (index > this.#base.index && term !== undefined) {
      this.#entries = this.#entries.slice(index - this.#base.index);
      this.#base = { index, term };
      this.#cachedMembership = undefined;
    }
  }

  #findMembership(): LoggedMembership {
    this.#cachedMembership ??= this.#searchMembership();
    return this.#cachedMembership;
  }

  #searchMembership(): LoggedMembership {
    for (const { index, command } of this.#entries.toReversed()) {
      if (command.type === "membership") {
        const { voters, learners } = command;
        return { index, membership: { voters, learners } };
      }
    }
    const membership = this.#snapshot?.state.membership ?? NO_MEMBERSHIP;
    return { index: 0, membership };
  }
}
