/** Measures the time to place work and to index the fleet, by number of workers. */
import { encode } from "cbor-x";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { SystemClock } from "../adapters/clock/index.ts";
import { FleetIndex } from "../decisions/index.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type {
  Figures,
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { CoordinatorHarness } from "./coordinator_harness.ts";

const WORKER_COUNTS = [40, 4_000, 28_000] as const;
const PLACEMENT_DURATION_MS = 2_000;
const WARM_UP_COUNT = 200;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MIB = 1_024 * 1_024;

interface SizeResult {
  readonly workerCount: number;
  readonly placeP99Us: number;
  readonly startsPerSecond: number;
  readonly figures: Figures;
}

/** Measures how placement slows down as the fleet grows. */
export class PlacementMeasurement implements Measurement {
  readonly name = "placement";
  readonly summary = "time to place work from 40 to 28,000 workers, in process";
  readonly targets = [
    { field: "slowdownRatio", bound: "atMost", value: 20 },
    { field: "overcommitCutCount", bound: "atMost", value: 0 },
  ] as const;

  run(context: MeasurementContext): Promise<Outcome> {
    const results = WORKER_COUNTS.map((workerCount) =>
      measureSize(context, workerCount)
    );
    const first = results[0]?.placeP99Us ?? 1;
    const last = results.at(-1)?.placeP99Us ?? Infinity;
    return Promise.resolve({
      figures: {
        startsPerSecond: results[0]?.startsPerSecond ?? 0,
        ...Object.fromEntries(results.map(({ workerCount, placeP99Us }) => [
          `placeP99Us${workerCount}`,
          placeP99Us,
        ])),
        // Cuts due to overcommitment can only be counted with usage reports of
        // workers, which announcements do not carry yet.
        overcommitCutCount: "not measured",
        slowdownRatio: last / first,
        ...Object.assign({}, ...results.map(({ figures }) => figures)),
      },
      plots: [{
        title: "p99 of one placement",
        xLabel: "workers",
        yLabel: "microseconds",
        series: [{
          label: "permit coordinator",
          points: results.map((
            { workerCount, placeP99Us },
          ) => [workerCount, placeP99Us]),
        }],
      }],
    });
  }
}

function measureSize(
  context: MeasurementContext,
  workerCount: number,
): SizeResult {
  const heapBefore = measureHeapBytes();
  const harness = new CoordinatorHarness(workerCount, context.random);
  const indexMs = measureDurationMs(() =>
    new FleetIndex(harness.agreement.state)
  );
  const announceMs = measureDurationMs(() => harness.announceAll());
  const placements = measurePlacements(harness);
  const sweepMs = measureDurationMs(() => harness.ledger.sweep());
  harness.fleet.current();
  const heapMb = (measureHeapBytes() - heapBefore) / BYTES_PER_MIB;
  const snapshotBytes = encode(harness.agreement.state.toSnapshot()).length;
  context.report(
    `${workerCount} workers, ${placements.histogram.count} placements`,
  );
  return {
    workerCount,
    placeP99Us: placements.histogram.percentileMs(99) * MICROSECONDS_PER_MS,
    startsPerSecond: placements.perSecond,
    figures: {
      [`indexMs${workerCount}`]: indexMs,
      [`announceAllMs${workerCount}`]: announceMs,
      [`sweepMs${workerCount}`]: sweepMs,
      [`snapshotBytes${workerCount}`]: snapshotBytes,
      [`heapMb${workerCount}`]: heapMb,
      [`startsPerSecond${workerCount}`]: placements.perSecond,
      [`placeP50Us${workerCount}`]: placements.histogram.percentileMs(50) *
        MICROSECONDS_PER_MS,
    },
  };
}

function measurePlacements(harness: CoordinatorHarness) {
  const clock = new SystemClock();
  for (let count = 0; count < WARM_UP_COUNT; count += 1) {
    harness.placeAndReturnOne();
  }
  const histogram = new LatencyHistogram();
  const startedAtMs = clock.monotonicMs();
  while (clock.monotonicMs() - startedAtMs < PLACEMENT_DURATION_MS) {
    const tookMs = measureDurationMs(() => {
      if (harness.placeAndReturnOne() !== 1) {
        throw new Error(`no permit at ${harness.workerCount} workers`);
      }
    });
    histogram.record(tookMs);
  }
  const elapsedMs = clock.monotonicMs() - startedAtMs;
  return {
    histogram,
    perSecond: histogram.count * MS_PER_SECOND / elapsedMs,
  };
}

// Collects garbage first, so that only live objects count.
function measureHeapBytes(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  return process.memoryUsage().heapUsed;
}

function measureDurationMs(body: () => unknown): number {
  const clock = new SystemClock();
  const startedAtMs = clock.monotonicMs();
  body();
  return clock.monotonicMs() - startedAtMs;
}
