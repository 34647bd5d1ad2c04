/** Port for metrics of jobs, runs and runners. */
import type { JobState, RunEnd } from "../domain/index.ts";

/** Measurements of one answered call about a job or a queue. */
export interface CallMeasurement {
  readonly action: "submit" | "read" | "cancel";
  /** `answered`, or the error kind of the failure. */
  readonly outcome: string;
  readonly tookMs: number;
}

/** Labels of the metric series in which a job is counted. */
export interface JobLabels {
  readonly team: string;
  readonly queue: string;
}

/**
 * Whether a completed job ended by its target time, which follows from the
 * estimates of its steps. `lateByWait` jobs would have, counted from their
 * acceptance, and are late counted from the caller's request.
 */
export type JobPunctuality = "inTime" | "lateByWait" | "late";

/** Current gauge values, as the leader knows them. */
export interface SchedulingGauges {
  readonly term: number;
  readonly catalogVersion: number;
  /** Jobs that have not ended, by state. */
  readonly openJobCounts: ReadonlyMap<JobState, number>;
  /** Number of runners by condition. */
  readonly runnerCounts: ReadonlyMap<RunnerCondition, number>;
  /** Suspect runners by pool; pools without any are left out. */
  readonly suspectRunnerCounts?: ReadonlyMap<string, number> | undefined;
  /** Number of tasks that could start now, by pool. */
  readonly waitingTaskCounts: ReadonlyMap<string, number>;
  /** Free CPU of the runners that may get work, by pool. */
  readonly freeMillicores: ReadonlyMap<string, number>;
  /** Number of waiting steps that come behind others in full pools, by reason. */
  readonly delayedStepCounts: ReadonlyMap<string, number>;
  /** CPU of all VMs by pool and share; shares of nothing are left out. */
  readonly poolMillicores: ReadonlyMap<string, ReadonlyMap<PoolShare, number>>;
  /** What the pools need; left out where VMs cannot be moved. */
  readonly poolNeeds?: ReadonlyMap<string, PoolNeed>;
}

/** What a pool needs, as the moves of VMs are planned with. */
export interface PoolNeed {
  /** CPU that its work needs now, or when a VM that moves now has arrived. */
  readonly wantedMillicores: number;
  /** Time until its next turn (ms); undefined if none is expected. */
  readonly nextTurnMs: number | undefined;
}

/**
 * What a share of a pool's capacity is used for, or what withholds it from work:
 *
 * - `used`: allocated to tasks on runners that are in service.
 * - `free`: free on runners that may get work.
 * - `suspect`: free on runners that get one task at a time, because runs failed
 *   there.
 * - `overdue`: free on runners that have not answered a request in time.
 * - `cordoned`: runners whose VM is about to be maintained, with the work on
 *   them.
 * - `maintenance`: VMs in maintenance.
 * - `leaving`: free on runners whose VM is about to move to another pool.
 * - `arriving`: VMs that have been moved to the pool and do not serve it yet.
 * - `unheard`: free on runners that have not been heard in this term.
 * - `silent`, `draining`, `zoneOut`: runners that do not answer, are being
 *   drained, or are in a zone that is out of service, with the work on them.
 * - `standby`: VMs of a standby pool.
 * - `empty`, `down`: listed VMs without a known runner, and those not up.
 */
export type PoolShare =
  | "used"
  | "free"
  | "suspect"
  | "overdue"
  | "cordoned"
  | "maintenance"
  | "leaving"
  | "arriving"
  | "unheard"
  | "silent"
  | "draining"
  | "zoneOut"
  | "standby"
  | "empty"
  | "down";

/**
 * Condition of a runner. A `sound` runner answers the leader and is in service.
 * A `draining` runner answers and is being drained. `silent` covers all others:
 * runners that do not answer, are leaving, or are not yet synchronized with the
 * leader.
 */
export type RunnerCondition = "sound" | "draining" | "silent";

/** Records measurements of scheduling. */
export interface SchedulingMetrics {
  /** Records a call that an entry has answered. */
  recordCall(measurement: CallMeasurement): void;
  /** Records the first start of a job and the time that it waited (ms). */
  recordWait(labels: JobLabels, waitMs: number): void;
  /** Records the end of a run and its duration (ms). */
  recordRun(labels: JobLabels, how: RunEnd, runMs: number): void;
  /** Records the end of a job and the time since it was accepted (ms). */
  recordJob(labels: JobLabels, outcome: JobState, totalMs: number): void;
  /** Counts a completed job, unless it has a schedule. */
  countPunctuality(labels: JobLabels, punctuality: JobPunctuality): void;
}
