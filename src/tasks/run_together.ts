/** Several tasks that are parts of one task. */
import { setMaxListeners } from "node:events";
import type { Task } from "./task_group.ts";

/**
 * Runs tasks until all have ended. When one of them throws, the others are
 * aborted, so that none runs on after the whole has ended.
 *
 * @param tasks - The tasks.
 * @param signal - Ends all tasks.
 * @throws The error of the first task that threw, once all tasks have ended.
 */
export async function runTogether(
  tasks: readonly Task[],
  signal: AbortSignal,
): Promise<void> {
  const controller = new AbortController();
  // Every waiting part listens to this signal, so the listener limit is lifted.
  setMaxListeners(0, controller.signal);
  const abort = () => controller.abort(signal.reason);
  signal.addEventListener("abort", abort, { once: true });
  if (signal.aborted) {
    abort();
  }
  const failures: unknown[] = [];
  await Promise.all(tasks.map(async (task) => {
    try {
      await task(controller.signal);
    } catch (error) {
      failures.push(error);
      controller.abort(error);
    }
  }));
  signal.removeEventListener("abort", abort);
  if (failures.length > 0) {
    throw failures[0];
  }
}
