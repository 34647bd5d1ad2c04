/** Periodic snapshots of the applied state. */
import type { ReplicaCore } from "./replica_core.ts";
import { DISK_RETRY_DELAY_MS, SNAPSHOT_INTERVAL_COUNT } from "./timing.ts";

/** Saves a snapshot after every {@link SNAPSHOT_INTERVAL_COUNT} log entries. */
export class SnapshotTask {
  readonly #core: ReplicaCore;

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
    return appliedIndex - savedIndex >= snapshotIntervalCount;
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
    options.logger.info({ index: appliedIndex }, "saved a snapshot");
    return true;
  }
}
