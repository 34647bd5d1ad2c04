/** A simulated pool with more work than room, for tests of orders. */
import * as v from "valibot";
import {
  type FleetRoom,
  LONG_WAIT_MS,
  type OrderPolicy,
  type ReadyStep,
} from "../decisions/index.ts";
import { JobRecord, jobStepSchema, type JobTeam } from "../domain/index.ts";

/** Pool of the steps of {@link createWaitingStep}. */
export const CROWDED_POOL = "bay";
const TICK_MS = 20;
let createdCount = 0;

/** Properties of a job with one step. */
export interface WaitingStepOptions {
  readonly dueMs: number;
  readonly team?: string | undefined;
  readonly taskCount?: number;
  readonly cores?: number;
  readonly estimateMs?: number;
  /** Time of the target beyond the estimate (ms). */
  readonly slackMs?: number;
  readonly priority?: number;
  readonly isEndless?: boolean;
}

/** Creates a step that waits; its job has no other one. */
export function createWaitingStep(options: WaitingStepOptions): ReadyStep {
  const { dueMs, cores = 1, estimateMs = 1_000, slackMs = 1_000 } = options;
  const step = v.parse(jobStepSchema, {
    taskCount: options.taskCount ?? 1,
    needs: { cpuMillicores: cores * 1_000 },
    estimateMs,
    isEndless: options.isEndless ?? false,
  });
  createdCount += 1;
  const jobId = createdCount.toString(16).padStart(16, "0");
  const job = new JobRecord({
    spec: { jobId, text: "", steps: [step] },
    queue: "q",
    pool: CROWDED_POOL,
    team: options.team,
    maxAttempts: 1,
    acceptedAtMs: dueMs,
  });
  const record = job.occurrences[0]?.[0];
  if (record === undefined) {
    throw new Error("the job has no step");
  }
  return {
    job,
    occurrence: 0,
    stepIndex: 0,
    step,
    record,
    pool: CROWDED_POOL,
    priority: options.priority ?? 0,
    advice: undefined,
    targetEndMs: dueMs + estimateMs + slackMs,
    criticalPathMs: estimateMs,
    criticalStepCount: 1,
  };
}

/** Creates a team with a weight. */
export function createTeam(
  name: string,
  weight: number,
  priority = 0,
): JobTeam {
  const limit = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };
  return { name, keys: [], priority, weight, limit };
}

/** Properties of {@link createRoom}; the whole pool is free by default. */
export interface RoomOptions {
  readonly cores: number;
  readonly freeCores?: number;
  readonly usedCoresByTeam?: Readonly<Record<string, number>>;
  readonly longWaitCores?: number;
  readonly teams?: readonly JobTeam[];
}

/** Creates the room of a fleet with one pool. */
export function createRoom(options: RoomOptions): FleetRoom {
  const used = Object.entries(options.usedCoresByTeam ?? {});
  const usedCores = used.reduce((sum, [, cores]) => sum + cores, 0);
  return {
    pools: new Map([[CROWDED_POOL, {
      capacityMillicores: options.cores * 1_000,
      freeMillicores: (options.freeCores ?? options.cores - usedCores) * 1_000,
      usedByTeam: new Map(used.map(([team, cores]) => [team, cores * 1_000])),
      longWaitMillicores: (options.longWaitCores ?? 0) * 1_000,
    }]]),
    teams: new Map((options.teams ?? []).map((team) => [team.name, team])),
  };
}

/** Input of {@link playCrowdedPool}. */
export interface CrowdedPoolInput {
  readonly policy: OrderPolicy;
  readonly cores: number;
  readonly teams?: readonly JobTeam[];
  /** Steps that arrive, by their due time. */
  readonly arrivals: readonly ReadyStep[];
  readonly untilMs: number;
  /** Real duration of the tasks of a step (ms); the estimate by default. */
  readonly findRunMs?: (step: ReadyStep) => number;
}

interface Run {
  readonly step: ReadyStep;
  readonly endMs: number;
}

/**
 * Plays a pool in which tasks start in the order of a policy wherever they fit.
 *
 * @param input - Policy, room and steps.
 * @returns The time at which each step ended (ms); without those that did not.
 */
export function playCrowdedPool(
  { policy, cores, teams = [], arrivals, untilMs, findRunMs }: CrowdedPoolInput,
): Map<ReadyStep, number> {
  const endsMs = new Map<ReadyStep, number>();
  let running: Run[] = [];
  for (let nowMs = 0; nowMs <= untilMs; nowMs += TICK_MS) {
    for (const { step } of running.filter(({ endMs }) => endMs <= nowMs)) {
      step.record.doneCount += 1;
      if (step.record.doneCount === step.record.tasks.length) {
        endsMs.set(step, nowMs);
      }
    }
    running = running.filter(({ endMs }) => endMs > nowMs);
    const waiting = arrivals.filter(({ job, record }) =>
      job.acceptedAtMs <= nowMs && record.waitingCount > 0
    );
    let freeCores = cores - sumCores(running.map(({ step }) => step));
    const room = createRoom({
      cores,
      freeCores,
      teams,
      usedCoresByTeam: sumByTeam(running),
      longWaitCores: sumCores(
        running.map(({ step }) => step).filter(({ job }) =>
          nowMs - job.acceptedAtMs > LONG_WAIT_MS
        ),
      ),
    });
    for (const step of policy.sort(waiting, nowMs, room)) {
      const taskCores = step.step.needs.cpuMillicores / 1_000;
      while (step.record.waitingCount > 0 && taskCores <= freeCores) {
        step.record.waitingCount -= 1;
        freeCores -= taskCores;
        const runMs = findRunMs?.(step) ?? step.step.estimateMs;
        running.push({ step, endMs: nowMs + runMs });
      }
    }
  }
  return endsMs;
}

function sumCores(steps: readonly ReadyStep[]): number {
  return steps.reduce(
    (sum, { step }) => sum + step.needs.cpuMillicores / 1_000,
    0,
  );
}

function sumByTeam(running: readonly Run[]): Record<string, number> {
  const byTeam: Record<string, number> = {};
  for (const { step: { job, step } } of running) {
    const team = job.team ?? "";
    byTeam[team] = (byTeam[team] ?? 0) + step.needs.cpuMillicores / 1_000;
  }
  return byTeam;
}
