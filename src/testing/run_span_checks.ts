/** Checks of the runs that took place on fake runners. */
import * as assert from "uvu/assert";
import type { RunSpan } from "./fake_runner_incarnation.ts";

/**
 * Checks that no task ran twice at once, or began again after it was done.
 *
 * @param spans - The runs.
 * @throws Error when a task did.
 */
export function checkNeverTwice(spans: readonly RunSpan[]): void {
  const byTask = new Map<string, RunSpan[]>();
  for (const span of spans) {
    byTask.set(span.task, [...byTask.get(span.task) ?? [], span]);
  }
  for (const [task, runs] of byTask) {
    const sorted = runs.toSorted((left, right) => left.fromMs - right.fromMs);
    sorted.forEach((run, at) => {
      const later = sorted[at + 1];
      assert.ok(
        later === undefined || later.fromMs >= run.toMs,
        `${task} ran twice at once: ${JSON.stringify([run, later])}`,
      );
      const isFinal = run.how === "done" && run.isAcknowledged;
      assert.ok(
        !isFinal || later === undefined,
        `${task} began after it was done: ${JSON.stringify([run, later])}`,
      );
    });
  }
}
