/** Which capacity waiting work asks for. */
import type { ReadyStep } from "./ready_step.ts";

/**
 * Sums what the waiting tasks of a step ask for.
 *
 * A task that must stand apart from the others of its step may need a VM of its
 * own, however little of it. Work that is late anyway asks for nothing more.
 *
 * @param ready - The step.
 * @param largestVmMillicores - Capacity of the largest VM.
 * @param nowMs - Wall-clock time (ms).
 * @returns Millicores.
 */
export function sumWaiting(
  { step, record, chainMs, objectiveMs }: ReadyStep,
  largestVmMillicores: number,
  nowMs: number,
): number {
  if (step.isEndless && step.maxPerRunner > 0) {
    return record.waitingCount * largestVmMillicores;
  }
  const isWanted = !step.usesLeftovers &&
    (step.isEndless || nowMs + chainMs <= objectiveMs);
  return isWanted ? record.waitingCount * step.needs.cpuMillicores : 0;
}
