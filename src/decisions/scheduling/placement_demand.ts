/** What a plan has given away, and what it keeps, while it is made. */
import { addAmounts, findHeld } from "../../domain/index.ts";
import {
  type Candidate,
  isAllowed,
  type PlacementDemand,
} from "./placement_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

/** The demand of a step, which counts the placements of the plan. */
export interface MutableDemand extends PlacementDemand {
  readonly countByRunner: Map<string, number>;
  readonly countByZone: Map<string, number>;
}

/**
 * Creates the demand of a step from where its tasks run now.
 *
 * @param ready - The step.
 * @param approvedIds - Runners that may run it; undefined where any may.
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
    held: findHeld(step),
    approvedIds,
    countByRunner,
    countByZone: new Map(),
  };
}

/** Takes room on a runner for one task. */
export function allocate(candidate: Candidate, demand: MutableDemand): void {
  const { step, held, countByRunner, countByZone } = demand;
  candidate.free = addAmounts(candidate.free, held, -1);
  candidate.latencyTargetCount += Number(step.tailTargetMs > 0);
  candidate.bestEffortCount += Number(step.usesLeftovers);
  increment(countByRunner, candidate.runnerId);
  increment(countByZone, candidate.zone);
}

/**
 * Keeps the roomiest runner for a task that found no room.
 *
 * Smaller tasks would fill each gap on a full runner before it is large enough
 * for a task that comes first. One runner of several at most: what it waits for
 * may never end.
 *
 * @param candidates - Runners of the pool.
 * @param demand - What the task needs.
 */
export function reserveRoomiest(
  candidates: readonly Candidate[],
  demand: PlacementDemand,
): void {
  const isTaken = candidates.some(({ isReserved }) => isReserved);
  if (isTaken || candidates.length < 2) {
    return;
  }
  let roomiest: Candidate | undefined;
  for (const candidate of candidates) {
    const isRoomier = roomiest === undefined ||
      candidate.free.cpuMillicores > roomiest.free.cpuMillicores;
    const isFree = !candidate.isReserved && isAllowed(candidate, demand);
    if (isFree && isRoomier) {
      roomiest = candidate;
    }
  }
  if (roomiest !== undefined) {
    roomiest.isReserved = true;
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
