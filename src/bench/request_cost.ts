/** Measures what an entry adds to a request, compared with a direct call. */
import { Agent, request } from "undici";
import { ATTEMPT_ID_HEADER } from "../domain/index.ts";
import { SystemClock } from "../adapters/clock/index.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import {
  type BenchEnvironment,
  createBenchEnvironment,
} from "./bench_environment.ts";

const TEAM = "team-1";
const WARM_UP_MS = 2_000;
const RUN_MS = 5_000;
const SINGLE_CALLER_COUNT = 1;
const BUSY_CALLER_COUNT = 32;
const MS_PER_SECOND = 1_000;

/**
 * How a call reaches the backend server: directly, through an entry, or through an
 * entry with an idempotency key.
 */
type CallPath = "direct" | "entry" | "keyed";

interface CallPathFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
  readonly failedCount: number;
}

/** Measures latency and rate of calls on each path. */
export class RequestCostMeasurement implements Measurement {
  readonly name = "request-cost";
  readonly summary = "what one entry adds to a request";
  readonly targets = [
    { field: "addedP50Ms", bound: "atMost", value: 2 },
    { field: "addedP99Ms", bound: "atMost", value: 10 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 1,
        vmsPerPool: 4,
        teams: [{ name: TEAM, share: 1, maxRunningCount: 1_000 }],
      },
      workMs: 0,
    });
    const load = new ClosedLoopLoad(environment);
    context.cleanup.add(() => load.close());
    await load.run("entry", BUSY_CALLER_COUNT, WARM_UP_MS);
    const direct = await load.run("direct", SINGLE_CALLER_COUNT, RUN_MS);
    const entry = await load.run("entry", SINGLE_CALLER_COUNT, RUN_MS);
    const keyed = await load.run("keyed", SINGLE_CALLER_COUNT, RUN_MS);
    context.report("one caller at a time is measured");
    const busyDirect = await load.run("direct", BUSY_CALLER_COUNT, RUN_MS);
    const busyEntry = await load.run("entry", BUSY_CALLER_COUNT, RUN_MS);
    const busyKeyed = await load.run("keyed", BUSY_CALLER_COUNT, RUN_MS);
    return {
      figures: {
        addedP50Ms: entry.p50Ms - direct.p50Ms,
        addedP99Ms: entry.p99Ms - direct.p99Ms,
        claimAddedP50Ms: keyed.p50Ms - entry.p50Ms,
        claimAddedP99Ms: keyed.p99Ms - entry.p99Ms,
        busyDirectPerSecond: busyDirect.perSecond,
        busyEntryPerSecond: busyEntry.perSecond,
        busyKeyedPerSecond: busyKeyed.perSecond,
        busyEntryP50Ms: busyEntry.p50Ms,
        busyEntryP99Ms: busyEntry.p99Ms,
        busyKeyedP99Ms: busyKeyed.p99Ms,
        failedCount: entry.failedCount + keyed.failedCount +
          busyEntry.failedCount + busyKeyed.failedCount,
      },
      plots: [],
    };
  }
}

/** Runs callers that each wait for an answer before the next call. */
class ClosedLoopLoad {
  readonly #environment: BenchEnvironment;
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #clock = new SystemClock();
  #requestCount = 0;

  constructor(environment: BenchEnvironment) {
    this.#environment = environment;
  }

  async run(
    path: CallPath,
    callerCount: number,
    durationMs: number,
  ): Promise<CallPathFigures> {
    const latencies = new LatencyHistogram();
    const endMs = this.#clock.monotonicMs() + durationMs;
    let failedCount = 0;
    const runCaller = async () => {
      while (this.#clock.monotonicMs() < endMs) {
        const sentAtMs = this.#clock.monotonicMs();
        const status = await this.#call(path);
        if (status === 200) {
          latencies.record(this.#clock.monotonicMs() - sentAtMs);
        } else {
          failedCount += 1;
        }
      }
    };
    await Promise.all(Array.from({ length: callerCount }, runCaller));
    return {
      p50Ms: latencies.percentileMs(50),
      p99Ms: latencies.percentileMs(99),
      perSecond: latencies.count * MS_PER_SECOND / durationMs,
      failedCount,
    };
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #call(path: CallPath): Promise<number> {
    const answer = await request(this.#findUrl(path), {
      dispatcher: this.#agent,
      method: "POST",
      headers: this.#createHeaders(path),
      body: "a small body",
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  #findUrl(path: CallPath): string {
    const { deployment, backends, plan } = this.#environment;
    if (path === "direct") {
      this.#requestCount += 1;
      const backend = backends[this.#requestCount % backends.length];
      return `${backend?.url}/x`;
    }
    return `${deployment.entries[0]?.plan.url}/q/${plan.queues[0]}/x`;
  }

  #createHeaders(path: CallPath): Record<string, string> {
    if (path === "direct") {
      return { [ATTEMPT_ID_HEADER]: "direct" };
    }
    const key = `Bearer ${this.#environment.keys.get(TEAM)}`;
    if (path === "entry") {
      return { authorization: key };
    }
    this.#requestCount += 1;
    return {
      authorization: key,
      "idempotency-key": `key-${this.#requestCount}`,
    };
  }
}
