/** Chooses the runner of each task. */
import { type Amounts, fitsInto, type JobStep } from "../../domain/index.ts";

/** A runner that may get work, with its free capacity. */
export interface Candidate {
  readonly runnerId: string;
  readonly bornAtMs: number;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  /** Unallocated capacity. */
  free: Amounts;
  /** Capacity that no long-running task holds, which may never end. */
  attainable: Amounts;
  /** Tasks on it with a target for tail latency. */
  latencyTargetCount: number;
  /** Best-effort tasks on it, which run on spare processor time. */
  bestEffortCount: number;
  /** Whether its VM is going to be maintained in a wave that is open. */
  readonly awaitsMaintenance: boolean;
  /** Whether its free capacity is reserved for a task that fits nowhere yet. */
  isReserved: boolean;
  /** Whether its newest runs took far longer than those of other runners. */
  readonly isSlow?: boolean;
  /** Absent for a runner that is trusted. */
  probe?: ProbeState | undefined;
}

/**
 * What a suspect runner may get: nothing while it `waits`; one task that can
 * afford to fail once a probe is `due`; one that has not failed yet once it is
 * `overdue`.
 */
export type ProbeState = "waits" | "due" | "overdue";

/** What a task risks on a runner that may fail it. */
export interface PlacementTrust {
  /** Ids of the runners on which it has failed before. */
  readonly failedOn: readonly string[];
  /** Whether it has never failed, and ends by itself. */
  readonly isFresh: boolean;
  /** Whether it is fresh and its job survives a failure. */
  readonly canAffordFailure: boolean;
  /** Whether no runner could run it but those that it would avoid. */
  readonly hasNoOther: boolean;
}

/** The needs of a step, and the limits that a placement respects. */
export interface PlacementDemand {
  readonly step: JobStep;
  /** Capacity that one task allocates on a runner. */
  readonly held: Amounts;
  /** Number of tasks of the same step, by runner id. */
  readonly countByRunner: ReadonlyMap<string, number>;
  /** Ids of the runners that may run the step; undefined when any may. */
  readonly approvedIds: ReadonlySet<string> | undefined;
  /** Number of tasks of the same step that the plan places, by zone. */
  readonly countByZone: ReadonlyMap<string, number>;
  /** Absent where the task may go to any runner. */
  readonly trust?: PlacementTrust | undefined;
}

/** Chooses runners for tasks. */
export interface PlacementPolicy {
  /**
   * Chooses the runner of one task.
   *
   * @param candidates - Runners of the pool.
   * @param demand - The demand of the task's step.
   * @returns The runner, or undefined when the task fits on none.
   */
  choose(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
  ): Candidate | undefined;
}

/** Baseline: chooses the first runner on which the task fits. */
export class FirstFitPlacementPolicy implements PlacementPolicy {
  choose(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
  ): Candidate | undefined {
    return candidates.find((candidate) => canTake(candidate, demand));
  }
}

/**
 * Chooses the runner with the highest score.
 *
 * Tasks go to the rack that holds their data, if any, and avoid VMs that await
 * their maintenance and runners that are slow. A probe of a suspect runner that is due goes first.
 * Long-running tasks avoid runners with best-effort tasks and
 * spread over zones. Best-effort tasks avoid
 * runners with latency targets and spread over runners, the emptiest first. All
 * other tasks go to the fullest runner, so that room for large tasks remains.
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

// Each weight exceeds the sum of the lower ones for usual counts, and free
// cores break ties.
const NEAR_DATA_SCORE = 1_000_000;
/** Shows soon whether a suspect runner has recovered. */
const PROBE_SCORE = 500_000;
const SEPARATION_SCORE = 100_000;
/** Of long-running tasks, which would have to move again. */
const LASTING_MAINTENANCE_SCORE = 50_000;
const ZONE_SCORE = 10_000;
const SLOW_SCORE = 5_000;
/** Of other tasks, so that VMs become empty for their maintenance. */
const MAINTENANCE_SCORE = 1_000;
const MILLICORES_PER_POINT = 1_000;

function computeScore(candidate: Candidate, demand: PlacementDemand): number {
  const { step, countByZone } = demand;
  const isNear = step.dataRack !== undefined &&
    candidate.rack === step.dataRack;
  const freePoints = candidate.free.cpuMillicores / MILLICORES_PER_POINT;
  let score = isNear ? NEAR_DATA_SCORE : 0;
  if (candidate.probe !== undefined) {
    score += demand.trust?.hasNoOther ? -PROBE_SCORE : PROBE_SCORE;
  }
  if (demand.trust?.failedOn.includes(candidate.runnerId)) {
    score -= PROBE_SCORE;
  }
  if (candidate.isSlow) {
    score -= SLOW_SCORE;
  }
  if (candidate.awaitsMaintenance) {
    score -= step.isEndless ? LASTING_MAINTENANCE_SCORE : MAINTENANCE_SCORE;
  }
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

/**
 * Tells whether a task can be placed on a runner now.
 *
 * @param candidate - The runner.
 * @param demand - The demand of the task's step.
 * @returns True when the runner is allowed, not reserved and has room.
 */
export function canTake(
  candidate: Candidate,
  demand: PlacementDemand,
): boolean {
  return !candidate.isReserved && isAllowed(candidate, demand) &&
    fitsInto(demand.held, candidate.free);
}

/**
 * Tells whether a runner is allowed for a task, whatever its free capacity.
 *
 * @param candidate - The runner.
 * @param demand - The demand of the task's step.
 * @returns True when trust, label, approval and tasks per runner permit it.
 */
export function isAllowed(
  candidate: Candidate,
  demand: PlacementDemand,
): boolean {
  return isTrustedFor(candidate, demand) && isPermitted(candidate, demand);
}

/**
 * Tells whether the failures of earlier runs permit a task on a runner.
 *
 * @param candidate - The runner.
 * @param demand - The demand of the task's step.
 * @returns False when the task has failed there, or when the runner is suspect
 * and the task is no probe of it; always true when the task has no other runner.
 */
export function isTrustedFor(
  { probe, runnerId }: Candidate,
  { trust }: PlacementDemand,
): boolean {
  if (trust === undefined || trust.hasNoOther) {
    return true;
  }
  const mayProbe = probe === undefined ||
    (probe === "due" && trust.canAffordFailure) ||
    (probe === "overdue" && trust.isFresh);
  return mayProbe && !trust.failedOn.includes(runnerId);
}

/**
 * Tells whether a runner may run a task, whatever has failed there.
 *
 * @param candidate - The runner.
 * @param demand - The demand of the task's step.
 * @returns True when label, approval and tasks per runner permit it.
 */
export function isPermitted(
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
