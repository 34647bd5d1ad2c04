/** Computes how fast a wave has to go on to be complete in time. */
import type { GuardedStep, MaintenanceInput } from "./maintenance_policy.ts";

/**
 * Time from the start of one VM's maintenance to the next one's, in
 * milliseconds: two seconds on the platform, the time until the VM is listed as
 * up again, and the start of its long-running tasks elsewhere.
 */
const MAINTENANCE_TURN_MS = 4_000;
/**
 * Time before the deadline by which a wave aims to be complete, in milliseconds:
 * a change of leader and one more turn.
 */
const DEADLINE_MARGIN_MS = 6_000;
/**
 * Share of the fastest pace from which a wave no longer waits for room. Orders
 * may be refused and leaders may change, so the fastest pace cannot be kept.
 */
const LEAST_URGENT_PACE = 0.5;

/** The pace of a wave, and of the steps whose tasks its VMs run. */
export class MaintenancePace {
  /** VMs of which the pace requires that they are unavailable now. */
  readonly requiredAwayCount: number;
  readonly #input: MaintenanceInput;
  readonly #turnCount: number;
  readonly #turnCountByStep: ReadonlyMap<string, number>;

  /** @param input - The state of the wave. */
  constructor(input: MaintenanceInput) {
    const { candidates, maxAwayCount } = input;
    this.#input = input;
    this.#turnCount = Math.ceil(candidates.length / maxAwayCount);
    this.#turnCountByStep = countTurnsByStep(input);
    const pace = this.#computePace(candidates.length / maxAwayCount);
    this.requiredAwayCount = pace < LEAST_URGENT_PACE
      ? 0
      : Math.ceil(Math.min(1, pace) * maxAwayCount);
  }

  /** Returns whether a VM has to go now, since others have to follow it. */
  isUrgent(steps: readonly GuardedStep[]): boolean {
    return this.#computePace(this.#countTurns(steps)) >= LEAST_URGENT_PACE;
  }

  /** Returns whether there is no time left until a VM runs no other work. */
  isLate(steps: readonly GuardedStep[]): boolean {
    const turnCount = Math.max(this.#turnCount, this.#countTurns(steps));
    return this.#input.leftMs < turnCount * MAINTENANCE_TURN_MS;
  }

  // Returns 1 when each turn has to follow the one before at once.
  #computePace(turnCount: number): number {
    const timeMs = Math.max(1, this.#input.leftMs - DEADLINE_MARGIN_MS);
    return turnCount * MAINTENANCE_TURN_MS / timeMs;
  }

  #countTurns(steps: readonly GuardedStep[]): number {
    return Math.max(
      0,
      ...steps.map(({ stepId }) => this.#turnCountByStep.get(stepId) ?? 0),
    );
  }
}

// VMs with tasks of the same step are maintained few at a time.
function countTurnsByStep(
  { candidates }: MaintenanceInput,
): ReadonlyMap<string, number> {
  const taskCounts = new Map<string, number>();
  const turnCounts = new Map<string, number>();
  const steps = candidates.flatMap(({ guardedSteps }) => guardedSteps);
  for (const { maxAwayCount, stepId } of steps) {
    const taskCount = (taskCounts.get(stepId) ?? 0) + 1;
    taskCounts.set(stepId, taskCount);
    turnCounts.set(stepId, Math.ceil(taskCount / Math.max(1, maxAwayCount)));
  }
  return turnCounts;
}

/** Limits the VMs that are chosen together to what their steps allow. */
export class StepTurns {
  readonly #taskCounts = new Map<string, number>();

  /**
   * Takes a VM, if each of its steps may have its tasks unavailable beside those
   * of the VMs taken before.
   *
   * @param steps - One entry for each task of a guarded step on the VM.
   * @returns Whether the VM was taken.
   */
  take(steps: readonly GuardedStep[]): boolean {
    const counts = new Map<string, number>();
    for (const { stepId } of steps) {
      const before = counts.get(stepId) ?? this.#taskCounts.get(stepId) ?? 0;
      counts.set(stepId, before + 1);
    }
    const isAllowed = steps.every(({ maxAwayCount, stepId }) =>
      (counts.get(stepId) ?? 0) <= maxAwayCount
    );
    if (isAllowed) {
      counts.forEach((count, stepId) => this.#taskCounts.set(stepId, count));
    }
    return isAllowed;
  }
}
