/** A withdrawn key: the last work that started under it, by evidence. */
import { SystemClock } from "../adapters/clock/index.ts";
import { collectWork } from "./evidence.ts";
import { runClosedLoop } from "./load.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { createCall, createWorkbench, type Workbench } from "./workbench.ts";

const TEAM = "team-1";
const WORK_MS = 50;
const CALLER_COUNT = 27;
const BEFORE_MS = 2_000;
const AFTER_MS = 8_000;

/** How long a withdrawn key still works, also on an entry that is cut off. */
export class KeysMeasurement implements Measurement {
  readonly name = "keys";
  readonly summary = "how long a withdrawn key still works, on every entry";
  readonly targets = [
    { field: "lastUseAfterMs", bound: "atMost", value: 3_000 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const bench = await createWorkbench(context, {
      fleet: {
        serviceCount: 2,
        vmsPerPool: 3,
        teams: [{ name: TEAM, share: 1, maxRunningCount: 100 }],
      },
      workMs: WORK_MS,
    });
    const load = runClosedLoop({
      random: context.random,
      caller: bench.caller,
      callerCount: CALLER_COUNT,
      durationMs: BEFORE_MS + AFTER_MS,
      chooseCall: () => createCall(bench, TEAM, 0),
    });
    await new SystemClock().sleep(BEFORE_MS);
    const cutOffId = await cutOneOff(context, bench);
    const withdrawnAtMs = await withdraw(context, bench);
    await load;
    const works = collectWork(bench.backends);
    const last = works.at(-1)?.startedAtMs ?? 0;
    return {
      figures: {
        lastUseAfterMs: Math.max(0, last - withdrawnAtMs),
        requestCount: bench.caller.records.length,
        startedCount: works.length,
        refusedCount:
          bench.caller.records.filter(({ outcome }) => outcome === "notRun")
            .length,
        cutOffEntry: cutOffId,
      },
      plots: [{
        title: "Starts before and after the key was withdrawn",
        xLabel: "seconds from the withdrawal",
        yLabel: "starts so far",
        series: [{
          label: TEAM,
          points: works.map(({ startedAtMs }, at) => [
            (startedAtMs - withdrawnAtMs) / 1_000,
            at + 1,
          ]),
        }],
      }],
    };
  }
}

// An entry without a disk is cut off, so that the voters keep their quorum.
async function cutOneOff(
  context: MeasurementContext,
  bench: Workbench,
): Promise<string> {
  const { entries, network } = bench.deployment;
  const last = entries.at(-1);
  if (last === undefined || context.entryCount === 1) {
    return "none";
  }
  context.report(`${last.plan.entryId} is cut off`);
  await network.isolate(last.plan.entryId);
  return last.plan.entryId;
}

async function withdraw(
  context: MeasurementContext,
  bench: Workbench,
): Promise<number> {
  const { operator } = bench.deployment;
  const name = `${TEAM}-key`;
  const key = await operator.find("key", name);
  if (key === undefined) {
    throw new Error(`key/${name} does not exist`);
  }
  await operator.put([{ ...key, withdrawn: true }]);
  context.report("the key is withdrawn");
  return new SystemClock().monotonicMs();
}
