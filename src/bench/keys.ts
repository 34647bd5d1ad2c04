/**
 * Measures how long work still starts under a withdrawn key, by the records of
 * the backend servers.
 */
import { SystemClock } from "../adapters/clock/index.ts";
import { collectWorkItems } from "./call_audit.ts";
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
const WORK_MS = 50;
const CALLER_COUNT = 27;
const LOAD_BEFORE_MS = 2_000;
const LOAD_AFTER_MS = 8_000;

/**
 * Measures how long entries accept a withdrawn key. If there are several entries,
 * one is cut off from the others.
 */
export class KeysMeasurement implements Measurement {
  readonly name = "keys";
  readonly summary = "how long a withdrawn key still works, on every entry";
  readonly targets = [
    { field: "lastUseAfterMs", bound: "atMost", value: 3_000 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 2,
        vmsPerPool: 3,
        teams: [{ name: TEAM, share: 1, maxRunningCount: 100 }],
      },
      workMs: WORK_MS,
    });
    const load = runClosedLoop({
      random: context.random,
      caller: environment.caller,
      callerCount: CALLER_COUNT,
      durationMs: LOAD_BEFORE_MS + LOAD_AFTER_MS,
      chooseCall: () => createCall(environment, TEAM, 0),
    });
    await new SystemClock().sleep(LOAD_BEFORE_MS);
    const cutOffId = await isolateLastEntry(context, environment);
    const withdrawnAtMs = await withdrawKey(context, environment);
    await load;
    const workItems = collectWorkItems(environment.backends);
    const lastStartedAtMs = workItems.at(-1)?.startedAtMs ?? 0;
    return {
      figures: {
        lastUseAfterMs: Math.max(0, lastStartedAtMs - withdrawnAtMs),
        requestCount: environment.caller.records.length,
        startedCount: workItems.length,
        refusedCount:
          environment.caller.records.filter(({ outcome }) =>
            outcome === "notRun"
          ).length,
        cutOffEntry: cutOffId,
      },
      plots: [{
        title: "Starts before and after the key was withdrawn",
        xLabel: "seconds from the withdrawal",
        yLabel: "starts so far",
        series: [{
          label: TEAM,
          points: workItems.map(({ startedAtMs }, index) => [
            (startedAtMs - withdrawnAtMs) / 1_000,
            index + 1,
          ]),
        }],
      }],
    };
  }
}

// Cuts off the last entry, which has no disk, so that the voters keep their quorum.
async function isolateLastEntry(
  context: MeasurementContext,
  environment: BenchEnvironment,
): Promise<string> {
  const { entries, network } = environment.deployment;
  const last = entries.at(-1);
  if (last === undefined || context.entryCount === 1) {
    return "none";
  }
  context.report(`${last.plan.entryId} is cut off`);
  await network.isolate(last.plan.entryId);
  return last.plan.entryId;
}

async function withdrawKey(
  context: MeasurementContext,
  environment: BenchEnvironment,
): Promise<number> {
  const { operator } = environment.deployment;
  const name = `${TEAM}-key`;
  const key = await operator.find("key", name);
  if (key === undefined) {
    throw new Error(`key/${name} does not exist`);
  }
  await operator.put([{ ...key, withdrawn: true }]);
  context.report("the key is withdrawn");
  return new SystemClock().monotonicMs();
}
