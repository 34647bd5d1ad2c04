/** Stores the replicated log in files of the data folder. */
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type {
  LogEntry,
  Logger,
  LogStore,
  OpenFile,
  Random,
  StoredLog,
  StoredSnapshot,
  VoteRecord,
} from "../../ports/index.ts";
import { encodeRecord, scanRecords } from "./record_codec.ts";
import {
  createDamagedFailure,
  createReadOnlyFailure,
  type DiskOptions,
  loadRecord,
  replaceFile,
  syncFile,
} from "./replaced_file.ts";

const LOG_NAME = "log";
const VOTE_NAME = "vote";
const SNAPSHOT_NAME = "snapshot";

/** Options of {@link FileLogStore}. */
export interface FileLogStoreOptions extends DiskOptions {
  readonly logger: Logger;
  /** Draws the store id when the data folder is used for the first time. */
  readonly random: Random;
}

/**
 * Appends log entries to one file. The vote and the snapshot have a file each,
 * which every save replaces as a whole.
 */
export class FileLogStore implements LogStore {
  readonly #options: FileLogStoreOptions;
  #entries: LogEntry[] = [];
  #log: OpenFile | undefined;
  #sizeBytes = 0;

  constructor(options: FileLogStoreOptions) {
    this.#options = options;
  }

  async load(): Promise<Result<StoredLog, Failure>> {
    const { files } = this.#options;
    const vote = await loadRecord<VoteRecord>(files, VOTE_NAME);
    if (vote.isErr) {
      return Result.err(vote.error);
    }
    const snapshot = await loadRecord<StoredSnapshot>(files, SNAPSHOT_NAME);
    if (snapshot.isErr) {
      return Result.err(snapshot.error);
    }
    const loaded = await this.#loadLog(vote.value !== undefined);
    if (loaded.isErr) {
      return Result.err(loaded.error);
    }
    const trimmed = await this.#dropSnapshottedEntries(snapshot.value);
    if (trimmed.isErr) {
      return Result.err(trimmed.error);
    }
    const voteRecord = vote.value === undefined
      ? await this.#createVote()
      : Result.ok<VoteRecord, Failure>(vote.value);
    return voteRecord.map((record) => ({
      vote: record,
      snapshot: snapshot.value,
      entries: [...this.#entries],
    }));
  }

  async append(entries: readonly LogEntry[]): Promise<Result<void, Failure>> {
    const first = entries[0];
    if (first === undefined) {
      return Result.ok(undefined);
    }
    const lastIndex = this.#entries.at(-1)?.index ?? 0;
    return first.index > lastIndex
      ? await this.#appendToEnd(entries)
      : await this.#replaceTail(first.index, entries);
  }

  async saveVote(vote: VoteRecord): Promise<Result<void, Failure>> {
    return await replaceFile(this.#options, VOTE_NAME, encodeRecord(vote));
  }

  async saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    const record = encodeRecord(snapshot);
    const saved = await replaceFile(this.#options, SNAPSHOT_NAME, record);
    return saved.isErr
      ? saved
      : await this.#rewriteLog(selectEntriesAfter(this.#entries, snapshot));
  }

  async close(): Promise<void> {
    await this.#log?.close();
    this.#log = undefined;
  }

  async #appendToEnd(
    entries: readonly LogEntry[],
  ): Promise<Result<void, Failure>> {
    const record = encodeRecord(entries);
    let log: OpenFile;
    try {
      log = await this.#openLog();
      await log.write(record, this.#sizeBytes);
    } catch (error) {
      await this.#cutPartialRecord();
      return Result.err(createReadOnlyFailure(LOG_NAME, error));
    }
    const synced = await syncFile(this.#options, log, LOG_NAME);
    if (synced.isErr) {
      return synced;
    }
    this.#sizeBytes += record.length;
    this.#entries.push(...entries);
    return Result.ok(undefined);
  }

  // A full disk may refuse this as well. The partial record then stays until the
  // next one overwrites its start; at start, its rest counts as a torn tail.
  async #cutPartialRecord(): Promise<void> {
    try {
      await this.#log?.truncate(this.#sizeBytes);
    } catch (error) {
      this.#options.logger.warn(
        { file: LOG_NAME, offset: this.#sizeBytes, err: error },
        "a partial record was not cut off",
      );
    }
  }

  // Replaces the whole file to remove a conflicting tail. A record can hold
  // both conflicting and valid entries, so truncating the file in place could
  // lose synced entries in a crash.
  async #replaceTail(
    firstIndex: number,
    entries: readonly LogEntry[],
  ): Promise<Result<void, Failure>> {
    const kept = this.#entries.filter(({ index }) => index < firstIndex);
    return await this.#rewriteLog([...kept, ...entries]);
  }

  async #rewriteLog(
    entries: readonly LogEntry[],
  ): Promise<Result<void, Failure>> {
    const record = entries.length === 0
      ? new Uint8Array()
      : encodeRecord(entries);
    const replaced = await replaceFile(this.#options, LOG_NAME, record);
    if (replaced.isErr) {
      return replaced;
    }
    const previousLog = this.#log;
    this.#log = undefined;
    this.#sizeBytes = record.length;
    this.#entries = [...entries];
    await this.#closeReplaced(previousLog);
    return replaced;
  }

  // The file has no name any more, so its content no longer matters.
  async #closeReplaced(file: OpenFile | undefined): Promise<void> {
    try {
      await file?.close();
    } catch (error) {
      this.#options.logger.warn(
        { file: LOG_NAME, err: error },
        "closing the replaced log failed",
      );
    }
  }

  async #loadLog(mustExist: boolean): Promise<Result<void, Failure>> {
    const { files } = this.#options;
    const bytes = await files.read(LOG_NAME);
    if (bytes === undefined && mustExist) {
      return Result.err(createDamagedFailure(LOG_NAME, 0, "is missing"));
    }
    const scanned = scanRecords(bytes ?? new Uint8Array());
    if (scanned.damagedOffset !== undefined) {
      const offset = scanned.damagedOffset;
      return Result.err(createDamagedFailure(LOG_NAME, offset, "is damaged"));
    }
    const tornBytes = (bytes?.length ?? 0) - scanned.validBytes;
    if (tornBytes > 0) {
      await this.#cutTornTail(scanned.validBytes, tornBytes);
    }
    await this.#openLog();
    await files.syncFolder();
    this.#sizeBytes = scanned.validBytes;
    this.#entries = scanned.records.flatMap(({ value }) => value as LogEntry[]);
    return Result.ok(undefined);
  }

  async #cutTornTail(offset: number, cutBytes: number): Promise<void> {
    const log = await this.#openLog();
    this.#options.logger.warn(
      { file: LOG_NAME, offset, cutBytes },
      "cut off a torn last record",
    );
    await log.truncate(offset);
  }

  // A crash between saving a snapshot and rewriting the log leaves entries in
  // the log that the snapshot covers or contradicts.
  async #dropSnapshottedEntries(
    snapshot: StoredSnapshot | undefined,
  ): Promise<Result<void, Failure>> {
    const expectedIndex = (snapshot?.index ?? 0) + 1;
    if ((this.#entries[0]?.index ?? expectedIndex) > expectedIndex) {
      const problem = `does not continue with entry ${expectedIndex}`;
      return Result.err(createDamagedFailure(LOG_NAME, 0, problem));
    }
    const remaining = selectEntriesAfter(this.#entries, snapshot);
    return remaining.length === this.#entries.length
      ? Result.ok(undefined)
      : await this.#rewriteLog(remaining);
  }

  async #createVote(): Promise<Result<VoteRecord, Failure>> {
    const storeId = this.#options.random.nextId();
    const vote = { term: 0, votedFor: undefined, storeId };
    const saved = await this.saveVote(vote);
    return saved.map(() => vote);
  }

  async #openLog(): Promise<OpenFile> {
    this.#log ??= await this.#options.files.open(LOG_NAME);
    return this.#log;
  }
}

/**
 * Selects the entries after a snapshot.
 *
 * @param entries - The entries of the log.
 * @param snapshot - The snapshot, or undefined when there is none.
 * @returns The entries after the snapshot's index; none when the log conflicts
 * with the snapshot at that index.
 */
function selectEntriesAfter(
  entries: readonly LogEntry[],
  snapshot: StoredSnapshot | undefined,
): readonly LogEntry[] {
  if (snapshot === undefined || entries.length === 0) {
    return entries;
  }
  const follows = entries[0]?.index === snapshot.index + 1;
  const agrees = entries.some(({ index, term }) =>
    index === snapshot.index && term === snapshot.term
  );
  return follows || agrees
    ? entries.filter(({ index }) => index > snapshot.index)
    : [];
}
