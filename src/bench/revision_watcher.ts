/** Watches which revision is in force on each entry. */
import * as v from "valibot";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Deployment } from "../stand_ins/index.ts";

const RECONNECT_DELAY_MS = 100;

const statusSchema = v.looseObject({ revision: v.number() });

/** Records when each entry first reported each revision. */
export class RevisionWatcher {
  readonly #clock = new SystemClock();
  readonly #abortController = new AbortController();
  readonly #newestByUrl = new Map<string, number>();
  readonly #seenAtMs = new Map<string, number>();
  #revertedCount = 0;
  #tasks: Promise<unknown> = Promise.resolve();

  /**
   * Starts watching, with one task for each entry.
   *
   * @param deployment - Deployment whose entries to watch.
   */
  start(deployment: Deployment): void {
    const tasks = deployment.entries.map(({ plan }) =>
      this.#watchEntry(deployment, plan.url)
    );
    this.#tasks = Promise.all(tasks);
  }

  /** Stops watching and waits until all tasks have ended. */
  async stop(): Promise<void> {
    this.#abortController.abort();
    await this.#tasks;
  }

  /** Number of times that an entry reported an older revision than before. */
  get revertedCount(): number {
    return this.#revertedCount;
  }

  /**
   * Returns when a revision came into force on an entry.
   *
   * @param url - URL of the entry.
   * @param revision - The revision.
   * @returns Monotonic time (ms), or undefined if the entry never reported it.
   */
  findInForceMs(url: string, revision: number): number | undefined {
    return this.#seenAtMs.get(`${url} ${revision}`);
  }

  async #watchEntry(deployment: Deployment, url: string): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      try {
        const lines = deployment.operator.watch(
          url,
          this.#abortController.signal,
        );
        for await (const line of lines) {
          this.#recordRevision(
            url,
            v.parse(statusSchema, JSON.parse(line)).revision,
          );
        }
      } catch {
        // The entry is down or the stream broke. The loop reconnects.
      }
      await this.#clock.sleep(RECONNECT_DELAY_MS, this.#abortController.signal);
    }
  }

  #recordRevision(url: string, revision: number): void {
    const newest = this.#newestByUrl.get(url) ?? 0;
    if (revision < newest) {
      this.#revertedCount += 1;
    }
    const nowMs = this.#clock.monotonicMs();
    for (let current = newest + 1; current <= revision; current += 1) {
      this.#seenAtMs.set(`${url} ${current}`, nowMs);
    }
    this.#newestByUrl.set(url, Math.max(newest, revision));
  }
}
