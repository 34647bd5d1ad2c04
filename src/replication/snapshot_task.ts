/** Periodic snapshots of the applied state. */
import type { ReplicaCore } from "./replica_core.ts";
import {
  DISK_RETRY_DELAY_MS,
  SNAPSHOT_INTERVAL_BYTES,
  SNAPSHOT_INTERVAL_COUNT,
} from "./timing.ts";
import { estimateEntryBytes } from "./value_size.ts";

/**
 * Saves a snapshot after every {@link SNAPSHOT_INTERVAL_COUNT} applied log
 * entries, or sooner, once their size reaches {@link SNAPSHOT_INTERVAL_BYTES}.
 */
export class SnapshotTask {
  readonly #core: ReplicaCore;
  /** Applied index up to which `#appliedBytes` counts. */
  #measuredIndex = 0;
  /** Estimated size of the applied log entries after the snapshot, in bytes. */
  #appliedBytes = 0;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Saves snapshots whenever they are due, which keeps the log short.
   *
   * @param signal - Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const core = this.#core;
    while (!signal.aborted) {
      if (!this.#isDue()) {
        await core.changed.wait(signal);
        continue;
      }
      const isSaved = await core.mutex.run(() => this.#save());
      if (!isSaved) {
        await core.options.clock.sleep(DISK_RETRY_DELAY_MS, signal);
      }
    }
  }

  #isDue(): boolean {
    const { log, appliedIndex, options } = this.#core;
    const { snapshotIntervalCount = SNAPSHOT_INTERVAL_COUNT } = options;
    const savedIndex = log.snapshot?.index ?? 0;
    return appliedIndex - savedIndex >= snapshotIntervalCount ||
      this.#measureApplied(savedIndex) >= SNAPSHOT_INTERVAL_BYTES;
  }

  #measureApplied(savedIndex: number): number {
    const { log, appliedIndex } = this.#core;
    if (this.#measuredIndex <= savedIndex) {
      this.#measuredIndex = savedIndex;
      this.#appliedBytes = 0;
    }
    while (this.#measuredIndex < appliedIndex) {
      this.#measuredIndex += 1;
      const entry = log.find(this.#measuredIndex);
      this.#appliedBytes += entry === undefined ? 0 : estimateEntryBytes(entry);
    }
    return this.#appliedBytes;
  }

  async #save(): Promise<boolean> {
    const { log, appliedIndex, state, options } = this.#core;
    const term = log.findTerm(appliedIndex);
    if (term === undefined) {
      return false;
    }
    const snapshot = { index: appliedIndex, term, state: state.toSnapshot() };
    const saved = await log.saveSnapshot(snapshot);
    if (saved.isErr) {
      options.logger.warn({ failure: saved.error }, "saving a snapshot failed");
      return false;
    }
    options.logger.info(
      { index: appliedIndex, logBytes: this.#appliedBytes },
      "saved a snapshot",
    );
    return true;
  }
}
