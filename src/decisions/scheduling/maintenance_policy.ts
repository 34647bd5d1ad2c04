/** Which VM of a wave has its upkeep next. */
import type { RunningTask } from "../../domain/index.ts";

/** A VM that waits for its upkeep. */
export interface MaintenanceCandidate {
  readonly vm: string;
  /** What runs on it. */
  readonly running: readonly RunningTask[];
  /** Whether ending its endless tasks would take too many of a step away. */
  readonly isProtected: boolean;
  /** Steps of which few tasks may be away: their VMs go one after the other. */
  readonly guardedSteps: readonly string[];
}

/** The state of a wave. */
export interface MaintenanceInput {
  readonly candidates: readonly MaintenanceCandidate[];
  /** VMs that may go away now. */
  readonly allowedStartCount: number;
  /** Time left for all of them, in milliseconds. */
  readonly leftMs: number;
  /** VMs that may be away at once. */
  readonly maxAwayCount: number;
}

/** What to do about a wave now. */
export interface MaintenancePlan {
  /** VMs whose upkeep begins. */
  readonly begin: readonly string[];
  /** VMs that get no new work, so that they run empty. */
  readonly cordon: readonly string[];
  /** VMs whose endless tasks move elsewhere, as many at once as may be away. */
  readonly evacuate: readonly string[];
}

/** Chooses VMs for their upkeep. */
export interface MaintenancePolicy {
  /** Plans the next steps of a wave. */
  plan(input: MaintenanceInput): MaintenancePlan;
}

/**
 * How long the upkeep of one VM takes until the next may begin, in
 * milliseconds: the platform's two seconds, the time to see the VM again, and
 * the start of its endless tasks elsewhere.
 */
const MAINTENANCE_TURN_MS = 4_000;

/**
 * VMs that are emptied of guarded tasks at a time: more would leave no VM for
 * those tasks to go to.
 */
const MAX_EVACUATED_COUNT = 2;

/**
 * Begins with the VMs on which the least work is lost, and waits for a VM to
 * run empty as long as the wave is ahead of its time.
 */
export class LeastLossMaintenancePolicy implements MaintenancePolicy {
  plan(input: MaintenanceInput): MaintenancePlan {
    const { candidates, allowedStartCount: freeCount, leftMs, maxAwayCount } =
      input;
    const sorted = candidates
      .map((candidate) => ({ ...candidate, loss: computeLoss(candidate) }))
      .toSorted((left, right) =>
        left.loss - right.loss ||
        right.guardedSteps.length - left.guardedSteps.length
      );
    const turnCount = Math.max(
      Math.ceil(candidates.length / maxAwayCount),
      countLongestSequence(candidates),
    );
    const isLate = leftMs < turnCount * MAINTENANCE_TURN_MS;
    const begin = sorted
      .filter(({ isProtected, loss }) => !isProtected && (isLate || loss === 0))
      .slice(0, freeCount)
      .map(({ vm }) => vm);
    const next = sorted.filter(({ isProtected }) => !isProtected)
      .slice(0, freeCount + maxAwayCount);
    const evacuated = sorted.filter(({ isProtected }) => isProtected)
      .slice(0, MAX_EVACUATED_COUNT);
    return {
      begin,
      cordon: [...next, ...evacuated].map(({ vm }) => vm),
      evacuate: evacuated.map(({ vm }) => vm),
    };
  }
}

function countLongestSequence(
  candidates: readonly MaintenanceCandidate[],
): number {
  const counts = new Map<string, number>();
  for (const step of candidates.flatMap(({ guardedSteps }) => guardedSteps)) {
    counts.set(step, (counts.get(step) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values());
}

// Endless tasks lose nothing but a restart; other work starts again from what
// it has saved.
function computeLoss({ running }: MaintenanceCandidate): number {
  return running.reduce(
    (sum, { step }) => sum + (step.isEndless ? 0 : step.needs.cpuMillicores),
    0,
  );
}
