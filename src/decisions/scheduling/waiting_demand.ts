/** Sums the capacity that waiting work needs. */
import type { ReadyStep } from "./ready_step.ts";

/** Demand of the waiting work of one pool, in millicores. */
interface WaitingDemand {
  urgent: number;
  late: number;
}

/**
 * Sums the demand of waiting work by pool.
 *
 * A long-running task of a step that limits its tasks on one runner counts as a
 * whole VM, because it may need one of its own, however little it uses. Late
 * and best-effort work counts as one VM at most: it has to end, but brings
 * little benefit.
 *
 * @param steps - The waiting steps.
 * @param largestVmMillicores - Capacity of the largest VM.
 * @param nowMs - Wall-clock time, in milliseconds.
 * @returns Millicores by pool.
 */
export function sumWaitingDemand(
  steps: readonly ReadyStep[],
  largestVmMillicores: number,
  nowMs: number,
): Map<string, number> {
  const demands = new Map<string, WaitingDemand>();
  for (const ready of steps) {
    const demand = demands.get(ready.pool) ?? { urgent: 0, late: 0 };
    demands.set(ready.pool, demand);
    const { step, record, criticalPathMs, targetEndMs } = ready;
    const needs = record.waitingCount * step.needs.cpuMillicores;
    if (step.isEndless && step.maxPerRunner > 0) {
      demand.urgent += record.waitingCount * largestVmMillicores;
    } else if (step.isEndless && !step.usesLeftovers) {
      demand.urgent += needs;
    } else if (!step.usesLeftovers && nowMs + criticalPathMs <= targetEndMs) {
      demand.urgent += needs;
    } else {
      demand.late += needs;
    }
  }
  return new Map(
    [...demands].map(([pool, { urgent, late }]) => [
      pool,
      urgent + Math.min(late, largestVmMillicores),
    ]),
  );
}
