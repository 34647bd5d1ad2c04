/** Decides in which order steps request advice. */
import type { ReadyStep } from "../../decisions/index.ts";

/**
 * Lets the first requests of steps, in the order of the policy, alternate with
 * further ones of other steps, the oldest first. So a step whose requests fail, or
 * whose tickets expire again and again, delays each other step by one request at
 * most.
 */
export class AdviceTurns {
  readonly #formatStep: (step: ReadyStep) => string;
  /** Monotonic time of the newest request (ms), by step. */
  readonly #requestedAtMs = new Map<string, number>();
  /** Whether the newest request was the first one of its step. */
  #wasFirst = false;

  /** @param formatStep - Names a step. */
  constructor(formatStep: (step: ReadyStep) => string) {
    this.#formatStep = formatStep;
  }

  /**
   * Records a request.
   *
   * @param step - The step.
   * @param atMs - Monotonic time (ms).
   */
  record(step: ReadyStep, atMs: number): void {
    const key = this.#formatStep(step);
    this.#wasFirst = !this.#requestedAtMs.has(key);
    this.#requestedAtMs.set(key, atMs);
  }

  /** Names of the steps that have requested advice. */
  get steps(): Iterable<string> {
    return this.#requestedAtMs.keys();
  }

  /** Forgets a step whose job has ended. */
  drop(key: string): void {
    this.#requestedAtMs.delete(key);
  }

  /**
   * Sorts steps by whose turn it is.
   *
   * @param steps - The steps, the most urgent first.
   */
  sort(steps: readonly ReadyStep[]): readonly ReadyStep[] {
    const first: ReadyStep[] = [];
    const further: { readonly step: ReadyStep; readonly sinceMs: number }[] =
      [];
    for (const step of steps) {
      const sinceMs = this.#requestedAtMs.get(this.#formatStep(step));
      if (sinceMs === undefined) {
        first.push(step);
      } else {
        further.push({ step, sinceMs });
      }
    }
    const oldest = further
      .toSorted((left, right) => left.sinceMs - right.sinceMs)
      .map(({ step }) => step);
    return this.#wasFirst ? [...oldest, ...first] : [...first, ...oldest];
  }
}
