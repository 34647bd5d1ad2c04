/** Chooses the VMs of a wave whose maintenance begins next. */
import type { RunningTask } from "../../domain/index.ts";
import type { PoolLoad } from "./capacity_policy.ts";
import { MaintenancePace, StepTurns } from "./maintenance_pace.ts";
import { SpareRoom } from "./spare_room.ts";

/** A step that limits how many of its tasks may be unavailable. */
export interface GuardedStep {
  readonly stepId: string;
  /** Number of its tasks that may be unavailable at once. */
  readonly maxAwayCount: number;
}

/** A VM that waits for its maintenance. */
export interface MaintenanceCandidate {
  readonly vm: string;
  readonly pool: string;
  readonly cpuMillicores: number;
  /** Tasks that run on it. */
  readonly running: readonly RunningTask[];
  /** Whether stopping its long-running tasks would exceed a step's limit. */
  readonly isProtected: boolean;
  /**
   * The steps that limit unavailable tasks, one entry for each of their tasks on
   * the VM. VMs with tasks of the same step are maintained one after the other.
   */
  readonly guardedSteps: readonly GuardedStep[];
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
  /** Demand and capacity of the pools. */
  readonly pools: readonly PoolLoad[];
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
 * Least number of VMs whose protected tasks are moved elsewhere at the same time.
 * With more, no VM of a small pool would be left for those tasks.
 */
const MIN_EVACUATED_COUNT = 2;
/**
 * The same for large waves, as a share of the VMs that may be unavailable at
 * once: one by one, their VMs would still have tasks when the wave has to end.
 */
const EVACUATED_SHARE = 0.25;

interface RatedCandidate extends MaintenanceCandidate {
  /** Capacity of the work that would be lost, in millicores. */
  readonly lossMillicores: number;
}

/** State of one plan while it is being made. */
interface PlanState {
  readonly input: MaintenanceInput;
  readonly pace: MaintenancePace;
  readonly room: SpareRoom;
  /** The candidates, those first on which the least is lost. */
  readonly sorted: readonly RatedCandidate[];
  /** Steps whose tasks stop with the VMs that are chosen. */
  readonly turns: StepTurns;
}

/**
 * Begins with the VMs on which the least work would be lost, in the pools with
 * the most room to spare. While the wave has time, it takes no VM that work
 * needs, and waits until a VM runs no work that would be lost.
 */
export class LeastLossMaintenancePolicy implements MaintenancePolicy {
  plan(input: MaintenanceInput): MaintenancePlan {
    const rated = input.candidates.map(rateCandidate);
    const room = new SpareRoom(input.pools, rated);
    const sorted = rated.toSorted((left, right) =>
      left.lossMillicores - right.lossMillicores ||
      right.guardedSteps.length - left.guardedSteps.length ||
      room.find(right.pool) - room.find(left.pool)
    );
    const pace = new MaintenancePace(input);
    const state = { input, pace, room, sorted, turns: new StepTurns() };
    const begin = chooseBegun(state);
    const evacuated = chooseCleared(state);
    // Tasks that were moved away would come back to these VMs.
    const kept = sorted.filter(({ isCordoned, isProtected }) =>
      isCordoned && isProtected
    );
    const emptied = [...new Set([...kept, ...evacuated])];
    const next = chooseNext(state, begin, emptied.length);
    return {
      begin: begin.map(({ vm }) => vm),
      cordon: [...begin, ...next, ...emptied].map(({ vm }) => vm),
      evacuate: evacuated.map(({ vm }) => vm),
    };
  }
}

function chooseBegun(
  { input, pace, room, sorted, turns }: PlanState,
): RatedCandidate[] {
  const { allowedStartCount, maxAwayCount } = input;
  const awayCount = maxAwayCount - allowedStartCount;
  const requiredCount = Math.max(0, pace.requiredAwayCount - awayCount);
  const begin: RatedCandidate[] = [];
  for (const candidate of sorted) {
    const { guardedSteps, isProtected, lossMillicores } = candidate;
    const mayBegin = begin.length < allowedStartCount && !isProtected &&
      (lossMillicores === 0 || pace.isLate(guardedSteps));
    const shouldBegin = begin.length < requiredCount || room.has(candidate) ||
      pace.isUrgent(guardedSteps);
    if (mayBegin && shouldBegin && turns.take(guardedSteps)) {
      room.take(candidate);
      begin.push(candidate);
    }
  }
  return begin;
}

// The VMs that get no new work, so that they are empty when others are back.
function chooseNext(
  { input, pace, room, sorted, turns }: PlanState,
  begin: readonly RatedCandidate[],
  emptiedCount: number,
): RatedCandidate[] {
  const { allowedStartCount, maxAwayCount } = input;
  const open = sorted.filter((candidate) =>
    !candidate.isProtected && !begin.includes(candidate)
  );
  // Nothing comes to an empty VM of a pool with room to spare.
  const staysEmpty = (candidate: RatedCandidate) =>
    candidate.lossMillicores === 0 && room.has(candidate);
  const hasBegun = begin.length > 0 || allowedStartCount < maxAwayCount;
  const requiredCount = Math.max(pace.requiredAwayCount, Number(hasBegun)) -
    open.filter(staysEmpty).length - emptiedCount;
  const roomyCount = allowedStartCount - begin.length - emptiedCount;
  const next: RatedCandidate[] = [];
  for (const candidate of sortCordonedFirst(open)) {
    const { guardedSteps } = candidate;
    const isNeeded = next.length < requiredCount ||
      next.length < roomyCount &&
        (room.has(candidate) || pace.isUrgent(guardedSteps));
    if (!staysEmpty(candidate) && isNeeded && turns.take(guardedSteps)) {
      room.take(candidate);
      next.push(candidate);
    }
  }
  return next;
}

function chooseCleared(
  { input: { maxAwayCount }, pace, room, sorted }: PlanState,
): RatedCandidate[] {
  const maxCount = Math.max(
    MIN_EVACUATED_COUNT,
    Math.floor(maxAwayCount * EVACUATED_SHARE),
  );
  const evacuated: RatedCandidate[] = [];
  for (const candidate of sortCordonedFirst(sorted)) {
    const isNeeded = candidate.isCordoned || pace.requiredAwayCount > 0 ||
      pace.isUrgent(candidate.guardedSteps) || room.has(candidate);
    if (candidate.isProtected && isNeeded && evacuated.length < maxCount) {
      room.take(candidate);
      evacuated.push(candidate);
    }
  }
  return evacuated;
}

function sortCordonedFirst(
  candidates: readonly RatedCandidate[],
): RatedCandidate[] {
  return candidates.toSorted((left, right) =>
    Number(right.isCordoned) - Number(left.isCordoned)
  );
}

// A long-running task loses nothing by a restart. Other work starts again from
// its last checkpoint.
function rateCandidate(candidate: MaintenanceCandidate): RatedCandidate {
  const lossMillicores = candidate.running.reduce(
    (sum, { step }) => sum + (step.isEndless ? 0 : step.needs.cpuMillicores),
    0,
  );
  return { ...candidate, lossMillicores };
}
