/** Measures how soon changes are accepted, and in force on every entry. */
import { SystemClock } from "../adapters/clock/index.ts";
import { type AcceptedChange, ChangeWriter } from "./change_writer.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { startMeasuredDeployment } from "./measured_deployment.ts";
import { RevisionWatcher } from "./revision_watcher.ts";

const QUICK_MS = 10_000;
const FULL_MS = 60_000;
const SETTLE_MS = 3_000;
const MS_PER_SECOND = 1_000;

/** Measures how soon a change is in force on every entry. */
export class PropagationMeasurement implements Measurement {
  readonly name = "propagation";
  readonly summary = "how soon an accepted change is in force on every entry";
  readonly targets = [
    { field: "inForceP99Ms", bound: "atMost", value: 3_000 },
    { field: "lostCount", bound: "atMost", value: 0 },
    { field: "revertedCount", bound: "atMost", value: 0 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const { cleanup, random } = context;
    const deployment = await startMeasuredDeployment(context);
    const watcher = new RevisionWatcher();
    watcher.start(deployment);
    cleanup.add(() => watcher.stop());
    const writer = new ChangeWriter(deployment);
    const urls = deployment.entries.map(({ plan }) => plan.url);
    const clock = new SystemClock();
    const startedAtMs = clock.monotonicMs();
    const durationMs = context.quick ? QUICK_MS : FULL_MS;
    context.report(
      `making changes through random entries for ${durationMs} ms`,
    );
    while (clock.monotonicMs() - startedAtMs < durationMs) {
      const url = urls[random.nextInt(urls.length)] ?? "";
      await writer.makeChange([url]);
    }
    const elapsedMs = clock.monotonicMs() - startedAtMs;
    await clock.sleep(SETTLE_MS);
    const { commits, inForce, points } = computeLatencies(
      writer.accepted,
      watcher,
      urls,
    );
    return {
      figures: {
        changeCount: writer.accepted.length,
        commitP50Ms: commits.percentileMs(50),
        inForceP99Ms: inForce.percentileMs(99),
        changesPerSecond: writer.accepted.length * MS_PER_SECOND / elapsedMs,
        lostCount: await writer.countLost(urls),
        revertedCount: watcher.revertedCount,
        commitP99Ms: commits.percentileMs(99),
        inForceP50Ms: inForce.percentileMs(50),
      },
      plots: [{
        title: "From the send until in force on the last entry",
        xLabel: "change",
        yLabel: "ms",
        series: [{ label: "in force", points }],
      }],
    };
  }
}

function computeLatencies(
  accepted: readonly AcceptedChange[],
  watcher: RevisionWatcher,
  urls: readonly string[],
) {
  const commits = new LatencyHistogram();
  const inForce = new LatencyHistogram();
  const points: [number, number][] = [];
  accepted.forEach(({ revision, sentAtMs, acceptedAtMs }, index) => {
    commits.record(acceptedAtMs - sentAtMs);
    const lastMs = Math.max(
      ...urls.map((url) => watcher.findInForceMs(url, revision) ?? Infinity),
    );
    inForce.record(lastMs - sentAtMs);
    points.push([index, lastMs - sentAtMs]);
  });
  return { commits, inForce, points };
}
