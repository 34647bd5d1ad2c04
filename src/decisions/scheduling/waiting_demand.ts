/** Which capacity waiting work asks for. */
import type { ReadyStep } from "./ready_step.ts";

/** What the waiting work of one pool asks for, in millicores. */
interface WaitingDemand {
  urgent: number;
  late: number;
}

/**
 * Sums what waiting work asks for, by pool.
 *
 * A task that must stand apart from the others of its step may need a VM of its
 * own, however little of it. Work that is late anyway asks for one VM at the
 * most: it has to end, but earns little.
 *
 * @param steps - The waiting steps.
 * @param largestVmMillicores - Capacity of the largest VM.
 * @param nowMs - Wall-clock time (ms).
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
