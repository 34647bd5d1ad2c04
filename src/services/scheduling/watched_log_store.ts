/** Measures the writes of a log store and logs when its disk rejects them. */
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type {
  Clock,
  DiskMetrics,
  DiskWriteKind,
  LogEntry,
  Logger,
  LogStore,
  StoredLog,
  StoredSnapshot,
  VoteRecord,
} from "../../ports/index.ts";

/** Options of {@link WatchedLogStore}. */
export interface WatchedLogStoreOptions {
  readonly store: LogStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DiskMetrics;
}

interface Rejections {
  /** Monotonic time of the first rejected write (ms). */
  readonly sinceMs: number;
  count: number;
}

/** Passes each write on to another log store. */
export class WatchedLogStore implements LogStore {
  readonly #options: WatchedLogStoreOptions;
  /**
   * Rejected writes since the last one that was stored, by kind. A full disk
   * may still take the smallest files.
   */
  readonly #rejections = new Map<DiskWriteKind, Rejections>();

  constructor(options: WatchedLogStoreOptions) {
    this.#options = options;
  }

  load(): Promise<Result<StoredLog, Failure>> {
    return this.#options.store.load();
  }

  append(entries: readonly LogEntry[]): Promise<Result<void, Failure>> {
    return this.#watch("log", () => this.#options.store.append(entries));
  }

  saveVote(vote: VoteRecord): Promise<Result<void, Failure>> {
    return this.#watch("vote", () => this.#options.store.saveVote(vote));
  }

  saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    return this.#watch(
      "snapshot",
      () => this.#options.store.saveSnapshot(snapshot),
    );
  }

  close(): Promise<void> {
    return this.#options.store.close();
  }

  async #watch(
    kind: DiskWriteKind,
    write: () => Promise<Result<void, Failure>>,
  ): Promise<Result<void, Failure>> {
    const { clock, metrics } = this.#options;
    const startedMs = clock.monotonicMs();
    const written = await write();
    const endedMs = clock.monotonicMs();
    metrics.recordDiskWrite(
      kind,
      written.isOk ? "stored" : "rejected",
      endedMs - startedMs,
    );
    if (written.isErr) {
      this.#recordRejection(kind, written.error, endedMs);
    } else {
      this.#recordStored(kind, endedMs);
    }
    return written;
  }

  #recordRejection(kind: DiskWriteKind, failure: Failure, nowMs: number): void {
    const known = this.#rejections.get(kind);
    if (known !== undefined) {
      known.count += 1;
      return;
    }
    this.#rejections.set(kind, { sinceMs: nowMs, count: 1 });
    this.#options.logger.error(
      { write: kind, failure },
      "the disk rejects writes",
    );
  }

  #recordStored(kind: DiskWriteKind, nowMs: number): void {
    const rejections = this.#rejections.get(kind);
    if (rejections === undefined) {
      return;
    }
    this.#rejections.delete(kind);
    this.#options.logger.info(
      {
        write: kind,
        rejectedCount: rejections.count,
        rejectedForMs: Math.round(nowMs - rejections.sinceMs),
      },
      "the disk accepts writes again",
    );
  }
}
