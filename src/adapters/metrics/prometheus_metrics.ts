/** Request metrics with prom-client, by team and queue. */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type {
  CloseReason,
  ConnectionMetrics,
  Metrics,
  RequestMeasurement,
} from "../../ports/index.ts";
import { PrometheusConnectionMetrics } from "./prometheus_connection_metrics.ts";

const MS_PER_SECOND = 1_000;
const BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60];

/** Collects the metrics of one process, including those of Node.js. */
export class PrometheusMetrics implements ConnectionMetrics, Metrics {
  readonly #registry = new Registry();
  readonly #connections = new PrometheusConnectionMetrics(this.#registry);
  readonly #requests = new Counter({
    name: "cardamomsill_requests_total",
    help: "Requests by team, queue and outcome; each request counts once",
    labelNames: ["team", "queue", "outcome"],
    registers: [this.#registry],
  });
  readonly #waitSeconds = this.#createHistogram(
    "wait",
    "Time until a slot was granted",
  );
  readonly #runSeconds = this.#createHistogram(
    "run",
    "Time at the backend server",
  );
  readonly #totalSeconds = this.#createHistogram(
    "total",
    "Time from arrival to the last byte",
  );
  readonly #revision = new Gauge({
    name: "cardamomsill_configuration_revision",
    help: "Configuration revision in force on this entry",
    registers: [this.#registry],
  });
  readonly #controlBytes = new Counter({
    name: "cardamomsill_control_bytes_total",
    help: "Bytes of control traffic between entries",
    labelNames: ["direction"],
    registers: [this.#registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.#registry });
  }

  recordRequest(measurement: RequestMeasurement): void {
    const { team, queue, outcome } = measurement;
    this.#requests.inc({ team, queue, outcome });
    this.#waitSeconds.observe(
      { team, queue },
      measurement.waitMs / MS_PER_SECOND,
    );
    this.#runSeconds.observe(
      { team, queue },
      measurement.runMs / MS_PER_SECOND,
    );
    this.#totalSeconds.observe(
      { team, queue },
      measurement.totalMs / MS_PER_SECOND,
    );
  }

  setRevision(revision: number): void {
    this.#revision.set(revision);
  }

  countControlBytes(direction: "sent" | "received", byteCount: number): void {
    this.#controlBytes.inc({ direction }, byteCount);
  }

  countClosedConnection(reason: CloseReason): void {
    this.#connections.countClosedConnection(reason);
  }

  addHeldBytes(byteCount: number): void {
    this.#connections.addHeldBytes(byteCount);
  }

  /**
   * Renders all metrics.
   *
   * @returns The metrics in the text format of Prometheus.
   */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #createHistogram(part: string, help: string): Histogram<"team" | "queue"> {
    return new Histogram({
      name: `cardamomsill_request_${part}_seconds`,
      help,
      labelNames: ["team", "queue"],
      buckets: BUCKETS_SECONDS,
      registers: [this.#registry],
    });
  }
}
