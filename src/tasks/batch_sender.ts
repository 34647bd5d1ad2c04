/** Sends items to one peer in batches. */
import type { Clock } from "../ports/index.ts";
import { Notifier } from "./notifier.ts";

/** Options of {@link BatchSender}. */
export interface BatchSenderOptions<T> {
  readonly clock: Clock;
  /** How long items gather before they are sent (ms). */
  readonly gatherMs: number;
  /** Largest number of items in one message. */
  readonly maxCount: number;
  /**
   * Sends a batch.
   *
   * @returns Whether the peer confirmed it.
   */
  readonly send: (batch: readonly T[]) => Promise<boolean>;
}

/**
 * Queues items and sends one batch at a time, so that more gather while the
 * peer is slow.
 */
export class BatchSender<T> {
  readonly #options: BatchSenderOptions<T>;
  readonly #arrived = new Notifier();
  #queued: T[] = [];

  constructor(options: BatchSenderOptions<T>) {
    this.#options = options;
  }

  /** Queues an item. */
  push(item: T): void {
    this.#queued.push(item);
    if (this.#queued.length === 1) {
      this.#arrived.notify();
    }
  }

  /** Removes all queued items. */
  clear(): void {
    this.#queued = [];
  }

  /**
   * Sends batches until the signal aborts. A batch that is not confirmed is not
   * sent again.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, gatherMs, maxCount, send } = this.#options;
    while (!signal.aborted) {
      if (this.#queued.length === 0) {
        await this.#arrived.wait(signal);
        await clock.sleep(gatherMs, signal);
        continue;
      }
      await send(this.#queued.splice(0, maxCount));
    }
  }
}
