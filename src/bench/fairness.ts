/** Compares the slots that teams use on a full fleet with their fair shares. */
import { SystemClock } from "../adapters/clock/index.ts";
import {
  averageRunning,
  collectWorkItems,
  summarizeUnsuccessfulCalls,
  type TimeSpan,
} from "./call_audit.ts";
import { runClosedLoop } from "./load.ts";
import { computeEntitledSlots } from "./max_min_share.ts";
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

const WORK_MS = 400;
const VMS_PER_POOL = 2;
const SETTLE_MS = 3_000;
const QUICK_MS = 10_000;
const FULL_MS = 40_000;
const MAX_RUNNING_COUNT = 1_000;

/** Teams with their shares and numbers of concurrent callers. */
const TEAMS = [
  { name: "team-1", share: 1, callerCount: 120 },
  { name: "team-2", share: 2, callerCount: 80 },
  { name: "team-3", share: 1, callerCount: 40 },
  { name: "team-4", share: 4, callerCount: 100 },
  { name: "team-5", share: 1, callerCount: 3 },
] as const;

/** Measures how closely each team reaches its weighted max-min share. */
export class FairnessMeasurement implements Measurement {
  readonly name = "fairness";
  readonly summary = "least served team against its weighted max-min share";
  readonly targets = [
    { field: "worstShareRatio", bound: "atLeast", value: 0.95 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 4,
        vmsPerPool: VMS_PER_POOL,
        // All teams must compete for one set of slots.
        sharedPools: true,
        teams: TEAMS.map(({ name, share }) => ({
          name,
          share,
          maxRunningCount: MAX_RUNNING_COUNT,
        })),
      },
      workMs: WORK_MS,
    });
    const span = await this.#keepTeamsBusy(context, environment);
    const workItems = collectWorkItems(environment.backends);
    summarizeUnsuccessfulCalls(environment.caller.records).forEach((line) =>
      context.report(line)
    );
    const claimants = TEAMS.map(({ name, share, callerCount }) => ({
      name,
      share,
      wantedCount: callerCount,
    }));
    const entitled = computeEntitledSlots(claimants, environment.slotCount);
    const ratios = TEAMS.map(({ name }) => {
      const teamItems = workItems.filter(({ team }) => team === name);
      return averageRunning(teamItems, span) / (entitled.get(name) ?? 1);
    });
    const teamRatios = TEAMS.map(({ name }, index) => [
      `${name}ShareRatio`,
      ratios[index] ?? 0,
    ]);
    return {
      figures: {
        worstShareRatio: Math.min(...ratios),
        slotUseRatio: averageRunning(workItems, span) / environment.slotCount,
        ...Object.fromEntries(teamRatios),
      },
      plots: [{
        title: "Running on average against the entitled slots, by team",
        xLabel: "team",
        yLabel: "ratio",
        series: [{
          label: "served / entitled",
          points: ratios.map((ratio, index) => [index + 1, ratio]),
        }],
      }],
    };
  }

  async #keepTeamsBusy(
    context: MeasurementContext,
    environment: BenchEnvironment,
  ): Promise<TimeSpan> {
    const steadyMs = context.quick ? QUICK_MS : FULL_MS;
    const durationMs = SETTLE_MS + steadyMs;
    context.report(`all teams send calls for ${durationMs} ms`);
    const startedAtMs = new SystemClock().monotonicMs();
    await Promise.all(TEAMS.map(({ name, callerCount }) =>
      runClosedLoop({
        random: context.random,
        caller: environment.caller,
        callerCount,
        durationMs,
        chooseCall: () =>
          createCall(
            environment,
            name,
            context.random.nextInt(environment.plan.queues.length),
          ),
      })
    ));
    return {
      fromMs: startedAtMs + SETTLE_MS,
      untilMs: startedAtMs + durationMs - WORK_MS,
    };
  }
}
