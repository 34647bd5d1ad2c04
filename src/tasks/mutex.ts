/** Exclusive sections of tasks. */

/** Runs sections one after another, in the order in which they were asked for. */
export class Mutex {
  #tail: Promise<unknown> = Promise.resolve();

  /**
   * Runs a section when all earlier ones have ended; sections must not nest.
   *
   * @param section - What runs alone.
   * @returns What the section returns.
   */
  run<T>(section: () => Promise<T>): Promise<T> {
    const result = this.#tail.then(section);
    this.#tail = result.catch(() => undefined);
    return result;
  }
}
