/** Chooses the VMs of a wave whose maintenance begins next. */
import type { RunningTask } from "../../domain/index.ts";

/** A VM that waits for its maintenance. */
export interface MaintenanceCandidate {
  readonly vm: string;
  /** Tasks that run on it. */
  readonly running: readonly RunningTask[];
  /** Whether stopping its long-running tasks would exceed a step's limit. */
  readonly isProtected: boolean;
  /**
   * Ids of the steps that limit unavailable tasks, one for each of their tasks
   * on the VM. VMs with tasks of the same step are maintained one after the
   * other.
   */
  readonly guardedSteps: readonly string[];
  /** Whether it gets no new work, because it was in an earlier plan. */
  readonly isCordoned: boolean;
}

/** Input of {@link MaintenancePolicy.plan}: the state of a wave. */
export interface MaintenanceInput {
  readonly candidates: readonly MaintenanceCandidate[];
  /** Number of VMs whose maintenance may begin now. */
  readonly allowedStartCount: number;
  /** Time until the deadline of the wave, in milliseconds. */
  readonly leftMs: number;
  /** Number of VMs that may be unavailable at once. */
  readonly maxAwayCount: number;
}

/** The next actions of a wave, as names of VMs. */
export interface MaintenancePlan {
  /** VMs whose maintenance begins. */
  readonly begin: readonly string[];
  /** VMs that get no new work, so that they become empty. */
  readonly cordon: readonly string[];
  /**
   * VMs whose long-running tasks move elsewhere, within their steps' limits.
   */
  readonly evacuate: readonly string[];
}

/** Chooses VMs for their maintenance. */
export interface MaintenancePolicy {
  /**
   * Plans the next actions of a wave.
   *
   * @param input - The state of the wave.
   */
  plan(input: MaintenanceInput): MaintenancePlan;
}

/**
 * Time from the start of one VM's maintenance to the next one's, in
 * milliseconds: two seconds on the platform, the time until the VM is listed as
 * up again, and the start of its long-running tasks elsewhere.
 */
const MAINTENANCE_TURN_MS = 4_000;

/**
 * Least number of VMs whose protected tasks are moved elsewhere at the same time.
 * With more, no VM of a small pool would be left for those tasks.
 */
const MIN_EVACUATED_COUNT = 2;
/**
 * The same for large waves, as a share of the VMs that may be unavailable at
 * once: one by one, their VMs would still have tasks when the wave has to end.
 */
const EVACUATED_SHARE = 0.25;

/**
 * Begins with the VMs on which the least work would be lost. While the wave is
 * on time, it waits until a VM runs no work that would be lost.
 */
export class LeastLossMaintenancePolicy implements MaintenancePolicy {
  plan(input: MaintenanceInput): MaintenancePlan {
    const { candidates, allowedStartCount, leftMs, maxAwayCount } = input;
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
      .slice(0, allowedStartCount)
      .map(({ vm }) => vm);
    const cordonedFirst = [
      ...sorted.filter(({ isCordoned }) => isCordoned),
      ...sorted.filter(({ isCordoned }) => !isCordoned),
    ];
    const guarded = cordonedFirst.filter(({ isProtected }) => isProtected);
    // Tasks that were moved away would come back to these VMs.
    const kept = guarded.filter(({ isCordoned }) => isCordoned);
    const next = cordonedFirst.filter(({ isProtected }) => !isProtected)
      .slice(0, Math.max(0, allowedStartCount + maxAwayCount - kept.length));
    const evacuated = guarded.slice(
      0,
      Math.max(MIN_EVACUATED_COUNT, Math.floor(maxAwayCount * EVACUATED_SHARE)),
    );
    return {
      begin,
      cordon: [...new Set([...next, ...kept, ...evacuated])]
        .map(({ vm }) => vm),
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

// A long-running task loses nothing by a restart. Other work starts again from
// its last checkpoint.
function computeLoss({ running }: MaintenanceCandidate): number {
  return running.reduce(
    (sum, { step }) => sum + (step.isEndless ? 0 : step.needs.cpuMillicores),
    0,
  );
}
