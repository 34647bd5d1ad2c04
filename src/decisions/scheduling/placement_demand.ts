/** Tracks the capacity that a plan allocates while it is being made. */
import { addAmounts, computeReservedAmounts } from "../../domain/index.ts";
import type {
  Candidate,
  PlacementDemand,
  PlacementTrust,
} from "./placement_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

/** The demand of a step, updated with each placement of the plan. */
export interface MutableDemand extends PlacementDemand {
  readonly countByRunner: Map<string, number>;
  readonly countByZone: Map<string, number>;
  /** What the task that is placed next risks. */
  trust?: PlacementTrust;
}

/**
 * Creates the demand of a step. Counts by runner include its running tasks;
 * counts by zone include only the placements of the plan.
 *
 * @param ready - The step.
 * @param approvedIds - Ids of runners that may run it; undefined when any may.
 */
export function createDemand(
  { step, record }: ReadyStep,
  approvedIds: ReadonlySet<string> | undefined,
): MutableDemand {
  const countByRunner = new Map<string, number>();
  for (const { life } of record.tasks) {
    if (life !== undefined) {
      increment(countByRunner, life.runnerId);
    }
  }
  return {
    step,
    held: computeReservedAmounts(step),
    approvedIds,
    countByRunner,
    countByZone: new Map(),
  };
}

/**
 * Allocates capacity on a runner for one task.
 *
 * @param candidate - The runner; its free capacity and counts are changed.
 * @param demand - The demand of the task's step; its counts are changed.
 */
export function allocate(candidate: Candidate, demand: MutableDemand): void {
  const { step, held, countByRunner, countByZone } = demand;
  candidate.free = addAmounts(candidate.free, held, -1);
  if (step.isEndless) {
    candidate.attainable = addAmounts(candidate.attainable, held, -1);
  }
  candidate.latencyTargetCount += Number(step.tailTargetMs > 0);
  candidate.bestEffortCount += Number(step.usesLeftovers);
  if (candidate.probe !== undefined) {
    candidate.probe = "waits";
  }
  increment(countByRunner, candidate.runnerId);
  increment(countByZone, candidate.zone);
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
