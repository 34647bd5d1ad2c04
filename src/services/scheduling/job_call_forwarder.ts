/** Forwards calls about jobs from an entry to the leader. */
import type { Result } from "true-myth";
import { type Failure, validateWith } from "../../domain/index.ts";
import type { Clock, Logger, SchedulingMetrics } from "../../ports/index.ts";
import type { SchedulingClient } from "./controller_leader_client.ts";
import {
  type JobCall,
  type JobCallAnswer,
  jobCallAnswerSchema,
} from "./job_call.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";

/** Options of {@link JobCallForwarder}. */
export interface JobCallForwarderOptions {
  readonly leader: SchedulingClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: SchedulingMetrics;
}

/** Forwards calls to the leader; logs and measures each answer. */
export class JobCallForwarder {
  readonly #options: JobCallForwarderOptions;

  constructor(options: JobCallForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a call to the leader.
   *
   * @param call - The call.
   * @param waitMs - How long to wait for the leader's answer (ms).
   * @returns The leader's answer, or a failure: the leader's own, `notLeader`
   * or `noQuorum` when the leader was not reached in time, or `internal` when
   * its answer is malformed.
   */
  async forward(
    call: JobCall,
    waitMs: number,
  ): Promise<Result<JobCallAnswer, Failure>> {
    const { clock, leader } = this.#options;
    const startedMs = clock.monotonicMs();
    const isRead = call.action === "read";
    const body = await leader.call(
      SCHEDULING_METHODS.job,
      call,
      waitMs,
      {
        isRead,
        createBody: (waitedMs) => ({ ...call, waitedMs: Math.round(waitedMs) }),
      },
    );
    const answered = body.andThen((value) =>
      validateWith(jobCallAnswerSchema, value, {
        subject: "leader's answer",
        kind: "internal",
      })
    );
    this.#record(call, answered, clock.monotonicMs() - startedMs);
    return answered;
  }

  #record(
    { action, queue, host, path, requestId }: JobCall,
    answered: Result<JobCallAnswer, Failure>,
    tookMs: number,
  ): void {
    const { leader, logger, metrics } = this.#options;
    const { leaderId, leaderTerm } = leader;
    const named = { requestId, action, queue, host, path };
    const answeredBy = { leaderId, leaderTerm };
    const fields = { ...named, ...answeredBy, tookMs: Math.round(tookMs) };
    const outcome = answered.isOk ? "answered" : answered.error.kind;
    metrics.recordCall({ action, outcome, tookMs });
    if (answered.isErr) {
      const { kind, message } = answered.error;
      logger.info({ ...fields, kind, reason: message }, "refused a caller");
    } else if (action !== "read" || answered.value.pendingCount !== undefined) {
      logger.info({ ...fields, ...answered.value }, "answered a caller");
    }
  }
}
