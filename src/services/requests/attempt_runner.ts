/**
 * Runs the attempts of a request: acquires a permit, takes the claim, sends the
 * attempt and retries where that is safe.
 */
import { Result } from "true-myth";
import {
  type CallerAnswer,
  computeConnectionsPerEntry,
  createFailure,
  type Failure,
  type RequestFailure,
} from "../../domain/index.ts";
import type { FleetIndexCache, RetryBudget } from "../../decisions/index.ts";
import type {
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
  Clock,
} from "../../ports/index.ts";
import type { Permit, PermitSource } from "../permits.ts";
import { AnswerBody, type BodyEnd } from "./answer_body.ts";
import type { BackendHealth } from "./backend_health.ts";
import type { OutcomeRecorder } from "./outcome_recorder.ts";
import { createRunRefusal } from "./refusals.ts";
import type { RequestBody } from "./request_body.ts";
import type { RequestRun } from "./request_run.ts";

const MAX_ATTEMPTS = 3;

/** Options of {@link AttemptRunner}. */
export interface AttemptRunnerOptions {
  readonly permits: PermitSource;
  readonly client: BackendClient;
  readonly budget: RetryBudget;
  readonly health: BackendHealth;
  readonly outcomes: OutcomeRecorder;
  readonly fleet: FleetIndexCache;
  readonly clock: Clock;
  /** Number of entries in the deployment. */
  readonly entryCount: number;
  /** Aborts when this entry shuts down and can no longer wait for work. */
  readonly signal: AbortSignal;
}

/** An attempt with an unknown outcome: it may have run but gave no answer. */
interface UnknownAttempt {
  readonly permit: Permit;
  readonly failure: Failure;
}

/** Runs attempts until one is answered or no further attempt is allowed. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs the attempts of an admitted request.
   *
   * @param run - The request.
   * @param body - The body of the request.
   * @returns The answer, or a failure that says whether the work may have run.
   */
  async run(
    run: RequestRun,
    body: RequestBody,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const triedIds = new Set<string>();
    const { outcomes } = this.#options;
    let unknownAttempt: UnknownAttempt | undefined;
    this.#options.budget.recordRequest(run.startedAtMs);
    for (let attemptCount = 1;; attemptCount += 1) {
      const permit = await this.#acquire(run, triedIds);
      if (permit.isErr) {
        return this.#endWithoutAnswer(run, unknownAttempt, permit.error);
      }
      const replay = await run.claim?.take();
      if (replay !== undefined) {
        permit.value.release({ ended: true, healthy: undefined });
        return outcomes.replay(run, replay);
      }
      const sent = await this.#send(run, permit.value, body);
      if (sent.isOk) {
        return Result.ok(this.#createAnswer(run, permit.value, sent.value));
      }
      this.#releaseFailed(run, permit.value, sent.error);
      triedIds.add(permit.value.backend.backendServerId);
      const { failure, notStarted } = sent.error;
      if (!notStarted) {
        unknownAttempt ??= { permit: permit.value, failure };
      }
      const mayRetry = attemptCount < MAX_ATTEMPTS &&
        this.#mayRetry(run, body, sent.error);
      if (!mayRetry) {
        return this.#endWithoutAnswer(run, unknownAttempt, failure);
      }
    }
  }

  async #acquire(
    run: RequestRun,
    triedIds: ReadonlySet<string>,
  ): Promise<Result<Permit, Failure>> {
    const { permits, health, clock } = this.#options;
    const { request, admission } = run;
    const waitsSinceMs = triedIds.size === 0
      ? run.startedAtMs
      : clock.monotonicMs();
    const queueEndMs = waitsSinceMs + admission.queue.maxWaitMs;
    const permit = await permits.acquire({
      admission,
      excludedBackendIds: new Set([
        ...triedIds,
        ...health.listEjected(admission.poolNames),
      ]),
      waitUntilMs: Math.min(queueEndMs, request.deadlineAtMs),
      deadlineAtMs: request.deadlineAtMs,
      signal: request.signal,
      findRefusal: run.findRefusal,
    });
    run.waitMs = clock.monotonicMs() - run.startedAtMs;
    return permit;
  }

  async #send(
    run: RequestRun,
    permit: Permit,
    body: RequestBody,
  ): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const { client, clock, health } = this.#options;
    const { request } = run;
    const leftMs = request.deadlineAtMs - clock.monotonicMs();
    if (leftMs <= 0 || request.signal.aborted) {
      return Result.err({
        failure: createNotStartedFailure(leftMs),
        notStarted: true,
      });
    }
    // Taking the claim may have taken longer than the permit was valid.
    if (permit.mayStart?.() === false) {
      return Result.err({
        failure: createLapsedPermitFailure(),
        notStarted: true,
      });
    }
    health.recordStart(permit);
    return await client.send({
      attemptId: permit.attemptId,
      host: permit.backend.host,
      port: permit.backend.port,
      connectionCount: computeConnectionsPerEntry(
        permit.backend,
        this.#options.entryCount,
      ),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: body.take(),
      leaseMs: Math.min(permit.leaseMs, leftMs),
      deadlineMs: leftMs,
      signal: this.#findAttemptSignal(run),
    });
  }

  // A resend under the same idempotency key must find the outcome. Work under a
  // claim therefore goes on when the caller disconnects; its lease bounds it.
  #findAttemptSignal({ claim, request }: RequestRun): AbortSignal {
    return claim === undefined ? request.signal : this.#options.signal;
  }

  #releaseFailed(
    run: RequestRun,
    permit: Permit,
    { failure, notStarted }: AttemptFailure,
  ): void {
    const isEvidence = failure.kind === "noBackendServer" ||
      (!notStarted && !this.#findAttemptSignal(run).aborted);
    const healthy = isEvidence ? false : undefined;
    permit.release({ ended: notStarted, healthy });
    this.#options.health.recordResult(permit, run.contentDigest, healthy);
  }

  #mayRetry(
    { request, claim }: RequestRun,
    body: RequestBody,
    { failure, notStarted }: AttemptFailure,
  ): boolean {
    const { budget, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const isSafeToRepeat = notStarted ||
      (request.idempotent && claim === undefined);
    return isSafeToRepeat && failure.kind !== "invalidInput" && body.canSend &&
      !request.signal.aborted && nowMs < request.deadlineAtMs &&
      budget.takeRetry(nowMs);
  }

  #createAnswer(
    run: RequestRun,
    permit: Permit,
    answer: AttemptAnswer,
  ): CallerAnswer {
    const decisionId = this.#options.outcomes.recordPlacement(run, permit);
    const { status, headers } = answer;
    const body = new AnswerBody({
      source: answer.body,
      signal: run.request.signal,
      readToEnd: run.claim !== undefined,
      onEnd: (end) => this.#endAnswer(run, permit, { status, end }),
    });
    return {
      status,
      headers,
      requestId: run.request.requestId,
      decisionId,
      body,
    };
  }

  #endAnswer(
    run: RequestRun,
    permit: Permit,
    { status, end }: { readonly status: number; readonly end: BodyEnd },
  ): void {
    const isWhole = end === "whole";
    const isSuccess = status < 500;
    const isCutByServer = !isWhole && !this.#findAttemptSignal(run).aborted;
    const healthy = isWhole ? isSuccess : isCutByServer ? false : undefined;
    permit.release({ ended: isWhole, healthy });
    this.#options.health.recordResult(permit, run.contentDigest, healthy);
    const state = isWhole ? isSuccess ? "succeeded" : "failed" : "unknown";
    run.claim?.settle(isWhole ? { state, status } : { state });
    this.#options.outcomes.countRun(run, state);
  }

  #endWithoutAnswer(
    run: RequestRun,
    unknownAttempt: UnknownAttempt | undefined,
    failure: Failure,
  ): Result<CallerAnswer, RequestFailure> {
    const { outcomes, fleet } = this.#options;
    if (unknownAttempt !== undefined) {
      run.claim?.settle({ state: "unknown" });
      return Result.err(
        outcomes.fail(run, unknownAttempt.permit, unknownAttempt.failure),
      );
    }
    run.claim?.settle({ state: "notRun" });
    const refusal = createRunRefusal(failure, run.admission, fleet.current());
    return Result.err(
      outcomes.refuse(run.request, run.startedAtMs, refusal),
    );
  }
}

function createNotStartedFailure(leftMs: number): Failure {
  return leftMs <= 0
    ? createFailure("expired", "the deadline passed before the work started")
    : createFailure(
      "cancelled",
      "the caller disconnected before the work started",
    );
}

function createLapsedPermitFailure(): Failure {
  return createFailure(
    "overloaded",
    "the permit expired before the attempt was sent",
    { remedy: "try again" },
  );
}
