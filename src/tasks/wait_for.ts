/** Waiting for a condition with a timeout, without spinning. */
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
  const stop = new AbortController();
  // Without a reason, each abort would create an error with a stack trace.
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
