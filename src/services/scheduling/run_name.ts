/** Formats run names for logs and map keys. */
import { formatTaskId } from "../../domain/index.ts";
import type { RunName } from "../../ports/index.ts";

/** Formats a run as `task#runNumber`. */
export function formatRun({ task, runNumber }: RunName): string {
  return `${formatTaskId(task)}#${runNumber}`;
}
