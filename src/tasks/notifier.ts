/** Notification of waiting tasks, without spinning. */

/** Wakes all waiting tasks on each notification. */
export class Notifier {
  readonly #waiting = new Set<() => void>();

  /** Wakes every task that is currently waiting. */
  notify(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const wake of waiting) {
      wake();
    }
  }

  /**
   * Registers a function that the next notification calls.
   *
   * @param wake - Called once.
   * @returns A function that removes the registration.
   */
  onNext(wake: () => void): () => void {
    this.#waiting.add(wake);
    return () => this.#waiting.delete(wake);
  }

  /**
   * Waits for the next notification.
   *
   * @param signal - Ends the wait.
   * @returns A promise that resolves on the next notification or on abort.
   */
  wait(signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener("abort", wake);
        this.#waiting.delete(wake);
        resolve();
      };
      signal?.addEventListener("abort", wake, { once: true });
      this.#waiting.add(wake);
    });
  }
}
