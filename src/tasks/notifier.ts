/** Notification of waiting tasks, without spinning. */
import { CallbackList } from "./callback_list.ts";
import { onAbort } from "./on_abort.ts";

/** Wakes all waiting tasks on each notification. */
export class Notifier {
  readonly #waiting = new CallbackList();

  /** Wakes every task that is currently waiting. */
  notify(): void {
    this.#waiting.callAll();
  }

  /**
   * Registers a function that the next notification calls.
   *
   * @param wake - Called once.
   * @returns A function that removes the registration.
   */
  onNext(wake: () => void): () => void {
    return this.#waiting.add(wake);
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
        stopWaiting();
        stopListening?.();
        resolve();
      };
      const stopWaiting = this.#waiting.add(wake);
      const stopListening = signal && onAbort(signal, wake);
    });
  }
}
