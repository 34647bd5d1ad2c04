/** Counts each request once and records why it was placed or refused. */
import { Result } from "true-myth";
import {
  type CallerAnswer,
  type CallerRequest,
  type Failure,
  findAnswer,
  type RequestFailure,
  type RequestOutcome,
} from "../../domain/index.ts";
import type { FleetIndexCache, Refusal } from "../../decisions/index.ts";
import type { Clock, Logger, Metrics } from "../../ports/index.ts";
import type { DecisionRecorder } from "../decision_recorder.ts";
import type { Permit } from "../permits.ts";
import { createReplayAnswer } from "../claims/index.ts";
import { createRunRefusal } from "./refusals.ts";
import type { Replay } from "./request_claim.ts";
import type { RequestHistory } from "./request_history.ts";
import type { RequestRun } from "./request_run.ts";

/** Options of {@link OutcomeRecorder}. */
export interface OutcomeRecorderOptions {
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly fleet: FleetIndexCache;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A finished request with the figures that the metrics record. */
export interface CountedRequest {
  readonly request: CallerRequest;
  /** The admitted team, or the team that the refusal names. */
  readonly teamName: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly startedAtMs: number;
  /** Time until a permit was granted, or until the refusal, in milliseconds. */
  readonly waitMs: number;
}

/** Writes request outcomes to the metrics, the history and the audit trail. */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records that a request was placed on a backend server.
   *
   * @param run - The request.
   * @param permit - Permit of the attempt; it names the backend server.
   * @returns Id of the decision.
   */
  recordPlacement(run: RequestRun, permit: Permit): string {
    const { request, admission } = run;
    const decisionId = this.#options.recorder.record({
      action: "placement",
      subjects: [
        `queue/${admission.queue.name}`,
        `team/${admission.teamName}`,
        `pool/${permit.pool}`,
      ],
      summary:
        `work of queue/${admission.queue.name} placed in pool/${permit.pool}`,
      causes: admission.causes,
    });
    const where =
      `vm/${permit.backend.vm} (backend server ${permit.backend.backendServerId})`;
    this.#options.history.add({
      requestId: request.requestId,
      decisionId,
      summary: `placed on ${where} in zone/${permit.zone}`,
    });
    this.#options.logger.debug(
      {
        requestId: request.requestId,
        attemptId: permit.attemptId,
        decisionId,
        revision: this.#options.fleet.current().revision,
      },
      "request placed",
    );
    return decisionId;
  }

  /**
   * Counts a request that was sent to a backend server but got no answer.
   *
   * @param run - The request.
   * @param permit - Permit of the attempt that may have run.
   * @param failure - Why there is no answer.
   * @returns The failure with the placement's decision id.
   */
  fail(run: RequestRun, permit: Permit, failure: Failure): RequestFailure {
    const decisionId = this.recordPlacement(run, permit);
    const { requestId } = run.request;
    this.#options.history.add({
      requestId,
      decisionId,
      summary: `sent to vm/${permit.backend.vm}; ${failure.message}`,
    });
    this.countRun(run, "unknown");
    return { failure: { ...failure, decisionId }, requestId };
  }

  /**
   * Answers a resend with the outcome of the first request. The entry that ran
   * the first request counts its outcome.
   *
   * @param run - The resend.
   * @param replay - Outcome of the first request.
   * @returns An answer with the status of the first request, or the failure.
   */
  replay(
    run: RequestRun,
    replay: Replay,
  ): Result<CallerAnswer, RequestFailure> {
    const { request, admission } = run;
    if (replay.isErr) {
      const refusal = createRunRefusal(
        replay.error,
        admission,
        this.#options.fleet.current(),
      );
      const outcome = findAnswer(replay.error).notRun ? "notRun" : "replayed";
      return Result.err(
        this.refuse(request, run.startedAtMs, refusal, outcome),
      );
    }
    this.countRun(run, "replayed");
    return Result.ok(createReplayAnswer(request.requestId, replay.value));
  }

  /**
   * Refuses a request, records the decision and counts the request.
   *
   * @param request - The request.
   * @param startedAtMs - Monotonic time of its arrival, in milliseconds.
   * @param refusal - The failure and its causes.
   * @param outcome - Outcome to count; derived from the failure by default.
   * @returns The failure with its decision id.
   */
  refuse(
    request: CallerRequest,
    startedAtMs: number,
    refusal: Refusal,
    outcome?: RequestOutcome,
  ): RequestFailure {
    const { recorder, history, clock, fleet, logger } = this.#options;
    const decisionId = recorder.record({
      action: "refusal",
      subjects: refusal.subjects,
      summary: `${refusal.failure.kind}: ${refusal.failure.message}`,
      // Messages may contain figures. Grouping by message would then create a
      // record for every refusal.
      group: refusal.failure.kind,
      causes: refusal.causes,
      figures: selectFigures(refusal.failure.detail),
      rejected: refusal.rejected,
    });
    const failure = { ...refusal.failure, decisionId };
    const { requestId } = request;
    history.add({
      requestId,
      decisionId,
      summary: `refused: ${failure.message}`,
    });
    logger.debug(
      {
        requestId,
        decisionId,
        revision: fleet.current().revision,
        kind: failure.kind,
      },
      "request refused",
    );
    const isNotRun = findAnswer(failure).notRun;
    this.count(
      {
        request,
        startedAtMs,
        teamName: refusal.teamName,
        waitMs: clock.monotonicMs() - startedAtMs,
      },
      outcome ?? (isNotRun ? "notRun" : "unknown"),
    );
    return { failure, requestId };
  }

  /**
   * Counts an admitted request.
   *
   * @param run - The request.
   * @param outcome - How it ended.
   */
  countRun(run: RequestRun, outcome: RequestOutcome): void {
    this.count({ ...run, teamName: run.admission.teamName }, outcome);
  }

  /**
   * Counts a request. Must be called exactly once for each request.
   *
   * @param counted - The request.
   * @param outcome - How it ended.
   */
  count(counted: CountedRequest, outcome: RequestOutcome): void {
    const { clock, fleet, metrics, logger } = this.#options;
    const { request, teamName, startedAtMs, waitMs } = counted;
    const totalMs = clock.monotonicMs() - startedAtMs;
    const isKnownQueue =
      fleet.current().findQueue(request.queueName) !== undefined;
    metrics.recordRequest({
      team: teamName,
      // Queue names that callers invent would grow the label set without bound.
      queue: isKnownQueue ? request.queueName : "",
      outcome,
      waitMs,
      runMs: totalMs - waitMs,
      totalMs,
    });
    logger.debug(
      { requestId: request.requestId, team: teamName, outcome, totalMs },
      "request ended",
    );
  }
}

function selectFigures(detail: unknown): Record<string, number> {
  if (typeof detail !== "object" || detail === null) {
    return {};
  }
  return Object.fromEntries(
    Object.entries(detail).filter(([, value]) => Number.isFinite(value)),
  );
}
