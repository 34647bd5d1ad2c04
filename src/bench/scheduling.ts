/** Measures planning time by numbers of runners and waiting tasks. */
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

interface FleetSize {
  readonly runnerCount: number;
  readonly taskCount: number;
}

const SIZES: readonly FleetSize[] = [
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

/** Measures how planning time grows with runners and waiting tasks. */
export class SchedulingMeasurement implements Measurement {
  readonly name = "scheduling";
  readonly summary = "time of one plan, 40 to 2,500 runners, in process";
  // Growth relative to n log n, where n counts runners and waiting tasks together.
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
      : (last.planMs / first.planMs) /
        (computeNLogN(last) / computeNLogN(first));
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
          points: results.map((
            result,
          ) => [countRunnersAndTasks(result), result.planMs]),
        }],
      }],
    });
  }
}

function countRunnersAndTasks({ runnerCount, taskCount }: FleetSize): number {
  return runnerCount + taskCount;
}

function computeNLogN(size: FleetSize): number {
  return countRunnersAndTasks(size) * Math.log2(countRunnersAndTasks(size));
}

function measurePlan(size: FleetSize, context: MeasurementContext): number {
  const state = createState(size, context.random);
  const planner = new StartPlanner({
    order: new SlackOrderPolicy(),
    placement: new ScoredPlacementPolicy(),
  });
  const histogram = new LatencyHistogram();
  const planCount = context.quick ? QUICK_PLAN_COUNT : PLAN_COUNT;
  for (let index = 0; index < planCount; index += 1) {
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
  { runnerCount, taskCount }: FleetSize,
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
      pools: listIndexes(POOL_COUNT).map((index) => ({
        name: `pool-${index}`,
        isStandby: false,
        guardsCapacity: false,
      })),
      teams: listIndexes(TEAM_COUNT).map((index) => ({
        name: `team-${index}`,
        keys: [],
        priority: 0,
        weight: 1,
        limit: { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 },
      })),
      source: "",
    },
  }]);
  apply(
    listIndexes(runnerCount).map((index) => ({
      type: "runner",
      runner: createRunner(index),
    })),
  );
  apply(
    listIndexes(taskCount / TASKS_PER_JOB).map((index) =>
      createJob(index, random)
    ),
  );
  return state;
}

function listIndexes(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function createQueue(index: number): JobQueue {
  return {
    name: `queue-${index}`,
    host: "h",
    pathPrefix: `/${index}/`,
    pool: `pool-${index}`,
    isPublic: false,
    priority: 0,
    maxAttempts: 2,
    timeoutMs: 3_000,
    stretch: 1.6,
    targetLatencyMs: 600,
  };
}

function createRunner(index: number): Runner {
  const rack = `rack-${Math.floor(index / (4 * POOL_COUNT))}`;
  return {
    runnerId: `runner-${index}`,
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: `pool-${index % POOL_COUNT}`,
    zone: `zone-${index % 3}`,
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

function createJob(index: number, random: Random): SchedulingOperation {
  return {
    type: "accept",
    spec: {
      jobId: index.toString(16).padStart(16, "0"),
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
    queue: `queue-${index % POOL_COUNT}`,
    pool: `pool-${index % POOL_COUNT}`,
    team: `team-${index % TEAM_COUNT}`,
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
      attainable: runner.capacity,
      latencyTargetCount: 0,
      bestEffortCount: 0,
      awaitsMaintenance: false,
      isReserved: false,
    });
  }
  return byPool;
}
