/** Values by runner incarnation. */
import type { RunnerIncarnation } from "./runner.ts";

/**
 * Map whose keys are runner incarnations. Lookups and iterations create no
 * objects, because the leader looks at every runner after each commit. Each
 * value belongs to one incarnation.
 */
export class IncarnationMap<T extends object> {
  /** By runner id, then by start time. */
  readonly #byRunner = new Map<string, Map<number, T>>();
  readonly #values = new Set<T>();

  /** Finds the value of an incarnation; undefined when there is none. */
  get({ runnerId, bornAtMs }: RunnerIncarnation): T | undefined {
    return this.#byRunner.get(runnerId)?.get(bornAtMs);
  }

  /** Sets the value of an incarnation. */
  set(incarnation: RunnerIncarnation, value: T): void {
    this.delete(incarnation);
    const { runnerId, bornAtMs } = incarnation;
    const byStart = this.#byRunner.get(runnerId) ?? new Map<number, T>();
    this.#byRunner.set(runnerId, byStart);
    byStart.set(bornAtMs, value);
    this.#values.add(value);
  }

  /** Removes the value of an incarnation, if there is one. */
  delete({ runnerId, bornAtMs }: RunnerIncarnation): void {
    const byStart = this.#byRunner.get(runnerId);
    const value = byStart?.get(bornAtMs);
    if (byStart === undefined || value === undefined) {
      return;
    }
    this.#values.delete(value);
    byStart.delete(bornAtMs);
    if (byStart.size === 0) {
      this.#byRunner.delete(runnerId);
    }
  }

  /** Removes all values. */
  clear(): void {
    this.#byRunner.clear();
    this.#values.clear();
  }

  /** All values; they may be removed while they are iterated. */
  values(): Iterable<T> {
    return this.#values;
  }
}
