/** Decides whether a new job is accepted while its pool has too little room. */
import type { JobQueue, JobSpec } from "../../domain/index.ts";
import { USEFUL_TIME_FACTOR } from "./full_pool.ts";
import { computeCriticalPaths } from "./ready_step.ts";
import type { Backlog, FullPool } from "./room_order.ts";

/**
 * Share of an expected wait that a rejection counts on. The durations of
 * steps are rough estimates, and a job is delayed rather than rejected in doubt.
 */
const CERTAIN_SHARE = 0.7;
/** Bounds of the time after which a rejected caller may return (ms). */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;

/** Input of {@link JobAdmissionPolicy.decide}. */
export interface AdmissionInput {
  readonly spec: JobSpec;
  readonly queue: JobQueue;
  /** Name of the caller's team. */
  readonly team: string | undefined;
  /** The queue's pool; undefined while it has enough room. */
  readonly full: FullPool | undefined;
  /** CPU that the pool may have soon, with VMs of other pools (millicores). */
  readonly reachableMillicores: number;
  /** How much longer than estimated the runs of the queue take (ms). */
  readonly delayMs: number;
  /** Time for which the request has waited (ms). */
  readonly waitedMs: number;
}

/** Why a job is rejected, with the inputs. */
export interface AdmissionRejection {
  /**
   * Whether the work before the job is that of its team, which exceeds its
   * share, or that of all teams within theirs.
   */
  readonly reason: "teamBacklog" | "poolBacklog";
  /** Work that is before the job (millicore-ms). */
  readonly backlog: Backlog;
  /** CPU that may work on this backlog soon (millicores). */
  readonly capacityMillicores: number;
  /** Time until the work before the job has been done (ms). */
  readonly expectedWaitMs: number;
  /** Time from now on for which the result would be of use (ms). */
  readonly usefulMs: number;
  readonly retryAfterMs: number;
}

/** Decides about new jobs. */
export interface JobAdmissionPolicy {
  /**
   * Decides about a job.
   *
   * @param input - The job and the state of its pool.
   * @returns Undefined when the job is accepted.
   */
  decide(input: AdmissionInput): AdmissionRejection | undefined;
}

/** Baseline: accepts all jobs. */
export class AcceptAllPolicy implements JobAdmissionPolicy {
  decide(): undefined {
    return undefined;
  }
}

/**
 * Rejects a job whose result would come too late to be of use: work that can
 * still end in time fills the room until the job is late, and the work before it
 * takes until its result is useless. Long-running and scheduled jobs are always
 * accepted.
 */
export class UsefulResultPolicy implements JobAdmissionPolicy {
  decide(
    input: AdmissionInput,
  ): AdmissionRejection | undefined {
    const { spec, team, full, reachableMillicores } = input;
    const isBound = spec.schedule === undefined &&
      spec.steps.every(({ isEndless }) => !isEndless);
    if (full === undefined || full.capacityMillicores === 0 || !isBound) {
      return undefined;
    }
    const times = computeTimes(input);
    const { backlog, backlogByTeam, capacityMillicores, shareByTeam } = full;
    const share = shareByTeam.get(team ?? "");
    const ofTeam = backlogByTeam.get(team ?? "");
    // The work beyond the shares of other teams comes after the job.
    const growth = Math.max(1, reachableMillicores / capacityMillicores);
    return share === undefined || ofTeam === undefined
      ? findRejection(
        "poolBacklog",
        backlog,
        growth * capacityMillicores,
        times,
      )
      : findRejection("teamBacklog", ofTeam, growth * share, times);
  }
}

interface JobTimes {
  /** Expected duration of the critical path (ms). */
  readonly pathMs: number;
  /** Time that the job may still wait and end in time (ms). */
  readonly slackMs: number;
  /** Time from now on for which its result would be of use (ms). */
  readonly usefulMs: number;
}

function computeTimes(
  { spec: { steps }, queue, delayMs, waitedMs }: AdmissionInput,
): JobTimes {
  const { stretch, targetLatencyMs } = queue;
  const paths = computeCriticalPaths(steps);
  const longestMs = Math.max(0, ...paths.map(({ durationMs }) => durationMs));
  const pathMs = Math.max(
    0,
    ...paths.map(({ durationMs, stepCount }) =>
      durationMs + stepCount * delayMs
    ),
  );
  const targetMs = stretch * longestMs + targetLatencyMs;
  return {
    pathMs,
    slackMs: Math.max(0, targetMs - waitedMs - pathMs),
    // The target counts the work that steps turn out to need.
    usefulMs: USEFUL_TIME_FACTOR *
        (stretch * Math.max(longestMs, pathMs) + targetLatencyMs) - waitedMs,
  };
}

function findRejection(
  reason: AdmissionRejection["reason"],
  backlog: Backlog,
  capacityMillicores: number,
  { pathMs, slackMs, usefulMs }: JobTimes,
): AdmissionRejection | undefined {
  const inTimeWaitMs = backlog.inTime / capacityMillicores;
  const expectedWaitMs = backlog.useful / capacityMillicores;
  const certainEndMs = CERTAIN_SHARE * expectedWaitMs + pathMs;
  const isCertain = capacityMillicores > 0 &&
    CERTAIN_SHARE * inTimeWaitMs > slackMs && certainEndMs > usefulMs;
  return isCertain
    ? {
      reason,
      backlog,
      capacityMillicores,
      expectedWaitMs,
      usefulMs,
      retryAfterMs: Math.max(
        MIN_RETRY_AFTER_MS,
        Math.min(expectedWaitMs - slackMs, MAX_RETRY_AFTER_MS),
      ),
    }
    : undefined;
}
