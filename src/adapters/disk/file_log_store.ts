/** The replicated log in files of the data folder. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import type {
  FileSystem,
  LogEntry,
  Logger,
  LogStore,
  OpenFile,
  StoredLog,
  StoredSnapshot,
  VoteRecord,
} from "../../ports/index.ts";
import { encodeRecord, scanRecords } from "./record_codec.ts";

const LOG_NAME = "log";
const VOTE_NAME = "vote";
const SNAPSHOT_NAME = "snapshot";
const TEMPORARY_SUFFIX = ".new";

/** Options of {@link FileLogStore}. */
export interface FileLogStoreOptions {
  readonly files: FileSystem;
  readonly logger: Logger;
  /**
   * Called when a sync has failed. What the disk holds is then unknown, so the
   * process has to end; a second sync could report success for lost data.
   */
  readonly onSyncFailure: (failure: Failure) => void;
}

interface StoredPosition {
  readonly entry: LogEntry;
  /** Where the batch that holds the entry starts, in bytes. */
  readonly offset: number;
}

interface LogCut {
  /** Where the file is cut, in bytes: the start of a batch. */
  readonly offset: number;
  /** Entries that stay in front of the cut. */
  readonly keptCount: number;
  /** Entries of the cut batch that do not conflict and are written again. */
  readonly rewritten: readonly LogEntry[];
}

/** Appends entries to one file, and replaces vote and snapshot as a whole. */
export class FileLogStore implements LogStore {
  readonly #options: FileLogStoreOptions;
  #positions: StoredPosition[] = [];
  #log: OpenFile | undefined;
  #sizeBytes = 0;

  constructor(options: FileLogStoreOptions) {
    this.#options = options;
  }

  async load(): Promise<Result<StoredLog, Failure>> {
    const vote = await this.#loadWhole<VoteRecord>(VOTE_NAME);
    const snapshot = await this.#loadWhole<StoredSnapshot>(SNAPSHOT_NAME);
    const entries = await this.#loadEntries();
    if (vote.isErr) {
      return Result.err(vote.error);
    }
    if (snapshot.isErr) {
      return Result.err(snapshot.error);
    }
    if (entries.isErr) {
      return Result.err(entries.error);
    }
    const firstIndex = (snapshot.value?.index ?? 0) + 1;
    return Result.ok({
      vote: vote.value ?? { term: 0, votedFor: undefined },
      snapshot: snapshot.value,
      entries: entries.value.filter(({ index }) => index >= firstIndex),
    });
  }

  async append(entries: readonly LogEntry[]): Promise<Result<void, Failure>> {
    const first = entries[0];
    if (first === undefined) {
      return Result.ok(undefined);
    }
    const log = this.#openLog();
    const cut = this.#findCut(first.index);
    const batch = cut === undefined ? entries : [...cut.rewritten, ...entries];
    const offset = cut?.offset ?? this.#sizeBytes;
    const record = encodeRecord(batch);
    try {
      if (cut !== undefined) {
        await log.truncate(offset);
      }
      await log.write(record, offset);
    } catch (error) {
      return await this.#recoverFromFullDisk(log, offset, error);
    }
    const synced = await this.#sync(log, LOG_NAME);
    if (synced.isErr) {
      return synced;
    }
    this.#sizeBytes = offset + record.length;
    this.#positions.length = cut?.keptCount ?? this.#positions.length;
    this.#positions.push(...batch.map((entry) => ({ entry, offset })));
    return Result.ok(undefined);
  }

  async saveVote(vote: VoteRecord): Promise<Result<void, Failure>> {
    return await this.#replaceWhole(VOTE_NAME, encodeRecord(vote));
  }

  async saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    const saved = await this.#replaceWhole(
      SNAPSHOT_NAME,
      encodeRecord(snapshot),
    );
    if (saved.isErr) {
      return saved;
    }
    const left = this.#positions.map(({ entry }) => entry)
      .filter(({ index }) => index > snapshot.index);
    const record = left.length === 0 ? new Uint8Array() : encodeRecord(left);
    const cut = await this.#replaceWhole(LOG_NAME, record);
    if (cut.isErr) {
      return cut;
    }
    await this.#log?.close();
    this.#log = await this.#options.files.open(LOG_NAME);
    this.#sizeBytes = record.length;
    this.#positions = left.map((entry) => ({ entry, offset: 0 }));
    return Result.ok(undefined);
  }

  async close(): Promise<void> {
    await this.#log?.close();
    this.#log = undefined;
  }

  /** Finds what a conflicting tail leaves, or undefined when nothing conflicts. */
  #findCut(firstIndex: number): LogCut | undefined {
    const lastIndex = this.#positions.at(-1)?.entry.index ?? 0;
    if (firstIndex > lastIndex) {
      return undefined;
    }
    const conflicting = this.#positions.findIndex(({ entry }) =>
      entry.index >= firstIndex
    );
    const offset = this.#positions[conflicting]?.offset ?? 0;
    const keptCount = this.#positions.findIndex((position) =>
      position.offset === offset
    );
    const rewritten = this.#positions.slice(keptCount, conflicting).map((
      { entry },
    ) => entry);
    return { offset, keptCount, rewritten };
  }

  async #loadEntries(): Promise<Result<LogEntry[], Failure>> {
    const bytes = await this.#options.files.read(LOG_NAME) ?? new Uint8Array();
    const scanned = scanRecords(bytes);
    if (scanned.damagedOffset !== undefined) {
      return Result.err(createDamage(LOG_NAME, scanned.damagedOffset));
    }
    this.#log = await this.#options.files.open(LOG_NAME);
    if (scanned.validBytes < bytes.length) {
      this.#options.logger.warn(
        {
          file: LOG_NAME,
          offset: scanned.validBytes,
          cutBytes: bytes.length - scanned.validBytes,
        },
        "cut off a torn last record",
      );
      await this.#log.truncate(scanned.validBytes);
    }
    await this.#options.files.syncFolder();
    this.#sizeBytes = scanned.validBytes;
    this.#positions = scanned.records.flatMap(({ value, offset }) =>
      (value as LogEntry[]).map((entry) => ({ entry, offset }))
    );
    return Result.ok(this.#positions.map(({ entry }) => entry));
  }

  async #loadWhole<T>(name: string): Promise<Result<T | undefined, Failure>> {
    const bytes = await this.#options.files.read(name);
    if (bytes === undefined) {
      return Result.ok(undefined);
    }
    const record = scanRecords(bytes).records[0];
    return record === undefined
      ? Result.err(createDamage(name, 0))
      : Result.ok(record.value as T);
  }

  async #replaceWhole(
    name: string,
    bytes: Uint8Array,
  ): Promise<Result<void, Failure>> {
    const { files } = this.#options;
    const temporary = `${name}${TEMPORARY_SUFFIX}`;
    await files.remove(temporary);
    const file = await files.open(temporary);
    try {
      await file.write(bytes, 0);
    } catch (error) {
      await file.close();
      await files.remove(temporary);
      return Result.err(createReadOnly(name, error));
    }
    const synced = await this.#sync(file, name);
    await file.close();
    if (synced.isErr) {
      return synced;
    }
    await files.rename(temporary, name);
    await files.syncFolder();
    return Result.ok(undefined);
  }

  async #recoverFromFullDisk(
    log: OpenFile,
    offset: number,
    error: unknown,
  ): Promise<Result<void, Failure>> {
    // Leaves no half-written record in front of later ones.
    await log.truncate(offset);
    return Result.err(createReadOnly(LOG_NAME, error));
  }

  async #sync(file: OpenFile, name: string): Promise<Result<void, Failure>> {
    try {
      await file.sync();
      return Result.ok(undefined);
    } catch (error) {
      const failure = createFailure(
        "internal",
        `syncing ${name} failed: ${String(error)}`,
        {
          remedy:
            "replace the disk, then start this entry with an empty data folder",
        },
      );
      this.#options.onSyncFailure(failure);
      return Result.err(failure);
    }
  }

  #openLog(): OpenFile {
    if (this.#log === undefined) {
      throw new Error("the log store is used before it is loaded");
    }
    return this.#log;
  }
}

function createDamage(name: string, offset: number): Failure {
  return createFailure(
    "diskDamaged",
    `file ${name} is damaged at offset ${offset}`,
    {
      path: name,
      remedy:
        "start this entry with an empty data folder; it then rejoins as a learner",
      detail: { file: name, offset },
    },
  );
}

function createReadOnly(name: string, error: unknown): Failure {
  return createFailure("readOnly", `writing ${name} failed: ${String(error)}`, {
    remedy: "free space on the disk of the data folder",
  });
}
