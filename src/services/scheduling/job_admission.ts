/** Rejects new jobs at the leader whose results would come too late. */
import type {
  AdmissionRejection,
  JobAdmissionPolicy,
  RunDelays,
} from "../../decisions/index.ts";
import {
  createFailure,
  type Failure,
  findQueueLabel,
  formatQueueAddress,
  type JobQueue,
  type JobSpec,
} from "../../domain/index.ts";
import type { Clock, LeaderMetrics, Logger } from "../../ports/index.ts";
import type { RoomWatch } from "./room_watch.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link JobAdmission}. */
export interface JobAdmissionOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: LeaderMetrics;
  readonly policy: JobAdmissionPolicy;
  readonly room: Pick<RoomWatch, "sample">;
  /** Delays of recent runs by queue. */
  readonly delays: Pick<RunDelays, "find">;
}

/** A job that is not stored yet, with its queue and team. */
export interface NewJob {
  readonly spec: JobSpec;
  readonly queue: JobQueue;
  /** Id of the caller's team. */
  readonly team: string | undefined;
  /** Time for which the request has waited (ms). */
  readonly waitedMs: number;
}

/** Asks the policy about new jobs; logs and counts rejections. */
export class JobAdmission {
  readonly #options: JobAdmissionOptions;

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Decides about a job without a log line or a count.
   *
   * @param job - The job.
   * @returns Why it would be rejected; undefined when it would be accepted.
   */
  preview(
    { spec, queue, team, waitedMs }: NewJob,
  ): AdmissionRejection | undefined {
    const { clock, delays, policy, room } = this.#options;
    const { order, reachableMillicores } = room.sample;
    return policy.decide({
      spec,
      queue,
      team,
      full: order.fullPools.get(queue.pool),
      reachableMillicores: reachableMillicores.get(queue.pool) ?? 0,
      delayMs: delays.find(formatQueueAddress(queue), clock.nowMs()),
      waitedMs,
    });
  }

  /**
   * Decides about a job that is certainly not in the log.
   *
   * @param job - The job.
   * @returns `overloaded` when it is rejected; undefined when it is accepted.
   */
  findRejection(job: NewJob): Failure | undefined {
    const { spec, queue, team, waitedMs } = job;
    const { clock, delays, log, logger, metrics, room } = this.#options;
    // Another leader may accept it meanwhile.
    if (!log.holdsLeaderLease) {
      return undefined;
    }
    const rejection = this.preview(job);
    if (rejection === undefined) {
      return undefined;
    }
    const { expectedWaitMs, reason, retryAfterMs, usefulMs } = rejection;
    const queueAddress = formatQueueAddress(queue);
    const queueLabel = findQueueLabel(
      log.state.catalog,
      { queue: queue.name, queueAddress },
    );
    logger.info({
      jobId: spec.jobId,
      queue: queueLabel,
      priority: queue.priority,
      team,
      pool: queue.pool,
      reason,
      inTimeBacklogCoreMs: Math.round(rejection.backlog.inTime / 1_000),
      usefulBacklogCoreMs: Math.round(rejection.backlog.useful / 1_000),
      capacityMillicores: Math.round(rejection.capacityMillicores),
      expectedWaitMs: Math.round(expectedWaitMs),
      usefulMs: Math.round(usefulMs),
      waitedMs,
      runDelayMs: Math.round(delays.find(queueAddress, clock.nowMs())),
      retryAfterMs: Math.round(retryAfterMs),
      sampleAgeMs: Math.round(clock.monotonicMs() - room.sample.atMs),
    }, "rejected a job for want of room");
    metrics.countRejectedJob({ queue: queueLabel, team: team ?? "" }, reason);
    return createFailure(
      "overloaded",
      `pool ${queue.pool} is full: job ${spec.jobId} would wait for ${
        Math.round(expectedWaitMs)
      } ms, and its result is of use for ${Math.round(usefulMs)} ms`,
      {
        remedy: "send the job again after the backlog has gone",
        retryAfterMs: Math.round(retryAfterMs),
      },
    );
  }
}
