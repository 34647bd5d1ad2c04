/** A condition that tasks wait for without spinning. */

/** Wakes all waiting tasks when it is notified. */
export class Notifier {
  readonly #waiting = new Set<() => void>();

  /** Wakes every task that waits now. */
  notify(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const wake of waiting) {
      wake();
    }
  }

  /**
   * Waits for the next notification.
   *
   * @param signal - Ends the wait.
   * @returns Resolves on the next notification or when the signal aborts.
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
