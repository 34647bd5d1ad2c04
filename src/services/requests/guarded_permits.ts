/** Refuses requests early that would wait too long for a permit. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import {
  type Admission,
  type OverloadPolicy,
  RunTimeEstimate,
  TeamBacklog,
  type WaitRefusal,
} from "../../decisions/index.ts";
import type { Clock } from "../../ports/index.ts";
import type { Permit, PermitRequest, PermitSource } from "../permits.ts";

const RETRY_AFTER_WAIT_MS = 1_000;

/** Options of {@link GuardedPermitSource}. */
export interface GuardedPermitOptions {
  readonly permits: PermitSource;
  readonly policy: OverloadPolicy;
  readonly clock: Clock;
}

/**
 * Wraps a permit source with overload protection. It keeps one backlog for each
 * team on each queue and refuses requests that the overload policy rejects.
 */
export class GuardedPermitSource implements PermitSource {
  readonly #options: GuardedPermitOptions;
  readonly #backlogs = new Map<string, TeamBacklog>();
  readonly #runTimes = new Map<string, RunTimeEstimate>();
  #totalWaitingCount = 0;

  constructor(options: GuardedPermitOptions) {
    this.#options = options;
  }

  /** Number of requests that wait for a permit on this entry. */
  get waitingCount(): number {
    return this.#totalWaitingCount;
  }

  async acquire(request: PermitRequest): Promise<Result<Permit, Failure>> {
    const { permits, policy, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const backlog = this.#findBacklog(request.admission);
    const wait = {
      backlog,
      totalWaitingCount: this.#totalWaitingCount,
      maxWaitMs: request.waitUntilMs - nowMs,
      deadlineMs: (request.deadlineAtMs ?? request.waitUntilMs) - nowMs,
      nowMs,
    };
    if (request.signal.aborted) {
      return Result.err(createCancelledFailure());
    }
    const refusal = policy.findRefusal(wait);
    if (refusal !== undefined) {
      return Result.err(createRefusalFailure(request, refusal));
    }
    backlog.enter(nowMs);
    this.#totalWaitingCount += 1;
    const waitUntilMs = nowMs + policy.findWaitMs(wait);
    const permit = await permits.acquire({ ...request, waitUntilMs });
    this.#totalWaitingCount -= 1;
    backlog.leave(clock.monotonicMs(), permit.isOk);
    return permit
      .mapErr(withRetryAfter)
      .andThen((granted) => this.#wrapPermit(granted, request));
  }

  #wrapPermit(
    permit: Permit,
    request: PermitRequest,
  ): Result<Permit, Failure> {
    if (request.signal.aborted) {
      permit.release({ ended: true, healthy: undefined });
      return Result.err(createCancelledFailure());
    }
    const { clock } = this.#options;
    const runTimes = this.#findRunTimes(request.admission.queue.name);
    const grantedAtMs = clock.monotonicMs();
    return Result.ok({
      ...permit,
      release: (end) => {
        if (end.ended && end.healthy === true) {
          runTimes.record(clock.monotonicMs() - grantedAtMs);
        }
        permit.release(end);
      },
    });
  }

  #findBacklog({ teamName, queue }: Admission): TeamBacklog {
    const key = `${queue.name}/${teamName}`;
    const known = this.#backlogs.get(key);
    if (known !== undefined) {
      return known;
    }
    const backlog = new TeamBacklog(this.#findRunTimes(queue.name));
    this.#backlogs.set(key, backlog);
    return backlog;
  }

  #findRunTimes(queueName: string): RunTimeEstimate {
    const known = this.#runTimes.get(queueName);
    if (known !== undefined) {
      return known;
    }
    const runTimes = new RunTimeEstimate();
    this.#runTimes.set(queueName, runTimes);
    return runTimes;
  }
}

function createCancelledFailure(): Failure {
  return createFailure(
    "cancelled",
    "the caller disconnected before the work started",
  );
}

function createRefusalFailure(
  { admission }: PermitRequest,
  refusal: WaitRefusal,
): Failure {
  const { reason, retryAfterMs, waitingCount, estimatedWaitMs } = refusal;
  const workload =
    `team/${admission.teamName} on queue/${admission.queue.name}`;
  const detail = estimatedWaitMs === undefined
    ? { waitingCount }
    : { waitingCount, estimatedWaitMs };
  if (reason === "tooLate") {
    return createFailure(
      "expired",
      `too little time is left before the deadline for work of ${workload}`,
      { detail, remedy: "send the request with a longer deadline" },
    );
  }
  const cause = reason === "tooMany"
    ? "the maximum number of requests is already waiting"
    : `the expected wait exceeds maxWaitMs or the deadline`;
  return createFailure("overloaded", `${cause}: ${workload}`, {
    retryAfterMs,
    detail,
    remedy: "try again after the given time",
  });
}

function withRetryAfter(failure: Failure): Failure {
  const isFull = failure.kind === "overloaded" ||
    failure.kind === "teamLimitReached" || failure.kind === "noBackendServer";
  return isFull && failure.retryAfterMs === undefined
    ? { ...failure, retryAfterMs: RETRY_AFTER_WAIT_MS }
    : failure;
}
