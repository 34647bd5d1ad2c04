/** Measures goodput, waits and outcomes of calls under overload. */
import { SystemClock } from "../adapters/clock/index.ts";
import type { CallRecord } from "../stand_ins/index.ts";
import {
  auditCalls,
  collectWorkItems,
  summarizeUnsuccessfulCalls,
  type WorkItem,
} from "./call_audit.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import { runOpenLoop } from "./load.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
  PlotSeries,
} from "./measurement.ts";
import {
  type BenchEnvironment,
  createBenchEnvironment,
  createCall,
} from "./bench_environment.ts";

const OFFERED_RATIO = 5;
const WARM_UP_RATIO = 0.8;
const WARM_UP_MS = 3_000;
const OVERLOAD_MS = 10_000;
const WORK_MS = 1_000;
const MAX_WAIT_MS = 2_000;
const MS_PER_SECOND = 1_000;
const TEAM_COUNT = 6;
const TEAM_LIMIT = 1_000;

/** Measures goodput at five times the capacity for ten seconds. */
export class OverloadMeasurement implements Measurement {
  readonly name = "overload";
  readonly summary = "goodput at five times the capacity for ten seconds";
  readonly targets = [
    { field: "goodputRatio", bound: "atLeast", value: 0.9 },
    { field: "admittedWaitP99Ms", bound: "atMost", value: MAX_WAIT_MS },
    { field: "falseNotRunCount", bound: "atMost", value: 0 },
    { field: "doubledCount", bound: "atMost", value: 0 },
    { field: "lostCount", bound: "atMost", value: 0 },
    { field: "truncatedCount", bound: "atMost", value: 0 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 4,
        vmsPerPool: context.quick ? 5 : 8,
        teams: Array.from({ length: TEAM_COUNT }, (_, index) => ({
          name: `team-${index + 1}`,
          share: 1,
          maxRunningCount: TEAM_LIMIT,
        })),
        maxWaitMs: MAX_WAIT_MS,
      },
      workMs: WORK_MS,
    });
    await this.#offerLoad(context, environment, WARM_UP_RATIO, WARM_UP_MS);
    const startedAtMs = new SystemClock().monotonicMs();
    await this.#offerLoad(context, environment, OFFERED_RATIO, OVERLOAD_MS);
    const workItems = collectWorkItems(environment.backends);
    const records = environment.caller.records;
    const overloadRecords = records.filter(({ sentAtMs }) =>
      sentAtMs >= startedAtMs
    );
    const goodCount = countGoodAnswers(records, startedAtMs);
    const goodPerSecond = goodCount / (OVERLOAD_MS / MS_PER_SECOND);
    const waits = measureWaits(overloadRecords, workItems);
    summarizeUnsuccessfulCalls(records).forEach((line) => context.report(line));
    return {
      figures: {
        offeredRatio: OFFERED_RATIO,
        goodputRatio: goodPerSecond / environment.capacityPerSecond,
        admittedWaitP99Ms: waits.percentileMs(99),
        ...auditCalls(records, workItems),
        requestCount: records.length,
        capacityPerSecond: environment.capacityPerSecond,
        goodPerSecond,
        admittedWaitP50Ms: waits.percentileMs(50),
        notRunCount: countOutcome(overloadRecords, "notRun"),
        unknownCount: countOutcome(overloadRecords, "unknown"),
        unreachedCount: countOutcome(overloadRecords, "unreached"),
      },
      plots: [{
        title: "Answers in each second of the overload",
        xLabel: "second",
        yLabel: "answers",
        series: [
          plotOutcome(records, "succeeded", startedAtMs),
          plotOutcome(records, "notRun", startedAtMs),
        ],
      }],
    };
  }

  async #offerLoad(
    context: MeasurementContext,
    environment: BenchEnvironment,
    ratio: number,
    durationMs: number,
  ): Promise<void> {
    context.report(`offering ${ratio} times the capacity, ${durationMs} ms`);
    await runOpenLoop({
      caller: environment.caller,
      ratePerSecond: ratio * environment.capacityPerSecond,
      durationMs,
      chooseCall: () =>
        createCall(
          environment,
          `team-${context.random.nextInt(TEAM_COUNT) + 1}`,
          context.random.nextInt(environment.plan.queues.length),
        ),
    });
  }
}

function countGoodAnswers(
  records: readonly CallRecord[],
  startedAtMs: number,
): number {
  const isGood = ({ outcome, endedAtMs }: CallRecord) =>
    outcome === "succeeded" && endedAtMs >= startedAtMs &&
    endedAtMs < startedAtMs + OVERLOAD_MS;
  return records.filter(isGood).length;
}

function countOutcome(
  records: readonly CallRecord[],
  expected: CallRecord["outcome"],
): number {
  return records.filter(({ outcome }) => outcome === expected).length;
}

function measureWaits(
  records: readonly CallRecord[],
  workItems: readonly WorkItem[],
): LatencyHistogram {
  const startByCall = new Map(
    workItems.map(({ callId, startedAtMs }) => [callId, startedAtMs]),
  );
  const waits = new LatencyHistogram();
  for (const { callId, sentAtMs } of records) {
    const startedAtMs = startByCall.get(callId);
    if (startedAtMs !== undefined) {
      waits.record(startedAtMs - sentAtMs);
    }
  }
  return waits;
}

function plotOutcome(
  records: readonly CallRecord[],
  expected: CallRecord["outcome"],
  startedAtMs: number,
): PlotSeries {
  const counts = new Map<number, number>();
  for (const { outcome, endedAtMs } of records) {
    const second = Math.floor((endedAtMs - startedAtMs) / MS_PER_SECOND);
    if (outcome === expected && second >= 0) {
      counts.set(second, (counts.get(second) ?? 0) + 1);
    }
  }
  const points = [...counts].sort((left, right) => left[0] - right[0]);
  return { label: expected, points };
}
