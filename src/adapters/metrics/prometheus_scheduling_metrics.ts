/** Scheduling metrics with prom-client. */
import { Counter, Histogram, Registry } from "prom-client";
import type { JobState, RunEnd } from "../../domain/index.ts";
import type {
  CallMeasurement,
  CloseReason,
  ConnectionMetrics,
  DiskMetrics,
  DiskWriteKind,
  DiskWriteOutcome,
  EventLoopMetrics,
  JobLabels,
  JobPunctuality,
  LeaderMetrics,
  ProcessUsage,
  RunFaultKind,
  RunnerRemoval,
  RunnerRequestKind,
  RunnerRequestOutcome,
  SchedulingGauges,
  SchedulingMetrics,
} from "../../ports/index.ts";
import { LeaderGauges } from "./leader_gauges.ts";
import { PrometheusConnectionMetrics } from "./prometheus_connection_metrics.ts";

const MS_PER_SECOND = 1_000;
/** Buckets from one network round trip to the longest wait for a job. */
const BUCKETS_SECONDS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60];
/** Buckets from one step of a plan to a leader that can hardly work. */
const SHORT_BUCKETS_SECONDS = [
  0.001,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
];
const JOB_LABELS = ["team", "queue"] as const;

/** Options of {@link PrometheusSchedulingMetrics}. */
export interface PrometheusSchedulingMetricsOptions {
  /** Reads the gauges of the leader, or undefined on any other process. */
  readonly readGauges: () => SchedulingGauges | undefined;
  /** Reads the number of log lines that were dropped. */
  readonly readDroppedLineCount: () => number;
  readonly usage: ProcessUsage;
}

/** Collects the scheduling metrics of one process. */
export class PrometheusSchedulingMetrics
  implements
    ConnectionMetrics,
    DiskMetrics,
    EventLoopMetrics,
    LeaderMetrics,
    SchedulingMetrics {
  readonly #options: PrometheusSchedulingMetricsOptions;
  readonly #registry = new Registry();
  readonly #registers = [this.#registry];
  readonly #gauges = new LeaderGauges(this.#registry);
  readonly #connections = new PrometheusConnectionMetrics(this.#registry);
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
  readonly #completedJobs = new Counter({
    name: "cardamomsill_completed_jobs_total",
    help: "Completed jobs without a schedule, by whether they were in time",
    labelNames: [...JOB_LABELS, "punctuality"],
    registers: this.#registers,
  });
  readonly #droppedLines = new Counter({
    name: "cardamomsill_log_lines_dropped_total",
    help: "Log lines that were dropped because their reader was too slow",
    registers: this.#registers,
  });
  readonly #loopDelays = new Histogram({
    name: "cardamomsill_event_loop_delay_seconds",
    help: "How late a timer of the process fired, four times a second",
    buckets: SHORT_BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #cpu = new Counter({
    name: "cardamomsill_process_cpu_seconds_total",
    help: "Processor time of the process",
    registers: this.#registers,
  });
  readonly #loopActive = new Counter({
    name: "cardamomsill_event_loop_active_seconds_total",
    help: "Time in which the event loop was not waiting for events",
    registers: this.#registers,
  });
  readonly #commits = new Histogram({
    name: "cardamomsill_commit_seconds",
    help: "Time from a proposal of the leader to its outcome",
    labelNames: ["outcome"],
    buckets: SHORT_BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #diskWrites = new Histogram({
    name: "cardamomsill_disk_write_seconds",
    help: "Time to store a write durably or to reject it, by kind and outcome",
    labelNames: ["kind", "outcome"],
    buckets: SHORT_BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #plans = new Histogram({
    name: "cardamomsill_plan_seconds",
    help: "Time to plan the starts of waiting tasks",
    buckets: SHORT_BUCKETS_SECONDS,
    registers: this.#registers,
  });
  readonly #plannedStarts = new Counter({
    name: "cardamomsill_planned_starts_total",
    help: "Starts in plans, also in those that the log did not take",
    registers: this.#registers,
  });
  readonly #runnerRequests = new Counter({
    name: "cardamomsill_runner_requests_total",
    help: "Requests of the leader to runners, by kind and outcome",
    labelNames: ["kind", "outcome"],
    registers: this.#registers,
  });
  readonly #removedRunners = new Counter({
    name: "cardamomsill_removed_runners_total",
    help: "Runners removed without notice of a shutdown, by reason",
    labelNames: ["reason"],
    registers: this.#registers,
  });
  readonly #runFaults = new Counter({
    name: "cardamomsill_run_faults_total",
    help: "Refused starts, still runs and newly suspect runners, by kind",
    labelNames: ["kind"],
    registers: this.#registers,
  });
  readonly #rejectedJobs = new Counter({
    name: "cardamomsill_rejected_jobs_total",
    help: "Jobs that the leader rejected for want of room, by reason",
    labelNames: [...JOB_LABELS, "reason"],
    registers: this.#registers,
  });
  readonly #messages = new Counter({
    name: "cardamomsill_leader_messages_total",
    help: "Messages of entries and controllers to the leader, by method",
    labelNames: ["method"],
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

  countPunctuality(labels: JobLabels, punctuality: JobPunctuality): void {
    this.#completedJobs.inc({ ...labels, punctuality });
  }

  recordEventLoopDelay(delayMs: number): void {
    this.#loopDelays.observe(delayMs / MS_PER_SECOND);
  }

  recordCommit(outcome: string, tookMs: number): void {
    this.#commits.observe({ outcome }, tookMs / MS_PER_SECOND);
  }

  recordDiskWrite(
    kind: DiskWriteKind,
    outcome: DiskWriteOutcome,
    tookMs: number,
  ): void {
    this.#diskWrites.observe({ kind, outcome }, tookMs / MS_PER_SECOND);
  }

  recordPlan(tookMs: number, startCount: number): void {
    this.#plans.observe(tookMs / MS_PER_SECOND);
    this.#plannedStarts.inc(startCount);
  }

  countRunnerRequest(
    kind: RunnerRequestKind,
    outcome: RunnerRequestOutcome,
  ): void {
    this.#runnerRequests.inc({ kind, outcome });
  }

  countRemovedRunner(reason: RunnerRemoval): void {
    this.#removedRunners.inc({ reason });
  }

  countRunFault(kind: RunFaultKind): void {
    this.#runFaults.inc({ kind });
  }

  countRejectedJob(labels: JobLabels, reason: string): void {
    this.#rejectedJobs.inc({ ...labels, reason });
  }

  countMessage(method: string): void {
    this.#messages.inc({ method });
  }

  countClosedConnection(reason: CloseReason): void {
    this.#connections.countClosedConnection(reason);
  }

  addHeldBytes(byteCount: number): void {
    this.#connections.addHeldBytes(byteCount);
  }

  /** Renders all metrics in the text format of Prometheus. */
  render(): Promise<string> {
    const { readGauges, readDroppedLineCount, usage } = this.#options;
    const { cpuMs, loopActiveMs } = usage.read();
    this.#cpu.reset();
    this.#cpu.inc(cpuMs / MS_PER_SECOND);
    this.#loopActive.reset();
    this.#loopActive.inc(loopActiveMs / MS_PER_SECOND);
    this.#droppedLines.reset();
    this.#droppedLines.inc(readDroppedLineCount());
    this.#gauges.set(readGauges());
    return this.#registry.metrics();
  }
}
