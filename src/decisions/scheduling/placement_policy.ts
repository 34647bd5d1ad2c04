/** Which runner a task gets. */
import { type Amounts, fitsInto, type JobStep } from "../../domain/index.ts";

/** A runner that may get work, with what is left on it. */
export interface Candidate {
  readonly runnerId: string;
  readonly bornAtMs: number;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  /** What is left of its capacity. */
  free: Amounts;
  /** Tasks on it that serve users of their own. */
  latencyTargetCount: number;
  /** Tasks on it that live on processor time that others leave over. */
  bestEffortCount: number;
  /** Whether what is left is kept for a task that comes first. */
  isReserved: boolean;
}

/** What a placement has to heed beyond capacity. */
export interface PlacementDemand {
  readonly step: JobStep;
  /** What a task takes from a runner's capacity. */
  readonly held: Amounts;
  /** Tasks of the same step on each runner, by runner id. */
  readonly countByRunner: ReadonlyMap<string, number>;
  /** Runners that may run the step; undefined where any may. */
  readonly approvedIds: ReadonlySet<string> | undefined;
  /** Tasks of the same step in each zone. */
  readonly countByZone: ReadonlyMap<string, number>;
}

/** Chooses a runner. */
export interface PlacementPolicy {
  /**
   * Chooses the runner of one task.
   *
   * @param candidates - Runners of the pool.
   * @param demand - What the task needs.
   * @returns The runner, or undefined when none can take the task.
   */
  choose(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
  ): Candidate | undefined;
}

/** Takes the first runner that fits; the baseline. */
export class FirstFitPlacementPolicy implements PlacementPolicy {
  choose(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
  ): Candidate | undefined {
    return candidates.find((candidate) => canTake(candidate, demand));
  }
}

/**
 * Takes the runner with the best score: near the data, endless tasks spread
 * over zones, leftover work away from tasks that serve, and the fullest runner
 * otherwise, so that large tasks find room.
 */
export class ScoredPlacementPolicy implements PlacementPolicy {
  choose(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
      if (!canTake(candidate, demand)) {
        continue;
      }
      const score = computeScore(candidate, demand);
      if (score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }
}

// Each weight outranks the sum of those below it for usual counts; free cores
// break ties.
const NEAR_DATA_SCORE = 1_000_000;
const SEPARATION_SCORE = 100_000;
const ZONE_SCORE = 10_000;
const MILLICORES_PER_POINT = 1_000;

function computeScore(candidate: Candidate, demand: PlacementDemand): number {
  const { step, countByZone } = demand;
  const isNear = step.dataRack !== undefined &&
    candidate.rack === step.dataRack;
  const freePoints = candidate.free.cpuMillicores / MILLICORES_PER_POINT;
  let score = isNear ? NEAR_DATA_SCORE : 0;
  if (step.usesLeftovers) {
    score -= candidate.latencyTargetCount * SEPARATION_SCORE;
    return score - candidate.bestEffortCount * ZONE_SCORE + freePoints;
  }
  if (step.isEndless) {
    score -= candidate.bestEffortCount * SEPARATION_SCORE;
    score -= (countByZone.get(candidate.zone) ?? 0) * ZONE_SCORE;
  }
  return score - freePoints;
}

/** Tells whether a runner may and can take a task. */
export function canTake(
  candidate: Candidate,
  demand: PlacementDemand,
): boolean {
  return !candidate.isReserved && isAllowed(candidate, demand) &&
    fitsInto(demand.held, candidate.free);
}

/** Tells whether a runner may take a task once it has room. */
export function isAllowed(
  candidate: Candidate,
  { step, approvedIds, countByRunner }: PlacementDemand,
): boolean {
  const hasLabel = step.requiredLabel === undefined ||
    candidate.labels.includes(step.requiredLabel);
  const count = countByRunner.get(candidate.runnerId) ?? 0;
  const isApart = step.maxPerRunner === 0 || count < step.maxPerRunner;
  const isApproved = approvedIds?.has(candidate.runnerId) ?? true;
  return hasLabel && isApart && isApproved;
}
