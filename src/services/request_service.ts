/** Runs callers' requests: admission, permit, attempt, exact outcome. */
import { Result } from "true-myth";
import {
  type CallerAnswer,
  type CallerRequest,
  createFailure,
  type Failure,
  findAnswer,
  type RequestFailure,
  type RequestOutcome,
} from "../domain/index.ts";
import type {
  Admission,
  AdmissionPolicy,
  FleetIndexCache,
  Refusal,
} from "../decisions/index.ts";
import type {
  Agreement,
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
  Clock,
  Logger,
  Metrics,
} from "../ports/index.ts";
import type { DecisionRecorder } from "./decision_recorder.ts";
import type { Permit, PermitSource } from "./permits.ts";
import type { RequestHistory } from "./request_history.ts";

const STALE_RETRY_AFTER_MS = 1_000;
const MAX_ATTEMPTS = 3;

/** Options of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly agreement: Agreement;
  readonly fleet: FleetIndexCache;
  readonly admission: AdmissionPolicy;
  readonly permits: PermitSource;
  readonly client: BackendClient;
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Progress of one request through the service. */
interface RequestRun {
  readonly request: CallerRequest;
  readonly startedAtMs: number;
  readonly admission: Admission;
  waitMs: number;
}

/** Serves requests, independent of the front end that brings them. */
export class RequestService {
  readonly #options: RequestServiceOptions;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /**
   * Runs one request.
   *
   * @param request - The caller's request.
   * @returns The whole answer, or a failure that says whether it did not run.
   */
  async run(
    request: CallerRequest,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const { agreement, fleet, admission, clock } = this.#options;
    const startedAtMs = clock.monotonicMs();
    if (agreement.status().freshUntilMs <= startedAtMs) {
      return this.#refuse(request, startedAtMs, createStaleRefusal());
    }
    const admitted = admission.admit(fleet.current(), request);
    if (admitted.isErr) {
      return this.#refuse(request, startedAtMs, admitted.error);
    }
    return await this.#runAdmitted({
      request,
      startedAtMs,
      admission: admitted.value,
      waitMs: 0,
    });
  }

  async #runAdmitted(
    run: RequestRun,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const { request, admission } = run;
    const excludedBackendIds = new Set<string>();
    for (let attemptCount = 1;; attemptCount += 1) {
      const permit = await this.#acquire(run, excludedBackendIds);
      if (permit.isErr) {
        return this.#refuse(
          request,
          run.startedAtMs,
          createWaitRefusal(permit.error, admission),
        );
      }
      const sent = await this.#attempt(run, permit.value);
      if (sent.isOk) {
        return Result.ok(this.#answer(run, permit.value, sent.value));
      }
      permit.value.release({ ended: sent.error.notStarted, healthy: false });
      excludedBackendIds.add(permit.value.backend.backendServerId);
      // A body that was consumed cannot be sent to another backend server.
      const mayRetry = sent.error.notStarted && request.body === undefined &&
        attemptCount < MAX_ATTEMPTS;
      if (!mayRetry) {
        return this.#fail(run, permit.value, sent.error);
      }
    }
  }

  async #acquire(
    run: RequestRun,
    excludedBackendIds: ReadonlySet<string>,
  ): Promise<Result<Permit, Failure>> {
    const { request, admission } = run;
    const queueEndMs = run.startedAtMs + admission.queue.maxWaitMs;
    const permit = await this.#options.permits.acquire({
      admission,
      excludedBackendIds,
      waitUntilMs: Math.min(queueEndMs, request.deadlineAtMs),
      signal: request.signal,
    });
    run.waitMs = this.#options.clock.monotonicMs() - run.startedAtMs;
    return permit;
  }

  #attempt(
    run: RequestRun,
    permit: Permit,
  ): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const { request } = run;
    const leftMs = request.deadlineAtMs - this.#options.clock.monotonicMs();
    return this.#options.client.send({
      attemptId: permit.attemptId,
      host: permit.backend.host,
      port: permit.backend.port,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      leaseMs: Math.min(permit.leaseMs, leftMs),
      deadlineMs: leftMs,
      signal: request.signal,
    });
  }

  #answer(
    run: RequestRun,
    permit: Permit,
    answer: AttemptAnswer,
  ): CallerAnswer {
    const { request, admission } = run;
    const decisionId = this.#options.recorder.record({
      action: "placement",
      subjects: [
        `queue/${admission.queue.name}`,
        `team/${admission.teamName}`,
        `pool/${permit.pool}`,
      ],
      summary:
        `work of queue/${admission.queue.name} ran in pool/${permit.pool}`,
      causes: admission.causes,
    });
    const where =
      `vm/${permit.backend.vm} (backend server ${permit.backend.backendServerId})`;
    this.#options.history.add({
      requestId: request.requestId,
      decisionId,
      summary: `placed on ${where} in zone/${permit.zone}`,
    });
    return {
      status: answer.status,
      headers: answer.headers,
      requestId: request.requestId,
      decisionId,
      body: this.#stream(run, permit, answer),
    };
  }

  async *#stream(run: RequestRun, permit: Permit, answer: AttemptAnswer) {
    let outcome: RequestOutcome = "unknown";
    try {
      yield* answer.body;
      outcome = answer.status < 500 ? "succeeded" : "failed";
    } finally {
      const ended = outcome !== "unknown";
      permit.release({
        ended,
        healthy: ended ? outcome === "succeeded" : undefined,
      });
      this.#count(
        run.request,
        run.admission.teamName,
        outcome,
        run.startedAtMs,
        run.waitMs,
      );
    }
  }

  #fail(
    run: RequestRun,
    permit: Permit,
    { failure, notStarted }: AttemptFailure,
  ): Result<CallerAnswer, RequestFailure> {
    const { request, admission } = run;
    if (notStarted) {
      return this.#refuse(
        request,
        run.startedAtMs,
        createWaitRefusal(failure, admission),
      );
    }
    this.#options.history.add({
      requestId: request.requestId,
      decisionId: "",
      summary: `sent to vm/${permit.backend.vm}; ${failure.message}`,
    });
    this.#count(
      request,
      admission.teamName,
      "unknown",
      run.startedAtMs,
      run.waitMs,
    );
    return Result.err({ failure, requestId: request.requestId });
  }

  #refuse(
    request: CallerRequest,
    startedAtMs: number,
    refusal: Refusal,
  ): Result<CallerAnswer, RequestFailure> {
    const decisionId = this.#options.recorder.record({
      action: "refusal",
      subjects: refusal.subjects,
      summary: `${refusal.failure.kind}: ${refusal.failure.message}`,
      causes: refusal.causes,
      rejected: refusal.rejected,
    });
    const failure = { ...refusal.failure, decisionId };
    this.#options.history.add({
      requestId: request.requestId,
      decisionId,
      summary: `refused: ${failure.message}`,
    });
    const waitMs = this.#options.clock.monotonicMs() - startedAtMs;
    const outcome = findAnswer(failure).notRun ? "notRun" : "unknown";
    this.#count(request, refusal.teamName, outcome, startedAtMs, waitMs);
    return Result.err({ failure, requestId: request.requestId });
  }

  #count(
    request: CallerRequest,
    team: string,
    outcome: RequestOutcome,
    startedAtMs: number,
    waitMs: number,
  ): void {
    const totalMs = this.#options.clock.monotonicMs() - startedAtMs;
    const isKnownQueue =
      this.#options.fleet.current().findQueue(request.queueName) !== undefined;
    this.#options.metrics.recordRequest({
      team,
      // Names that callers invent would grow the label set without bound.
      queue: isKnownQueue ? request.queueName : "",
      outcome,
      waitMs,
      runMs: totalMs - waitMs,
      totalMs,
    });
    this.#options.logger.debug({
      requestId: request.requestId,
      team,
      outcome,
      totalMs,
    }, "request ended");
  }
}

function createStaleRefusal(): Refusal {
  return {
    failure: createFailure(
      "staleConfiguration",
      "this entry cannot vouch for its configuration",
      { retryAfterMs: STALE_RETRY_AFTER_MS, remedy: "try another entry" },
    ),
    teamName: "",
    subjects: [],
    causes: [],
    rejected: [],
  };
}

function createWaitRefusal(failure: Failure, admission: Admission): Refusal {
  return {
    failure,
    teamName: admission.teamName,
    subjects: [`queue/${admission.queue.name}`, `team/${admission.teamName}`],
    causes: admission.causes,
    rejected: admission.poolNames.map((pool) => `pool/${pool}`),
  };
}
