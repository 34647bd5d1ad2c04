/** Mutual exclusion between tasks. */

/** Runs critical sections one at a time, in the order of the calls to `run`. */
export class Mutex {
  #tail: Promise<unknown> = Promise.resolve();

  /**
   * Runs a section after all earlier ones have ended. Sections must not nest: an
   * inner section would wait forever for the outer one.
   *
   * @param section - The critical section.
   * @returns The result of the section.
   */
  run<T>(section: () => Promise<T>): Promise<T> {
    const result = this.#tail.then(section);
    this.#tail = result.catch(() => undefined);
    return result;
  }
}
