/** Values by runner incarnation. */
import type { RunnerIncarnation } from "./runner.ts";

/**
 * Map whose keys are runner incarnations. A lookup creates no key, because the
 * leader looks up every runner after each commit.
 */
export class IncarnationMap<T> {
  /** By runner id, then by start time. */
  readonly #byRunner = new Map<string, Map<number, T>>();

  /** Finds the value of an incarnation; undefined when there is none. */
  get({ runnerId, bornAtMs }: RunnerIncarnation): T | undefined {
    return this.#byRunner.get(runnerId)?.get(bornAtMs);
  }

  /** Sets the value of an incarnation. */
  set({ runnerId, bornAtMs }: RunnerIncarnation, value: T): void {
    const byStart = this.#byRunner.get(runnerId) ?? new Map<number, T>();
    this.#byRunner.set(runnerId, byStart);
    byStart.set(bornAtMs, value);
  }

  /** Removes the value of an incarnation, if there is one. */
  delete({ runnerId, bornAtMs }: RunnerIncarnation): void {
    const byStart = this.#byRunner.get(runnerId);
    byStart?.delete(bornAtMs);
    if (byStart?.size === 0) {
      this.#byRunner.delete(runnerId);
    }
  }

  /** Removes all values. */
  clear(): void {
    this.#byRunner.clear();
  }

  /** Iterates over all values; values may be removed meanwhile. */
  *values(): IterableIterator<T> {
    for (const byStart of this.#byRunner.values()) {
      yield* byStart.values();
    }
  }
}
