/** Runs requests of callers: admission, body, claim and attempts. */
import { Result } from "true-myth";
import type {
  CallerAnswer,
  CallerRequest,
  Failure,
  RequestFailure,
} from "../../domain/index.ts";
import type {
  Admission,
  AdmissionPolicy,
  FleetIndexCache,
} from "../../decisions/index.ts";
import type { Agreement, Clock, Secrets } from "../../ports/index.ts";
import { type ClaimService, createClaimId } from "../claims/index.ts";
import type { AttemptRunner } from "./attempt_runner.ts";
import type { OutcomeRecorder } from "./outcome_recorder.ts";
import { createRunRefusal, createStaleRefusal } from "./refusals.ts";
import type { BodyLoader, RequestBody } from "./request_body.ts";
import { RequestClaim } from "./request_claim.ts";
import type { RequestRun } from "./request_run.ts";

// A claim's lease ends this long after the caller's deadline, which leaves time
// to settle the claim.
const CLAIM_MARGIN_MS = 2_000;

/** Options of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly entryId: string;
  readonly agreement: Agreement;
  readonly fleet: FleetIndexCache;
  readonly admission: AdmissionPolicy;
  readonly attempts: AttemptRunner;
  readonly bodies: BodyLoader;
  readonly claims: ClaimService;
  readonly outcomes: OutcomeRecorder;
  readonly secrets: Secrets;
  readonly clock: Clock;
}

/** An admitted request whose body has not been read yet. */
interface AdmittedRequest {
  readonly request: CallerRequest;
  readonly admission: Admission;
  readonly startedAtMs: number;
}

/** Runs requests of callers, independently of the front end. */
export class RequestService {
  readonly #options: RequestServiceOptions;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /**
   * Runs one request.
   *
   * @param request - The caller's request.
   * @returns The answer, or a failure that says whether the work may have run.
   */
  async run(
    request: CallerRequest,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const { agreement, fleet, admission, clock, outcomes } = this.#options;
    const startedAtMs = clock.monotonicMs();
    if (agreement.status().freshUntilMs <= startedAtMs) {
      return Result.err(
        outcomes.refuse(request, startedAtMs, createStaleRefusal()),
      );
    }
    const admitted = admission.admit(fleet.current(), request);
    if (admitted.isErr) {
      return Result.err(
        outcomes.refuse(request, startedAtMs, admitted.error),
      );
    }
    return await this.#runAdmitted({
      request,
      admission: admitted.value,
      startedAtMs,
    });
  }

  async #runAdmitted(
    admitted: AdmittedRequest,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const { attempts, bodies, outcomes } = this.#options;
    const body = await bodies.load(admitted.request);
    if (body.isErr) {
      return this.#refuse(admitted, body.error);
    }
    try {
      const run = this.#createRun(admitted, body.value);
      if (run.isErr) {
        return this.#refuse(admitted, run.error);
      }
      const replay = run.value.claim?.findReplay();
      return replay === undefined
        ? await attempts.run(run.value, body.value)
        : outcomes.replay(run.value, replay);
    } finally {
      body.value.close();
    }
  }

  #createRun(
    admitted: AdmittedRequest,
    body: RequestBody,
  ): Result<RequestRun, Failure> {
    const { request } = admitted;
    const sizeBytes = body.isBuffered
      ? body.start.length
      : request.bodySizeBytes;
    const contentDigest = this.#options.secrets.digestParts([
      request.queueName,
      request.method,
      request.path,
      String(sizeBytes ?? ""),
      body.start,
    ]);
    return this.#createClaim(admitted, contentDigest).map((claim) => ({
      ...admitted,
      contentDigest,
      claim,
      findRefusal: () => this.#findRefusal(request),
      waitMs: 0,
    }));
  }

  // The caller's key may have been withdrawn while the request waited.
  #findRefusal(request: CallerRequest): Failure | undefined {
    const { admission, fleet } = this.#options;
    const admitted = admission.admit(fleet.current(), request);
    return admitted.isErr ? admitted.error.failure : undefined;
  }

  #createClaim(
    { request, admission }: AdmittedRequest,
    contentDigest: string,
  ): Result<RequestClaim | undefined, Failure> {
    const { entryId, clock, claims } = this.#options;
    const { idempotencyKey, requestId, deadlineAtMs } = request;
    if (idempotencyKey === undefined) {
      return Result.ok(undefined);
    }
    const claimId = createClaimId({
      teamName: admission.teamName,
      queueName: admission.queue.name,
      idempotencyKey,
    });
    const leaseMs = deadlineAtMs - clock.monotonicMs() + CLAIM_MARGIN_MS;
    return claimId.map((id) =>
      new RequestClaim({
        service: claims,
        clock,
        claim: {
          claimId: id,
          contentDigest,
          requestId,
          entryId,
          atMs: clock.nowMs(),
          leaseMs,
          state: "running",
        },
      })
    );
  }

  #refuse(
    { request, admission, startedAtMs }: AdmittedRequest,
    failure: Failure,
  ): Result<CallerAnswer, RequestFailure> {
    const { outcomes, fleet } = this.#options;
    const refusal = createRunRefusal(failure, admission, fleet.current());
    return Result.err(outcomes.refuse(request, startedAtMs, refusal));
  }
}
