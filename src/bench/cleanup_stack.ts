/** Cleans up after a measurement, newest first, also after a failure. */

/** Keeps what must be undone. */
export class CleanupStack {
  readonly #steps: (() => Promise<void>)[] = [];

  /**
   * Adds a step.
   *
   * @param step - Undoes one thing.
   */
  add(step: () => Promise<void>): void {
    this.#steps.push(step);
  }

  /**
   * Runs all steps; one that fails does not hold up the others.
   *
   * @returns What failed.
   */
  async run(): Promise<unknown[]> {
    const failures: unknown[] = [];
    for (let step = this.#steps.pop(); step; step = this.#steps.pop()) {
      try {
        await step();
      } catch (error) {
        failures.push(error);
      }
    }
    return failures;
  }
}
