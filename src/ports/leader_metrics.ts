/** Ports for metrics of the process itself and of the leader's own work. */
import type { RunFault } from "../domain/index.ts";

import type { JobLabels } from "./scheduling_metrics.ts";

/** A kind of request that the leader sends to a runner. */
export type RunnerRequestKind = "poll" | "start" | "stop";

/** What became of a request to a runner. */
export type RunnerRequestOutcome = "answered" | "refused" | "unanswered";

/** Why the leader removed a runner that had not announced its shutdown. */
export type RunnerRemoval =
  | "ended"
  | "leasesExpired"
  /** It refuses connections and runs nothing. */
  | "notListening"
  | "replaced";

/** Why the leader counts a run against its runner, or a runner as suspect. */
export type RunFaultKind = RunFault | "suspect";

/** Records how late the timers of the process fire. */
export interface EventLoopMetrics {
  /** Records the delay of one timer (ms). */
  recordEventLoopDelay(delayMs: number): void;
}

/** What a write to the disk of a replica stores. */
export type DiskWriteKind = "log" | "vote" | "snapshot";

/** Whether a write is durable, or was rejected, as by a full disk. */
export type DiskWriteOutcome = "stored" | "rejected";

/** Records measurements of the disk of the process. */
export interface DiskMetrics {
  /** Records a write, which includes its sync to disk, and its duration (ms). */
  recordDiskWrite(
    kind: DiskWriteKind,
    outcome: DiskWriteOutcome,
    tookMs: number,
  ): void;
}

/** Records measurements of the leader's own work. */
export interface LeaderMetrics {
  /**
   * Records a proposal to the log.
   *
   * @param outcome - `applied`, or the error kind of the failure.
   * @param tookMs - Time from the proposal to its outcome (ms).
   */
  recordCommit(outcome: string, tookMs: number): void;
  /** Records a plan that took a time (ms) and starts a number of tasks. */
  recordPlan(tookMs: number, startCount: number): void;
  /** Counts a request to a runner. */
  countRunnerRequest(
    kind: RunnerRequestKind,
    outcome: RunnerRequestOutcome,
  ): void;
  /** Counts a removed runner. */
  countRemovedRunner(reason: RunnerRemoval): void;
  /** Counts a run that speaks against its runner, or a new suspect runner. */
  countRunFault(kind: RunFaultKind): void;
  /** Counts a job that was rejected for want of room, by reason. */
  countRejectedJob(labels: JobLabels, reason: string): void;
  /** Counts a message of an entry or controller that the leader handles. */
  countMessage(method: string): void;
}
