/** Scheduling metrics with prom-client. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { JobState, RunEnd } from "../../domain/index.ts";
import type {
  CallMeasurement,
  JobLabels,
  SchedulingGauges,
  SchedulingMetrics,
} from "../../ports/index.ts";

const MS_PER_SECOND = 1_000;
/** Buckets from one network round trip to the longest wait for a job. */
const BUCKETS_SECONDS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60];
const JOB_LABELS = ["team", "queue"] as const;

/** Options of {@link PrometheusSchedulingMetrics}. */
export interface PrometheusSchedulingMetricsOptions {
  /** Reads the gauges of the leader, or undefined on any other process. */
  readonly readGauges: () => SchedulingGauges | undefined;
  /** Reads the number of log lines that were dropped. */
  readonly readDroppedLineCount: () => number;
}

/** Collects the scheduling metrics of one process. */
export class PrometheusSchedulingMetrics implements SchedulingMetrics {
  readonly #options: PrometheusSchedulingMetricsOptions;
  readonly #registry = new Registry();
  readonly #registers = [this.#registry];
  readonly #calls = new Histogram({
    name: "cardamomsill_call_seconds",
    help: "Time to answer calls about jobs, by action and outcome",
    labelNames: ["action", "outcome"],
    buckets: BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #waits = new Histogram({
    name: "cardamomsill_job_wait_seconds",
    help: "Time from acceptance to the first start",
    labelNames: JOB_LABELS,
    buckets: BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #runs = new Histogram({
    name: "cardamomsill_run_seconds",
    help: "Time from a placement to the end of its run, by how it ended",
    labelNames: [...JOB_LABELS, "how"],
    buckets: BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #jobs = new Histogram({
    name: "cardamomsill_job_total_seconds",
    help: "Time from acceptance to the end of the job, by outcome",
    labelNames: [...JOB_LABELS, "outcome"],
    buckets: BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #openJobs = new Gauge({
    name: "cardamomsill_open_jobs",
    help: "Jobs that have not ended, at the leader, by state",
    labelNames: ["state"],
    registers: this.#registers,
  });
  readonly #runners = new Gauge({
    name: "cardamomsill_runners",
    help: "Runners at the leader, by condition",
    labelNames: ["condition"],
    registers: this.#registers,
  });
  readonly #term = new Gauge({
    name: "cardamomsill_leader_term",
    help: "Term that this process leads; 0 while it does not",
    registers: this.#registers,
  });
  readonly #catalog = new Gauge({
    name: "cardamomsill_catalog_version",
    help: "Version of the catalog in force at the leader",
    registers: this.#registers,
  });
  readonly #droppedLines = new Counter({
    name: "cardamomsill_log_lines_dropped_total",
    help: "Log lines that were dropped because their reader was too slow",
    registers: this.#registers,
  });

  constructor(options: PrometheusSchedulingMetricsOptions) {
    this.#options = options;
  }

  recordCall({ action, outcome, tookMs }: CallMeasurement): void {
    this.#calls.observe({ action, outcome }, tookMs / MS_PER_SECOND);
  }

  recordWait(labels: JobLabels, waitMs: number): void {
    this.#waits.observe({ ...labels }, waitMs / MS_PER_SECOND);
  }

  recordRun(labels: JobLabels, how: RunEnd, runMs: number): void {
    this.#runs.observe({ ...labels, how }, runMs / MS_PER_SECOND);
  }

  recordJob(labels: JobLabels, outcome: JobState, totalMs: number): void {
    this.#jobs.observe({ ...labels, outcome }, totalMs / MS_PER_SECOND);
  }

  /** Renders all metrics in the text format of Prometheus. */
  render(): Promise<string> {
    const { readGauges, readDroppedLineCount } = this.#options;
    this.#droppedLines.reset();
    this.#droppedLines.inc(readDroppedLineCount());
    this.#openJobs.reset();
    this.#runners.reset();
    const gauges = readGauges();
    this.#term.set(gauges?.term ?? 0);
    if (gauges !== undefined) {
      this.#catalog.set(gauges.catalogVersion);
      for (const [state, count] of gauges.openJobCounts) {
        this.#openJobs.set({ state }, count);
      }
      for (const [condition, count] of gauges.runnerCounts) {
        this.#runners.set({ condition }, count);
      }
    }
    return this.#registry.metrics();
  }
}
