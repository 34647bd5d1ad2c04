/** Names of runs as text. */
import { formatTaskId } from "../../domain/index.ts";
import type { RunName } from "../../ports/index.ts";

/** Formats the name of a run. */
export function formatRun({ task, runNumber }: RunName): string {
  return `${formatTaskId(task)}#${runNumber}`;
}
