/** Waits for a condition or a deadline, without spinning. */
import type { Clock } from "../ports/index.ts";
import type { Notifier } from "./notifier.ts";

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
 * Waits until a condition holds.
 *
 * @param options - Condition, its notifier, the timeout (ms) and a signal.
 * @returns True when the condition holds, false after the timeout or abort.
 */
export async function waitFor(options: WaitForOptions): Promise<boolean> {
  const { clock, notifier, timeoutMs, signal, isMet } = options;
  if (isMet() || signal?.aborted) {
    return isMet();
  }
  const stop = new AbortController();
  // With a reason, an abort builds no error with a stack for each wait.
  const end = () => stop.abort("the wait is over");
  signal?.addEventListener("abort", end, { once: true });
  void clock.sleep(timeoutMs, stop.signal).then(end);
  while (!isMet() && !stop.signal.aborted) {
    await notifier.wait(stop.signal);
  }
  signal?.removeEventListener("abort", end);
  end();
  return isMet();
}
