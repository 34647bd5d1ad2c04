/** Time of one plan as runners and waiting tasks grow. */
import { performance } from "node:perf_hooks";
import {
  type Candidate,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartPlanner,
} from "../decisions/index.ts";
import {
  type JobQueue,
  type Runner,
  type SchedulingOperation,
  SchedulingState,
} from "../domain/index.ts";
import type { Random } from "../ports/index.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";

interface Size {
  readonly runnerCount: number;
  readonly taskCount: number;
}

const SIZES: readonly Size[] = [
  { runnerCount: 40, taskCount: 200 },
  { runnerCount: 250, taskCount: 2_000 },
  { runnerCount: 2_500, taskCount: 20_000 },
];
const POOL_COUNT = 4;
const TEAM_COUNT = 20;
const TASKS_PER_JOB = 8;
const PLAN_COUNT = 20;
const QUICK_PLAN_COUNT = 5;
const RUNNER_MILLICORES = 64_000;
const MAX_TASK_MILLICORES = 8_000;
const MAX_ESTIMATE_MS = 3_000;
const NOW_MS = 10_000;

/** How the time of a plan grows with the fleet and with what waits. */
export class SchedulingMeasurement implements Measurement {
  readonly name = "scheduling";
  readonly summary = "time of one plan, 40 to 2,500 runners, in process";
  // Against n log n, with n the runners and the waiting tasks together.
  readonly targets = [
    { field: "growthRatio", bound: "atMost", value: 1 },
  ] as const;

  run(context: MeasurementContext): Promise<Outcome> {
    const results = SIZES.map((size) => {
      const planMs = measurePlan(size, context);
      context.report(`${size.runnerCount} runners: ${planMs.toFixed(1)} ms`);
      return { ...size, planMs };
    });
    const first = results[0];
    const last = results.at(-1);
    const growthRatio = first === undefined || last === undefined
      ? Infinity
      : (last.planMs / first.planMs) / (weigh(last) / weigh(first));
    return Promise.resolve({
      figures: {
        growthRatio,
        ...Object.fromEntries(results.map(({ runnerCount, planMs }) => [
          `planP50Ms${runnerCount}`,
          planMs,
        ])),
      },
      plots: [{
        title: "p50 of one plan",
        xLabel: "runners and waiting tasks",
        yLabel: "milliseconds",
        series: [{
          label: "start planner",
          points: results.map((result) => [countAll(result), result.planMs]),
        }],
      }],
    });
  }
}

function countAll({ runnerCount, taskCount }: Size): number {
  return runnerCount + taskCount;
}

function weigh(size: Size): number {
  return countAll(size) * Math.log2(countAll(size));
}

function measurePlan(size: Size, context: MeasurementContext): number {
  const state = createState(size, context.random);
  const planner = new StartPlanner({
    order: new SlackOrderPolicy(),
    placement: new ScoredPlacementPolicy(),
  });
  const histogram = new LatencyHistogram();
  const planCount = context.quick ? QUICK_PLAN_COUNT : PLAN_COUNT;
  for (let at = 0; at < planCount; at += 1) {
    const candidates = listCandidates(state);
    const startedAtMs = performance.now();
    planner.plan({
      state,
      candidates,
      findApproved: () => undefined,
      nowMs: NOW_MS,
    });
    histogram.record(performance.now() - startedAtMs);
  }
  return histogram.percentileMs(50);
}

function createState(
  { runnerCount, taskCount }: Size,
  random: Random,
): SchedulingState {
  const state = new SchedulingState();
  const apply = (operations: SchedulingOperation[]) =>
    state.apply({ type: "scheduling", atMs: 0, operations });
  apply([{
    type: "catalog",
    catalog: {
      version: 1,
      queues: listIndexes(POOL_COUNT).map(createQueue),
      pools: listIndexes(POOL_COUNT).map((at) => ({
        name: `pool-${at}`,
        isStandby: false,
        guardsCapacity: false,
      })),
      teams: listIndexes(TEAM_COUNT).map((at) => ({
        name: `team-${at}`,
        keys: [],
        priority: 0,
        weight: 1,
        limit: { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 },
      })),
      source: "",
    },
  }]);
  apply(
    listIndexes(runnerCount).map((at) => ({
      type: "runner",
      runner: createRunner(at),
    })),
  );
  apply(
    listIndexes(taskCount / TASKS_PER_JOB).map((at) => createJob(at, random)),
  );
  return state;
}

function listIndexes(count: number): number[] {
  return Array.from({ length: count }, (_, at) => at);
}

function createQueue(at: number): JobQueue {
  return {
    name: `queue-${at}`,
    host: "h",
    pathPrefix: `/${at}/`,
    pool: `pool-${at}`,
    isPublic: false,
    priority: 0,
    maxAttempts: 2,
    timeoutMs: 3_000,
    stretch: 1.6,
    targetLatencyMs: 600,
  };
}

function createRunner(at: number): Runner {
  const rack = `rack-${Math.floor(at / (4 * POOL_COUNT))}`;
  return {
    runnerId: `runner-${at}`,
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: `pool-${at % POOL_COUNT}`,
    zone: `zone-${at % 3}`,
    capacity: {
      cpuMillicores: RUNNER_MILLICORES,
      memoryMb: 262_144,
      gpuCount: 0,
    },
    rack,
    labels: ["a", rack],
    isDraining: false,
  };
}

function createJob(at: number, random: Random): SchedulingOperation {
  return {
    type: "accept",
    spec: {
      jobId: at.toString(16).padStart(16, "0"),
      text: "",
      steps: [{
        taskCount: TASKS_PER_JOB,
        needs: {
          cpuMillicores: 1 + random.nextInt(MAX_TASK_MILLICORES),
          memoryMb: 1_000,
          gpuCount: 0,
        },
        estimateMs: 100 + random.nextInt(MAX_ESTIMATE_MS),
        dependsOn: [],
        savesProgress: false,
        isGang: false,
        wantsOneRack: false,
        maxPerRunner: 0,
        allowsCopies: false,
        isEndless: false,
        image: "",
        tailTargetMs: 0,
        usesLeftovers: false,
      }],
    },
    queue: `queue-${at % POOL_COUNT}`,
    pool: `pool-${at % POOL_COUNT}`,
    team: `team-${at % TEAM_COUNT}`,
    maxAttempts: 2,
  };
}

function listCandidates(
  state: SchedulingState,
): Map<string, Candidate[]> {
  const byPool = new Map<string, Candidate[]>();
  for (const runner of state.runners.values()) {
    const pool = byPool.get(runner.pool) ?? [];
    byPool.set(runner.pool, pool);
    pool.push({
      ...runner,
      free: { ...runner.capacity },
      latencyTargetCount: 0,
      bestEffortCount: 0,
      isReserved: false,
    });
  }
  return byPool;
}
