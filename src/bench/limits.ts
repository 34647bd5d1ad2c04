/** Upper limits of teams, through faults: what ran at once, by evidence. */
import { SystemClock } from "../adapters/clock/index.ts";
import {
  averageRunning,
  collectWork,
  describeUnanswered,
  type Span,
  walkStarts,
  type Work,
} from "./evidence.ts";
import { runClosedLoop } from "./load.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { createCall, createWorkbench, type Workbench } from "./workbench.ts";

const BUSY_TEAM = "team-1";
const BUSY_LIMIT = 60;
const LOWERED_LIMIT = 30;
const OTHER_TEAMS = ["team-2", "team-3"];
const OTHER_LIMIT = 12;
const CALLERS_PER_LIMIT = 2;
const WORK_MS = 400;
const SETTLE_MS = 2_000;
const IN_FORCE_MS = 3_000;
const ENTRY_KILL_AFTER_MS = 2_000;
const FAULT_MS = 6_000;

/** A limit from a moment on. */
interface LimitStep {
  readonly fromMs: number;
  readonly limit: number;
}

/** What ran at once, against each team's limit. */
export class LimitsMeasurement implements Measurement {
  readonly name = "limits";
  readonly summary = "no team over its limit, and a busy team reaches its own";
  readonly targets = [
    { field: "overLimitCount", bound: "atMost", value: 0 },
    { field: "limitUseRatio", bound: "atLeast", value: 0.95 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const bench = await createWorkbench(context, {
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
    const alone = await this.#runAlone(context, bench, steadyMs);
    const lowered = await this.#runWithFaults(context, bench);
    const works = collectWork(bench.backends);
    describeUnanswered(bench.caller.records).forEach((line) =>
      context.report(line)
    );
    const busy = works.filter(({ team }) => team === BUSY_TEAM);
    const limitUseRatio = averageRunning(busy, alone) / BUSY_LIMIT;
    const steps = [{ fromMs: -Infinity, limit: BUSY_LIMIT }, lowered];
    const others = OTHER_TEAMS.map((name) =>
      countOverLimit(works.filter(({ team }) => team === name), [
        { fromMs: -Infinity, limit: OTHER_LIMIT },
      ])
    );
    const overBusyCount = countOverLimit(busy, steps);
    return {
      figures: {
        overLimitCount: others.reduce((sum, count) => sum + count, 0) +
          overBusyCount,
        limitUseRatio,
        startedCount: works.length,
        mostRunningCount: findMostRunning(busy),
        limitCount: BUSY_LIMIT,
      },
      plots: [{
        title: `Work of ${BUSY_TEAM} that ran at once`,
        xLabel: "second",
        yLabel: "running",
        series: [{ label: BUSY_TEAM, points: plotRunning(busy) }],
      }],
    };
  }

  async #runAlone(
    context: MeasurementContext,
    bench: Workbench,
    steadyMs: number,
  ): Promise<Span> {
    context.report(`${BUSY_TEAM} alone, for ${steadyMs} ms`);
    const startedAtMs = new SystemClock().monotonicMs();
    const durationMs = SETTLE_MS + steadyMs;
    await keepBusy(context, bench, BUSY_TEAM, BUSY_LIMIT, durationMs);
    return {
      fromMs: startedAtMs + SETTLE_MS,
      untilMs: startedAtMs + durationMs - WORK_MS,
    };
  }

  async #runWithFaults(
    context: MeasurementContext,
    bench: Workbench,
  ): Promise<LimitStep> {
    context.report("all teams busy; an entry is killed, a limit is lowered");
    const loads = [
      keepBusy(context, bench, BUSY_TEAM, BUSY_LIMIT, FAULT_MS),
      ...OTHER_TEAMS.map((name) =>
        keepBusy(context, bench, name, OTHER_LIMIT, FAULT_MS)
      ),
    ];
    const clock = new SystemClock();
    await clock.sleep(ENTRY_KILL_AFTER_MS);
    const victim = bench.deployment.entries.at(-1);
    // With a single entry there is nobody to hand the work to.
    if (victim !== undefined && context.entryCount > 1) {
      await victim.daemon.kill();
    }
    await bench.deployment.operator.put([{
      kind: "team",
      name: BUSY_TEAM,
      maxRunningCount: LOWERED_LIMIT,
    }]);
    const acceptedAtMs = clock.monotonicMs();
    await Promise.all(loads);
    return { fromMs: acceptedAtMs + IN_FORCE_MS, limit: LOWERED_LIMIT };
  }
}

async function keepBusy(
  context: MeasurementContext,
  bench: Workbench,
  team: string,
  limit: number,
  durationMs: number,
): Promise<void> {
  await runClosedLoop({
    random: context.random,
    caller: bench.caller,
    callerCount: limit * CALLERS_PER_LIMIT,
    durationMs,
    chooseCall: () =>
      createCall(
        bench,
        team,
        context.random.nextInt(bench.plan.queues.length),
      ),
  });
}

// The first entry gets several times what the last one gets.
function createUnevenWeights(entryCount: number): number[] {
  return Array.from({ length: entryCount }, (_, at) => 2 * (entryCount - at));
}

function countOverLimit(
  works: readonly Work[],
  steps: readonly LimitStep[],
): number {
  let overCount = 0;
  walkStarts(works, ({ startedAtMs }, runningCount) => {
    const step = steps.findLast(({ fromMs }) => fromMs <= startedAtMs);
    if (step !== undefined && runningCount > step.limit) {
      overCount += 1;
    }
  });
  return overCount;
}

function findMostRunning(works: readonly Work[]): number {
  let most = 0;
  walkStarts(works, (_, runningCount) => {
    most = Math.max(most, runningCount);
  });
  return most;
}

function plotRunning(works: readonly Work[]): [number, number][] {
  const firstMs = works[0]?.startedAtMs ?? 0;
  const points: [number, number][] = [];
  walkStarts(works, ({ startedAtMs }, runningCount) => {
    points.push([(startedAtMs - firstMs) / 1_000, runningCount]);
  });
  return points;
}
