/** Explains why the tasks of a step wait. */
import {
  addAmounts,
  findPoolOfJob,
  fitsInto,
  indexTeams,
  isWithinLimit,
  type JobRecord,
  type Runner,
  type SchedulingState,
} from "../../domain/index.ts";

/** Input of {@link findWaitReason}: a step and the present state. */
export interface WaitReasonInput {
  readonly state: SchedulingState;
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly stepIndex: number;
  /** Tells whether a runner may get work now. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
  /** Explains why the step comes behind others; undefined when it does not. */
  readonly findDelayReason?: () => string | undefined;
  /** Wall-clock time, in milliseconds. */
  readonly nowMs: number;
}

/**
 * Finds why the waiting tasks of a step do not run yet.
 *
 * @param input - The step and the present state.
 * @returns A clause that names the limit, dependency or lack of capacity.
 */
export function findWaitReason(input: WaitReasonInput): string {
  const { job, occurrence, stepIndex, nowMs } = input;
  const step = job.spec.steps[stepIndex];
  if (step === undefined) {
    return "the job has no such step";
  }
  const dueMs = job.findDueMs(occurrence);
  if (dueMs > nowMs) {
    return `it is due in ${Math.round(dueMs - nowMs)} ms`;
  }
  if (!job.isUnblocked(occurrence, stepIndex)) {
    return `it waits for step ${step.dependsOn.join(", ")}`;
  }
  return findLimitReason(input) ?? findOrderReason(input) ??
    findCapacityReason(input) ?? "the next plan places it";
}

function findLimitReason(
  { state, job, stepIndex }: WaitReasonInput,
): string | undefined {
  const teamId = job.team ?? "";
  const team = indexTeams(state.catalog).byId.get(teamId);
  const needs = job.spec.steps[stepIndex]?.needs;
  if (team === undefined || needs === undefined) {
    return undefined;
  }
  const used = state.jobs.findUsedByTeam(teamId);
  return isWithinLimit(addAmounts(used, needs), team.limit)
    ? undefined
    : `team/${teamId} has ${used.cpuMillicores} of ${team.limit.cpuMillicores} millicores and ${used.memoryMb} of ${team.limit.memoryMb} MB running (catalog ${state.catalog.version})`;
}

// A step that no open runner can hold waits for that, whatever its place.
function findOrderReason(input: WaitReasonInput): string | undefined {
  const { state, job, stepIndex, mayPlaceOn } = input;
  const step = job.spec.steps[stepIndex];
  const pool = findPoolOfJob(state.catalog, job);
  const isPossible = step !== undefined &&
    [...state.runners.values()].some((runner) =>
      runner.pool === pool && mayPlaceOn(runner) &&
      fitsInto(step.needs, runner.capacity) &&
      (step.requiredLabel === undefined ||
        runner.labels.includes(step.requiredLabel))
    );
  return isPossible ? input.findDelayReason?.() : undefined;
}

function findCapacityReason(input: WaitReasonInput): string | undefined {
  const { state, job, stepIndex, mayPlaceOn } = input;
  const step = job.spec.steps[stepIndex];
  const pool = findPoolOfJob(state.catalog, job);
  const members = [...state.runners.values()].filter((runner) =>
    runner.pool === pool
  );
  const open = members.filter(mayPlaceOn);
  if (step === undefined || open.length === 0) {
    return `none of the ${members.length} runners of ${pool} may get work (draining, silent, out of service or about to move)`;
  }
  const { requiredLabel } = step;
  const fitting = open.filter(({ labels }) =>
    requiredLabel === undefined || labels.includes(requiredLabel)
  );
  if (fitting.length === 0) {
    return `no runner of ${pool} has the label ${requiredLabel}`;
  }
  const isRoom = fitting.some((runner) => {
    const { used } = state.jobs.findLoad(runner);
    return fitsInto(step.needs, addAmounts(runner.capacity, used, -1));
  });
  if (isRoom) {
    return undefined;
  }
  const isLargeEnough = fitting.some(({ capacity }) =>
    fitsInto(step.needs, capacity)
  );
  const addition = isLargeEnough ? "" : ", nor is any of them large enough";
  return `none of ${fitting.length} open runners of ${pool} has ${step.needs.cpuMillicores} millicores and ${step.needs.memoryMb} MB free${addition}`;
}
