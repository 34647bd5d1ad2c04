/** Waiting for a condition with a timeout, without spinning. */
import type { Clock } from "../ports/index.ts";
import type { Notifier } from "./notifier.ts";
import { onAbort } from "./on_abort.ts";

/** Options of {@link waitFor}. */
export interface WaitForOptions {
  readonly clock: Clock;
  /** Notified whenever the condition may have changed. */
  readonly notifier: Notifier;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  readonly isMet: () => boolean;
}

/**
 * Waits until a condition holds, the timeout passes or the signal aborts.
 *
 * @param options - The condition, its notifier, the timeout (ms) and a signal.
 * @returns Whether the condition holds at the end of the wait.
 */
export async function waitFor(options: WaitForOptions): Promise<boolean> {
  const { clock, notifier, timeoutMs, signal, isMet } = options;
  if (isMet() || signal?.aborted) {
    return isMet();
  }
  let isOver = false;
  let wake = () => {};
  const end = () => {
    isOver = true;
    wake();
  };
  const stopListening = signal && onAbort(signal, end);
  const cancelTimer = clock.startTimer(timeoutMs, end);
  let forget = () => {};
  while (!isMet() && !isOver) {
    await new Promise<void>((resolve) => {
      wake = resolve;
      forget = notifier.onNext(resolve);
    });
  }
  forget();
  cancelTimer();
  stopListening?.();
  return isMet();
}
