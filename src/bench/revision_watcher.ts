/** Watches, on every entry, which revision is in force. */
import * as v from "valibot";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Deployment } from "../stand_ins/index.ts";

const RECONNECT_DELAY_MS = 100;

const statusSchema = v.looseObject({ revision: v.number() });

/** Keeps the moment at which each entry first showed each revision. */
export class RevisionWatcher {
  readonly #clock = new SystemClock();
  readonly #abortController = new AbortController();
  readonly #newestByUrl = new Map<string, number>();
  readonly #seenAtMs = new Map<string, number>();
  #revertedCount = 0;
  #tasks: Promise<unknown> = Promise.resolve();

  /**
   * Starts one task for each entry.
   *
   * @param deployment - The entries.
   */
  start(deployment: Deployment): void {
    const tasks = deployment.entries.map(({ plan }) =>
      this.#watchEntry(deployment, plan.url)
    );
    this.#tasks = Promise.all(tasks);
  }

  /** Ends all tasks. */
  async stop(): Promise<void> {
    this.#abortController.abort();
    await this.#tasks;
  }

  /** Times that an entry showed an older revision than before. */
  get revertedCount(): number {
    return this.#revertedCount;
  }

  /**
   * Finds when a revision was in force on an entry.
   *
   * @param url - The entry.
   * @param revision - The revision.
   * @returns Monotonic time (ms), or undefined when it was never shown.
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
        // The entry is down or the stream broke; it is opened again.
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
