/** Releases the resources of a measurement, including after a failure. */

/** Collects clean-up steps and runs them in reverse order. */
export class CleanupStack {
  readonly #steps: (() => Promise<void>)[] = [];

  /**
   * Adds a clean-up step.
   *
   * @param step - Releases one resource.
   */
  add(step: () => Promise<void>): void {
    this.#steps.push(step);
  }

  /**
   * Runs all steps, the newest first. A step that fails does not stop the others.
   *
   * @returns The errors of the steps that failed.
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
