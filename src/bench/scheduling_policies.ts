/** Compares order and placement policies of jobs in simulated time. */
import * as v from "valibot";
import { SeededRandom } from "../adapters/random/index.ts";
import {
  ArrivalOrderPolicy,
  FirstFitPlacementPolicy,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartPlanner,
} from "../decisions/index.ts";
import { type JobRecord, jobStepSchema } from "../domain/index.ts";
import { FakeClock } from "../testing/fake_clock.ts";
import { SchedulingFixture } from "../testing/scheduling_fixture.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";

const RUNNER_IDS = ["r1", "r2", "r3", "r4"];
/** Interval between jobs; keeps four runners of 8 cores about two-thirds busy. */
const ARRIVAL_MS = 200;
const LOAD_MS = 20_000;
const QUICK_LOAD_MS = 12_000;
const SETTLE_MS = 30_000;
const FAULT_FROM_MS = 5_000;
const FAULT_UNTIL_MS = 8_000;
const BURST_FACTOR = 3;
/** On average, one in this many jobs is large. */
const LARGE_JOB_INTERVAL = 10;
const STRETCH = 1.6;
const TARGET_MS = 600;

/**
 * A load of steady arrivals. For a while, jobs may arrive faster, or one runner
 * may be cut off from the controller.
 */
interface Load {
  readonly name: string;
  readonly hasBurst: boolean;
  readonly hasCutRunner: boolean;
}

const LOADS: readonly Load[] = [
  { name: "steady", hasBurst: false, hasCutRunner: false },
  { name: "burst", hasBurst: true, hasCutRunner: false },
  { name: "silentRunner", hasBurst: false, hasCutRunner: true },
];

/** Policies in use, and variants with a simple policy in place of one of them. */
const POLICIES: Readonly<Record<string, () => StartPlanner>> = {
  used: () =>
    new StartPlanner({
      order: new SlackOrderPolicy(),
      placement: new ScoredPlacementPolicy(),
    }),
  arrivalOrder: () =>
    new StartPlanner({
      order: new ArrivalOrderPolicy(),
      placement: new ScoredPlacementPolicy(),
    }),
  firstFit: () =>
    new StartPlanner({
      order: new SlackOrderPolicy(),
      placement: new FirstFitPlacementPolicy(),
    }),
};

/** Measures how many jobs end in time under each policy and load. */
export class SchedulingPoliciesMeasurement implements Measurement {
  readonly name = "policies";
  readonly summary = "order and placement of jobs, used against plain policies";
  readonly targets = [];

  async run(context: MeasurementContext): Promise<Outcome> {
    const figures: Record<string, number> = {};
    for (const load of LOADS) {
      for (const [policy, createPlanner] of Object.entries(POLICIES)) {
        const jobs = await runLoad(load, createPlanner(), context);
        const largest = jobs.toSorted((left, right) =>
          sumTaskMs(right) - sumTaskMs(left)
        ).slice(0, Math.ceil(jobs.length / LARGE_JOB_INTERVAL));
        figures[`${load.name}.${policy}.inTimeRatio`] = computeInTimeRatio(
          jobs,
        );
        figures[`${load.name}.${policy}.largestTenthRatio`] =
          computeInTimeRatio(largest);
        context.report(`${load.name}, ${policy}: ${jobs.length} jobs`);
      }
    }
    return { figures, plots: [] };
  }
}

async function runLoad(
  load: Load,
  planner: StartPlanner,
  { quick, seed }: MeasurementContext,
): Promise<readonly JobRecord[]> {
  const clock = new FakeClock();
  const fixture = new SchedulingFixture({
    clock,
    random: new SeededRandom(seed),
    runnerIds: RUNNER_IDS,
    planner,
  });
  fixture.changeLeader();
  await clock.advance(2_000);
  // The same seed gives the same jobs to each policy.
  const random = new SeededRandom(seed);
  const startedMs = clock.monotonicMs();
  const loadMs = quick ? QUICK_LOAD_MS : LOAD_MS;
  for (let jobCount = 0; clock.monotonicMs() - startedMs < loadMs;) {
    const elapsedMs = clock.monotonicMs() - startedMs;
    const isFaultActive = elapsedMs >= FAULT_FROM_MS &&
      elapsedMs < FAULT_UNTIL_MS;
    setRunnerCut(fixture, load.hasCutRunner && isFaultActive);
    jobCount += 1;
    const jobId = jobCount.toString(16).padStart(16, "0");
    void fixture.submit(jobId, createSteps(random));
    const factor = load.hasBurst && isFaultActive ? BURST_FACTOR : 1;
    await clock.advance(ARRIVAL_MS / factor);
  }
  setRunnerCut(fixture, false);
  await clock.advance(SETTLE_MS);
  await fixture.stop();
  return fixture.state.scheduling.jobs.list();
}

function setRunnerCut(fixture: SchedulingFixture, isCut: boolean): void {
  if (isCut) {
    fixture.runners.cutIds.add("r1");
  } else {
    fixture.runners.cutIds.clear();
  }
}

function createSteps(random: SeededRandom) {
  const isLarge = random.nextInt(LARGE_JOB_INTERVAL) === 0;
  const step = {
    taskCount: isLarge ? 8 : 1 + random.nextInt(4),
    needs: { cpuMillicores: 500 + random.nextInt(2_000) },
    estimateMs: isLarge ? 1_200 : 200 + random.nextInt(800),
  };
  const steps = isLarge ? [step, { ...step, dependsOn: [0] }] : [step];
  return steps.map((each) => v.parse(jobStepSchema, each));
}

function sumTaskMs({ spec }: JobRecord): number {
  return spec.steps.reduce(
    (sum, { taskCount, estimateMs }) => sum + taskCount * estimateMs,
    0,
  );
}

function computeInTimeRatio(jobs: readonly JobRecord[]): number {
  const inTime = jobs.filter(({ spec, acceptedAtMs, endedAtMs }) => {
    const chainMs = spec.steps.reduce((sum, step) => sum + step.estimateMs, 0);
    return endedAtMs !== undefined &&
      endedAtMs - acceptedAtMs <= STRETCH * chainMs + TARGET_MS;
  });
  return jobs.length === 0 ? 0 : inTime.length / jobs.length;
}
