/**
 * Checks the limits of teams under faults, by the work that the backend servers
 * ran at once.
 */
import { SystemClock } from "../adapters/clock/index.ts";
import {
  averageRunning,
  collectWorkItems,
  forEachStart,
  summarizeUnsuccessfulCalls,
  type TimeSpan,
  type WorkItem,
} from "./call_audit.ts";
import { runClosedLoop } from "./load.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import {
  type BenchEnvironment,
  createBenchEnvironment,
  createCall,
} from "./bench_environment.ts";

const BUSY_TEAM = "team-1";
const BUSY_LIMIT = 60;
const LOWERED_LIMIT = 30;
const OTHER_TEAMS = ["team-2", "team-3"];
const OTHER_LIMIT = 12;
/** Callers for each slot of a limit; more than one keeps the limit exhausted. */
const CALLERS_PER_LIMIT = 2;
const WORK_MS = 400;
const SETTLE_MS = 2_000;
/** Time within which a lowered limit must be in force on every entry. */
const LIMIT_IN_FORCE_MS = 3_000;
const ENTRY_KILL_AFTER_MS = 2_000;
const FAULT_MS = 6_000;

/** A limit, and the monotonic time from which it applies. */
interface LimitStep {
  readonly fromMs: number;
  readonly limit: number;
}

/** Measures the concurrent work of each team against its limit. */
export class LimitsMeasurement implements Measurement {
  readonly name = "limits";
  readonly summary = "no team over its limit, and a busy team reaches its own";
  readonly targets = [
    { field: "overLimitCount", bound: "atMost", value: 0 },
    { field: "limitUseRatio", bound: "atLeast", value: 0.95 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 4,
        vmsPerPool: 4,
        teams: [
          { name: BUSY_TEAM, share: 1, maxRunningCount: BUSY_LIMIT },
          ...OTHER_TEAMS.map((name) => ({
            name,
            share: 1,
            maxRunningCount: OTHER_LIMIT,
          })),
        ],
      },
      workMs: WORK_MS,
      weights: createUnevenWeights(context.entryCount),
    });
    const steadyMs = context.quick ? 6_000 : 15_000;
    const aloneSpan = await this.#runBusyTeamAlone(
      context,
      environment,
      steadyMs,
    );
    const loweredLimit = await this.#runWithFaults(context, environment);
    const workItems = collectWorkItems(environment.backends);
    summarizeUnsuccessfulCalls(environment.caller.records).forEach((line) =>
      context.report(line)
    );
    const busyItems = workItems.filter(({ team }) => team === BUSY_TEAM);
    const limitUseRatio = averageRunning(busyItems, aloneSpan) / BUSY_LIMIT;
    const steps = [{ fromMs: -Infinity, limit: BUSY_LIMIT }, loweredLimit];
    const otherTeamOverCounts = OTHER_TEAMS.map((name) =>
      countOverLimit(workItems.filter(({ team }) => team === name), [
        { fromMs: -Infinity, limit: OTHER_LIMIT },
      ])
    );
    const busyTeamOverCount = countOverLimit(busyItems, steps);
    return {
      figures: {
        overLimitCount:
          otherTeamOverCounts.reduce((sum, count) => sum + count, 0) +
          busyTeamOverCount,
        limitUseRatio,
        startedCount: workItems.length,
        mostRunningCount: findMostRunning(busyItems),
        limitCount: BUSY_LIMIT,
      },
      plots: [{
        title: `Work of ${BUSY_TEAM} that ran at once`,
        xLabel: "second",
        yLabel: "running",
        series: [{ label: BUSY_TEAM, points: plotRunning(busyItems) }],
      }],
    };
  }

  async #runBusyTeamAlone(
    context: MeasurementContext,
    environment: BenchEnvironment,
    steadyMs: number,
  ): Promise<TimeSpan> {
    context.report(`only ${BUSY_TEAM} sends calls, for ${steadyMs} ms`);
    const startedAtMs = new SystemClock().monotonicMs();
    const durationMs = SETTLE_MS + steadyMs;
    await keepBusy(context, environment, BUSY_TEAM, BUSY_LIMIT, durationMs);
    return {
      fromMs: startedAtMs + SETTLE_MS,
      untilMs: startedAtMs + durationMs - WORK_MS,
    };
  }

  async #runWithFaults(
    context: MeasurementContext,
    environment: BenchEnvironment,
  ): Promise<LimitStep> {
    context.report(
      "all teams send calls; an entry is killed and a limit is lowered",
    );
    const loads = [
      keepBusy(context, environment, BUSY_TEAM, BUSY_LIMIT, FAULT_MS),
      ...OTHER_TEAMS.map((name) =>
        keepBusy(context, environment, name, OTHER_LIMIT, FAULT_MS)
      ),
    ];
    const clock = new SystemClock();
    await clock.sleep(ENTRY_KILL_AFTER_MS);
    const killedEntry = environment.deployment.entries.at(-1);
    // A single entry must stay up, since no other entry can take over.
    if (killedEntry !== undefined && context.entryCount > 1) {
      await killedEntry.daemon.kill();
    }
    await environment.deployment.operator.put([{
      kind: "team",
      name: BUSY_TEAM,
      maxRunningCount: LOWERED_LIMIT,
    }]);
    const acceptedAtMs = clock.monotonicMs();
    await Promise.all(loads);
    return { fromMs: acceptedAtMs + LIMIT_IN_FORCE_MS, limit: LOWERED_LIMIT };
  }
}

async function keepBusy(
  context: MeasurementContext,
  environment: BenchEnvironment,
  team: string,
  limit: number,
  durationMs: number,
): Promise<void> {
  await runClosedLoop({
    random: context.random,
    caller: environment.caller,
    callerCount: limit * CALLERS_PER_LIMIT,
    durationMs,
    chooseCall: () =>
      createCall(
        environment,
        team,
        context.random.nextInt(environment.plan.queues.length),
      ),
  });
}

// The first entry receives several times as many calls as the last one.
function createUnevenWeights(entryCount: number): number[] {
  return Array.from(
    { length: entryCount },
    (_, index) => 2 * (entryCount - index),
  );
}

function countOverLimit(
  workItems: readonly WorkItem[],
  steps: readonly LimitStep[],
): number {
  let overCount = 0;
  forEachStart(workItems, ({ startedAtMs }, runningCount) => {
    const step = steps.findLast(({ fromMs }) => fromMs <= startedAtMs);
    if (step !== undefined && runningCount > step.limit) {
      overCount += 1;
    }
  });
  return overCount;
}

function findMostRunning(workItems: readonly WorkItem[]): number {
  let most = 0;
  forEachStart(workItems, (_, runningCount) => {
    most = Math.max(most, runningCount);
  });
  return most;
}

function plotRunning(workItems: readonly WorkItem[]): [number, number][] {
  const firstMs = workItems[0]?.startedAtMs ?? 0;
  const points: [number, number][] = [];
  forEachStart(workItems, ({ startedAtMs }, runningCount) => {
    points.push([(startedAtMs - firstMs) / 1_000, runningCount]);
  });
  return points;
}
