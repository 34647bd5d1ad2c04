/**
 * Sends single start and stop requests to one runner while the leader holds its
 * lease.
 */
import {
  formatTaskId,
  type Runner,
  type RunningTask,
  type TaskId,
} from "../../domain/index.ts";
import type {
  Clock,
  Logger,
  RunName,
  RunnerClient,
  RunnerFailure,
} from "../../ports/index.ts";
import type { LeaseGrants } from "./lease_grants.ts";
import { isOtherClock, type LeaseTracker } from "./lease_tracker.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import type { UncertainStarts } from "./uncertain_starts.ts";

/** Options of {@link RunCommands}. */
export interface RunCommandsOptions {
  readonly status: RunnerStatus;
  readonly log: SchedulingLog;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fencingToken: number;
  readonly lease: LeaseTracker;
  readonly grants: LeaseGrants;
  readonly requests: RequestObserver;
  readonly uncertain: UncertainStarts;
  /** Finds the ticket of a task for a runner; undefined where none is needed. */
  readonly findTicket: (task: TaskId, runner: Runner) => string | undefined;
  /** Returns the runner as it last announced itself. */
  readonly findRunner: () => Runner;
}

/** Why a start is not confirmed. */
export interface StartFailure extends RunnerFailure {
  /** Whether no request was sent, because the run may not get a lease. */
  readonly isUnsent?: boolean;
}

/** Sends each request once and logs those that are not confirmed. */
export class RunCommands {
  readonly #options: RunCommandsOptions;

  constructor(options: RunCommandsOptions) {
    this.#options = options;
  }

  /**
   * Sends a start request with a lease, unless the run may not get one.
   *
   * @param run - The run.
   * @returns Why the start is not confirmed, or undefined when it is.
   */
  async start(run: RunningTask): Promise<StartFailure | undefined> {
    const { client, clock, fencingToken, findRunner, findTicket } =
      this.#options;
    const { grants, lease, logger, requests, status, uncertain } =
      this.#options;
    const leaseUntilMs = grants.grantForStart(run);
    if (leaseUntilMs === undefined) {
      return { isUnsent: true, message: "the run may not get a lease" };
    }
    const runner = findRunner();
    const sentAtMs = clock.monotonicMs();
    const { readingMs } = lease;
    const endRequest = status.beginRequest(0);
    uncertain.recordSent(run);
    const started = await client.start(runner, {
      task: run.id,
      runNumber: run.runNumber,
      text: run.job.spec.text,
      leaseUntilMs,
      fencingToken,
      saved: run.saved,
      ticket: findTicket(run.id, runner),
    });
    endRequest();
    requests.count("start", started);
    if (started.isOk && isOtherClock(leaseUntilMs, started.value.clockMs)) {
      status.recordSuccessorAnswer();
      uncertain.recordUnanswered(run);
      return { message: "a successor of the runner carried out the start" };
    }
    if (started.isOk) {
      lease.observe(started.value.clockMs);
      status.recordAnswer();
      uncertain.recordConfirmed(run);
      return undefined;
    }
    const failure = dropRepeated(started.error, readingMs);
    logger.warn(
      {
        task: formatTaskId(run.id),
        runNumber: run.runNumber,
        runnerId: runner.runnerId,
        failure,
        ...requests.describeRequest(sentAtMs),
      },
      "a start was not confirmed",
    );
    if (failure.refusal === undefined) {
      status.recordNoAnswer();
      uncertain.recordUnanswered(run, failure.isSameProcess);
    } else {
      uncertain.recordRefused(run);
    }
    return failure;
  }

  /**
   * Sends a stop request.
   *
   * @param name - The run.
   * @returns Whether the runner confirmed it.
   */
  async stop(name: RunName): Promise<boolean> {
    const { client, clock, fencingToken, findRunner, log, logger, requests } =
      this.#options;
    if (!log.holdsLeaderLease) {
      return false;
    }
    const runner = findRunner();
    const sentAtMs = clock.monotonicMs();
    const stopped = await client.stop(runner, name, fencingToken);
    requests.count("stop", stopped);
    if (stopped.isErr) {
      logger.warn(
        {
          task: formatTaskId(name.task),
          runNumber: name.runNumber,
          runnerId: runner.runnerId,
          failure: stopped.error,
          ...requests.describeRequest(sentAtMs),
        },
        "a stop was not confirmed",
      );
    }
    return stopped.isOk;
  }
}

// The second answer to an earlier request does not show that the run was not
// started.
function dropRepeated(
  failure: RunnerFailure,
  readingMs: number,
): RunnerFailure {
  const { clockMs = Infinity, refusal } = failure;
  const message = `a refusal from before the start was sent: ${refusal}`;
  return clockMs < readingMs ? { message } : failure;
}
