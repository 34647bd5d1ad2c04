/** Measures a rolling restart of all entries under load. */
import { SystemClock } from "../adapters/clock/index.ts";
import type { CallRecord } from "../stand_ins/index.ts";
import {
  auditCalls,
  collectWorkItems,
  summarizeUnsuccessfulCalls,
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

const TEAM = "team-1";
const WORK_MS = 300;
const CALLER_COUNT = 60;
/** Limit of the load, which otherwise ends after the last restart. */
const MAX_LOAD_MS = 120_000;
const PAUSE_BETWEEN_ENTRIES_MS = 500;

/** Measures how many requests a rolling restart interrupts. */
export class ShutdownMeasurement implements Measurement {
  readonly name = "shutdown";
  readonly summary = "requests cut by a rolling restart of every entry";
  readonly targets = [
    { field: "cutCount", bound: "atMost", value: 0 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 2,
        vmsPerPool: 4,
        teams: [{ name: TEAM, share: 1, maxRunningCount: 100 }],
      },
      workMs: WORK_MS,
    });
    const loadController = new AbortController();
    const load = runClosedLoop({
      random: context.random,
      caller: environment.caller,
      callerCount: CALLER_COUNT,
      durationMs: MAX_LOAD_MS,
      signal: loadController.signal,
      chooseCall: () => createCall(environment, TEAM, 0),
    });
    const stopMs = await restartAll(context, environment);
    loadController.abort();
    await load;
    const { records } = environment.caller;
    const cutRecords = records.filter(isCut);
    summarizeUnsuccessfulCalls(records).forEach((line) => context.report(line));
    return {
      figures: {
        requestCount: records.length,
        cutCount: cutRecords.length,
        ...auditCalls(records, collectWorkItems(environment.backends)),
        notRunCount: records.filter(({ outcome }) => outcome === "notRun")
          .length,
        longestStopMs: Math.max(...stopMs),
      },
      plots: [{
        title: "Time from the stop signal to the exit of each entry",
        xLabel: "entry",
        yLabel: "ms",
        series: [{
          label: "planned stop",
          points: stopMs.map((tookMs, index) => [index + 1, tookMs]),
        }],
      }],
    };
  }
}

async function restartAll(
  context: MeasurementContext,
  environment: BenchEnvironment,
): Promise<number[]> {
  const { deployment } = environment;
  const clock = new SystemClock();
  const stopMs: number[] = [];
  for (const entry of deployment.entries) {
    const startedAtMs = clock.monotonicMs();
    const exitCode = await entry.daemon.stop();
    stopMs.push(clock.monotonicMs() - startedAtMs);
    if (exitCode !== 0) {
      throw new Error(`${entry.plan.entryId} exited with code ${exitCode}`);
    }
    await deployment.restart(entry);
    context.report(`${entry.plan.entryId} is ready again`);
    await clock.sleep(PAUSE_BETWEEN_ENTRIES_MS);
  }
  return stopMs;
}

function isCut({ outcome }: CallRecord): boolean {
  return outcome !== "succeeded" && outcome !== "notRun";
}
