/** Limits which tasks go to a runner on which runs have failed. */
import { fitsInto, type TaskRecord } from "../../domain/index.ts";
import { HostCapacity } from "./host_capacity.ts";
import {
  type Candidate,
  isPermitted,
  isTrustedFor,
  type PlacementDemand,
  type PlacementTrust,
} from "./placement_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

/**
 * Time for which a task waits for another runner although none but those that it
 * avoids could ever run it, in milliseconds.
 */
export const MAX_AVOIDANCE_MS = 1_000;

/**
 * Tells what one task, or a gang, risks on a runner that may fail it.
 *
 * @param ready - The step.
 * @param tasks - The task, or all members of the gang.
 */
export function createTrust(
  { job, step }: ReadyStep,
  tasks: readonly TaskRecord[],
): PlacementTrust {
  const isFresh = !step.isGang && !step.isEndless &&
    tasks.every(({ failedCount }) => failedCount === 0);
  return {
    failedOn: tasks.flatMap(({ failedOn = [] }) => failedOn),
    isFresh,
    canAffordFailure: isFresh && (job.maxAttempts > 1 || step.allowsCopies),
    hasNoOther: false,
  };
}

/**
 * Tells whether a task that was placed nowhere may go to any runner.
 *
 * @param ready - The step.
 * @param demand - The demand of the task, or of the gang before it is placed.
 * @param candidates - Runners of the pool.
 * @param tasks - The task, or all members of the gang.
 * @param nowMs - Wall-clock time (ms).
 * @returns True when it has waited for {@link MAX_AVOIDANCE_MS}, and only runners
 * that it avoids could run it even if nothing but long-running tasks ran.
 */
export function mustWiden(
  ready: ReadyStep,
  demand: PlacementDemand,
  candidates: readonly Candidate[],
  tasks: readonly TaskRecord[],
  nowMs: number,
): boolean {
  const avoids = (candidate: Candidate) => !isTrustedFor(candidate, demand);
  if (!candidates.some(avoids)) {
    return false;
  }
  const waitedMs = nowMs - findWaitingSinceMs(ready, tasks);
  // A wall clock that was set back must not prolong the wait.
  if (waitedMs >= 0 && waitedMs < MAX_AVOIDANCE_MS) {
    return false;
  }
  const canServe = (candidate: Candidate) =>
    candidate.probe === undefined && !avoids(candidate) &&
    isPermitted(candidate, demand) &&
    fitsInto(demand.held, candidate.attainable);
  if (!ready.step.isGang) {
    return !candidates.some(canServe);
  }
  const others = candidates.filter(canServe)
    .map(({ attainable, labels }) => ({ capacity: attainable, labels }));
  return !new HostCapacity(others).canRun(ready.step);
}

function findWaitingSinceMs(
  { job, occurrence, step }: ReadyStep,
  tasks: readonly TaskRecord[],
): number {
  const earlier = step.dependsOn.flatMap((other) =>
    job.occurrences[occurrence]?.[other]?.tasks ?? []
  );
  return [...tasks, ...earlier].reduce(
    (latestMs, { changedAtMs }) => Math.max(latestMs, changedAtMs),
    Math.max(job.acceptedAtMs, job.findDueMs(occurrence)),
  );
}
