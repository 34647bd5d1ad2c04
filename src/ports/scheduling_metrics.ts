/** Metrics of jobs, runs and runners, as the scheduler sees them. */
import type { JobState, RunEnd } from "../domain/index.ts";

/** One answered call about a job or a queue. */
export interface CallMeasurement {
  readonly action: "submit" | "read" | "cancel";
  /** `answered`, or the kind of the failure. */
  readonly outcome: string;
  readonly tookMs: number;
}

/** Names the series that a job counts in. */
export interface JobLabels {
  readonly team: string;
  readonly queue: string;
}

/** What a leader keeps, as of now. */
export interface SchedulingGauges {
  readonly term: number;
  readonly catalogVersion: number;
  /** Jobs that have not ended, by state. */
  readonly openJobCounts: ReadonlyMap<JobState, number>;
  /** Runners by what the leader knows of them. */
  readonly runnerCounts: ReadonlyMap<RunnerCondition, number>;
}

/** What a leader knows of a runner. */
export type RunnerCondition = "sound" | "draining" | "silent";

/** Records measurements of scheduling. */
export interface SchedulingMetrics {
  /** Records a call that an entry has answered. */
  recordCall(measurement: CallMeasurement): void;
  /** Records the first start of a job, and how long it waited (ms). */
  recordWait(labels: JobLabels, waitMs: number): void;
  /** Records the end of a run, and how long it took (ms). */
  recordRun(labels: JobLabels, how: RunEnd, runMs: number): void;
  /** Records the end of a job, and the time since it was accepted (ms). */
  recordJob(labels: JobLabels, outcome: JobState, totalMs: number): void;
}
