/** Orders the waiting steps of a pool that has too little room for them. */
import { computeReservedAmounts, type JobTeam } from "../../domain/index.ts";
import { LONG_WAIT_MS, type PoolRoom } from "./fleet_room.ts";
import { SLACK_RANKS, type SlackRankedStep } from "./order_policy.ts";
import type { ReadyStep } from "./ready_step.ts";
import type { Backlog, FullPool, RankedStep, RoomPlace } from "./room_order.ts";
import { computeTeamShares } from "./team_shares.ts";

/** Share of a pool that occurrences get which have waited for long. */
export const LONG_WAIT_SHARE = 0.05;
/**
 * Factor of the target time of a job after which its result is of no use to its
 * caller, as the pages of the platform's users say.
 */
export const USEFUL_TIME_FACTOR = 3;
/** Share of a pool's CPU that tasks of various sizes fill. */
const FILLED_SHARE = 0.9;

/** Input of {@link rankFullPool}. */
export interface FullPoolInput {
  /** The waiting steps of the pool in the order of slack. */
  readonly steps: readonly SlackRankedStep[];
  readonly room: PoolRoom;
  /** The teams of the catalog, by id. */
  readonly teams: ReadonlyMap<string, JobTeam>;
  /** Finds how much longer than estimated the runs of a queue take (ms). */
  readonly findDelayMs: (queue: string) => number;
  /** Wall-clock time (ms). */
  readonly nowMs: number;
}

/** The groups of the waiting steps of a full pool. */
export interface RankedPool {
  /** In the order of the input. */
  readonly ranked: readonly RankedStep[];
  readonly full: FullPool;
}

/** A step that can end in time, with what its delay would cost. */
interface Contender {
  readonly index: number;
  readonly isBeyondShare: boolean;
  /** Priority of the queue, then of the team; 0 is the highest. */
  readonly priorities: readonly [number, number];
  /** Work of the tasks that wait (millicore-ms). */
  readonly work: number;
  /** Work left of the occurrence (millicore-ms). */
  readonly totalWork: number;
}

/**
 * Assigns each step of a full pool to a group.
 *
 * @param input - Steps, room and teams.
 * @returns The groups, and the sums that rejections and log lines rely on.
 */
export function rankFullPool(input: FullPoolInput): RankedPool {
  const { steps, room, teams } = input;
  const shareByTeam = computeTeamShares({
    capacityMillicores: room.capacityMillicores,
    demandByTeam: sumDemand(input),
    teams,
  });
  const used = new Map(room.usedByTeam);
  const isBeyondShare = steps.map(({ step }) =>
    addUse(step, used, shareByTeam)
  );
  const delayed = findDelayed(input, isBeyondShare);
  const longWaits = findLongWaits(input);
  // While all can end in time, shares would only make some of them late.
  const isScarce = delayed.size > 0;
  const ranked = steps.map((entry, index): RankedStep => {
    const isBeyond = isScarce && (isBeyondShare[index] ?? false);
    return {
      step: entry.step,
      isBeyondShare: isBeyond,
      place: longWaits.has(index)
        ? "longWait"
        : findPlace(entry, isBeyond, delayed.has(index), input.nowMs),
    };
  });
  return { ranked, full: { ...sumBacklogs(input, ranked), shareByTeam } };
}

function findPlace(
  { step, rank }: SlackRankedStep,
  isBeyondShare: boolean,
  isDelayed: boolean,
  nowMs: number,
): RoomPlace {
  switch (rank) {
    case SLACK_RANKS.longRunning:
      return "longRunning";
    case SLACK_RANKS.late:
      return isUseful(step, nowMs) ? "late" : "useless";
    case SLACK_RANKS.inTime:
      return isDelayed ? "leastCost" : isBeyondShare ? "beyondShare" : "inTime";
  }
}

function isUseful(ready: ReadyStep, nowMs: number): boolean {
  const { criticalPathMs, job, occurrence, targetEndMs } = ready;
  const dueMs = job.findDueMs(occurrence);
  const usefulMs = dueMs + USEFUL_TIME_FACTOR * (targetEndMs - dueMs);
  return nowMs + criticalPathMs <= usefulMs;
}

// A step may exceed the share by the part that does not fit into it: the share
// of a small team is less than one step.
function addUse(
  { job, record, step }: ReadyStep,
  used: Map<string, number>,
  shareByTeam: ReadonlyMap<string, number>,
): boolean {
  const share = job.team === undefined ? undefined : shareByTeam.get(job.team);
  if (job.team === undefined || share === undefined) {
    return false;
  }
  const before = used.get(job.team) ?? 0;
  const needs = record.waitingCount *
    computeReservedAmounts(step).cpuMillicores;
  used.set(job.team, before + needs);
  return before >= share;
}

function sumDemand({ steps, room }: FullPoolInput): Map<string, number> {
  const demandByTeam = new Map(room.usedByTeam);
  for (const { step: { job, record, step }, rank } of steps) {
    if (job.team !== undefined && rank !== SLACK_RANKS.late) {
      const needs = record.waitingCount *
        computeReservedAmounts(step).cpuMillicores;
      demandByTeam.set(job.team, (demandByTeam.get(job.team) ?? 0) + needs);
    }
  }
  return demandByTeam;
}

// Takes steps by their latest start. When the work taken exceeds what the pool
// can begin until then, the step is delayed whose delay costs callers least.
function findDelayed(
  input: FullPoolInput,
  isBeyondShare: readonly boolean[],
): Set<number> {
  const { steps, room } = input;
  const capacity = room.capacityMillicores * FILLED_SHARE;
  const free = Math.max(0, room.freeMillicores - sumLongRunning(steps));
  const delayed = new Set<number>();
  const kept: Contender[] = [];
  let keptWork = 0;
  steps.forEach(({ step, rank, slackMs }, index) => {
    if (rank !== SLACK_RANKS.inTime) {
      return;
    }
    const contender = createContender(input, step, index, isBeyondShare);
    insertByCost(kept, contender);
    keptWork += contender.work;
    const limit = free * findTaskMs(step, input) + capacity * slackMs;
    while (keptWork > limit) {
      const cheapest = kept.pop();
      if (cheapest === undefined) {
        return;
      }
      keptWork -= cheapest.work;
      delayed.add(cheapest.index);
    }
  });
  return delayed;
}

function sumLongRunning(steps: readonly SlackRankedStep[]): number {
  return steps.reduce(
    (sum, { step: { record, step }, rank }) =>
      rank === SLACK_RANKS.longRunning
        ? sum + record.waitingCount * computeReservedAmounts(step).cpuMillicores
        : sum,
    0,
  );
}

function createContender(
  input: FullPoolInput,
  ready: ReadyStep,
  index: number,
  isBeyondShare: readonly boolean[],
): Contender {
  const { job, priority } = ready;
  const team = job.team === undefined ? undefined : input.teams.get(job.team);
  return {
    index,
    isBeyondShare: isBeyondShare[index] ?? false,
    priorities: [priority, team?.priority ?? 0],
    work: computeWork(ready, input),
    totalWork: computeTotalWork(ready),
  };
}

function insertByCost(kept: Contender[], contender: Contender): void {
  let low = 0;
  let high = kept.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = kept[middle];
    if (other !== undefined && compareCost(other, contender) <= 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  kept.splice(low, 0, contender);
}

// The step whose delay costs least comes last.
function compareCost(left: Contender, right: Contender): number {
  return Number(left.isBeyondShare) - Number(right.isBeyondShare) ||
    left.priorities[0] - right.priorities[0] ||
    left.priorities[1] - right.priorities[1] ||
    left.totalWork - right.totalWork;
}

function computeWork(ready: ReadyStep, input: FullPoolInput): number {
  const { record, step } = ready;
  return record.waitingCount * findTaskMs(ready, input) *
    computeReservedAmounts(step).cpuMillicores;
}

function findTaskMs({ job, step }: ReadyStep, input: FullPoolInput): number {
  return Math.max(1, step.estimateMs + input.findDelayMs(job.queueKey));
}

function computeTotalWork({ job, occurrence }: ReadyStep): number {
  const records = job.occurrences[occurrence] ?? [];
  return records.reduce((sum, { tasks, doneCount }, index) => {
    const step = job.spec.steps[index];
    return step === undefined ? sum : sum +
      (tasks.length - doneCount) * step.estimateMs *
        computeReservedAmounts(step).cpuMillicores;
  }, 0);
}

function findLongWaits({ steps, room, nowMs }: FullPoolInput): Set<number> {
  const found = new Set<number>();
  let leftMillicores = room.capacityMillicores * LONG_WAIT_SHARE -
    room.longWaitMillicores;
  // From the end, where the steps are that missed their target by most.
  for (const [index, { step: ready, rank }] of [...steps.entries()].reverse()) {
    const { job, occurrence, record, step } = ready;
    const waitMs = nowMs - job.findDueMs(occurrence);
    if (
      rank === SLACK_RANKS.late && waitMs > LONG_WAIT_MS && leftMillicores > 0
    ) {
      found.add(index);
      leftMillicores -= record.waitingCount *
        computeReservedAmounts(step).cpuMillicores;
    }
  }
  return found;
}

function sumBacklogs(
  input: FullPoolInput,
  ranked: readonly RankedStep[],
): Omit<FullPool, "shareByTeam"> {
  const { capacityMillicores, freeMillicores } = input.room;
  const stepCounts = new Map<RoomPlace, number>();
  const backlogByTeam = new Map<string, Backlog>();
  let backlog: Backlog = { inTime: 0, useful: 0 };
  let waitingMillicores = 0;
  ranked.forEach(({ step, place, isBeyondShare }, index) => {
    stepCounts.set(place, (stepCounts.get(place) ?? 0) + 1);
    waitingMillicores += step.record.waitingCount *
      computeReservedAmounts(step.step).cpuMillicores;
    if (place === "longRunning" || place === "useless") {
      return;
    }
    const work = computeWork(step, input);
    const isInTime = input.steps[index]?.rank === SLACK_RANKS.inTime;
    const add = ({ inTime, useful }: Backlog): Backlog => ({
      inTime: inTime + (isInTime ? work : 0),
      useful: useful + work,
    });
    backlog = isBeyondShare ? backlog : add(backlog);
    const { team } = step.job;
    if (team !== undefined) {
      const before = backlogByTeam.get(team) ?? { inTime: 0, useful: 0 };
      backlogByTeam.set(team, add(before));
    }
  });
  return {
    capacityMillicores,
    freeMillicores,
    waitingMillicores,
    backlog,
    backlogByTeam,
    stepCounts,
  };
}
