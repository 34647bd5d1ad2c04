/** The end of a run that never started, or that its runner lost. */
import type { RunningTask, SchedulingOperation } from "../../domain/index.ts";

/**
 * Creates the change of the log for the end of a lost run.
 *
 * @param run - The run.
 * @param maxAttempts - Number of failed runs after which its job has failed; a
 * lost run is none.
 */
export function createLostEnd(
  { id, runNumber }: RunningTask,
  maxAttempts: number,
): SchedulingOperation {
  return {
    type: "end",
    task: id,
    runNumber,
    how: "lost",
    saved: "",
    maxAttempts,
  };
}
