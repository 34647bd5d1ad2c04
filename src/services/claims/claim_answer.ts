/** Answers to resent requests, derived from the claim of the first request. */
import { Result } from "true-myth";
import {
  type CallerAnswer,
  type Claim,
  createFailure,
  type Failure,
} from "../../domain/index.ts";

/** Header on the answer to a resend; holds the id of the request that ran. */
export const REPLAYED_HEADER = "cardamomsill-replayed";
/** Maximum length of an idempotency key, in characters. */
export const MAX_KEY_LENGTH = 128;

const STILL_RUNNING_RETRY_MS = 1_000;

/** Parts that identify the claim of a request. */
export interface ClaimName {
  readonly teamName: string;
  readonly queueName: string;
  readonly idempotencyKey: string;
}

/** Outcome of the first request, as reported to a resend. */
export interface ReplayedOutcome {
  readonly status: number;
  readonly state: "succeeded" | "failed";
  readonly claimedAtMs: number;
  readonly requestId: string;
}

/**
 * Creates the id of a claim.
 *
 * @param name - Team, queue and key. Team and queue names contain no slash, so
 * the id is unique.
 * @returns The id, or `invalidInput` when the key is empty or too long.
 */
export function createClaimId(name: ClaimName): Result<string, Failure> {
  const { teamName, queueName, idempotencyKey } = name;
  const isUsable = idempotencyKey.length > 0 &&
    idempotencyKey.length <= MAX_KEY_LENGTH;
  return isUsable
    ? Result.ok(`${teamName}/${queueName}/${idempotencyKey}`)
    : Result.err(
      createFailure(
        "invalidInput",
        `the header idempotency-key has ${idempotencyKey.length} characters`,
        { remedy: `send 1 to ${MAX_KEY_LENGTH} characters` },
      ),
    );
}

/**
 * Determines the outcome of the first request for a resend.
 *
 * @param existing - Claim of the first request.
 * @param contentDigest - Digest of the resend's content.
 * @param nowMs - Wall-clock time. A wrong clock can change the kind of failure,
 * but never lets the work run again.
 * @returns The outcome, or `operationIdReused`, `stillRunning` or
 * `outcomeUnknown`.
 */
export function resolveReplay(
  existing: Claim,
  contentDigest: string,
  nowMs: number,
): Result<ReplayedOutcome, Failure> {
  if (existing.contentDigest !== contentDigest) {
    return Result.err(
      createFailure(
        "operationIdReused",
        "the idempotency-key was already used with other content",
        { remedy: "send the other content with a new key" },
      ),
    );
  }
  const { state, status, atMs, leaseMs, requestId } = existing;
  if (state === "running" && nowMs < atMs + leaseMs) {
    return Result.err(
      createFailure(
        "stillRunning",
        `request ${requestId} with this idempotency-key is still running`,
        {
          retryAfterMs: STILL_RUNNING_RETRY_MS,
          remedy: "send the request again later with the same key",
        },
      ),
    );
  }
  if ((state === "succeeded" || state === "failed") && status !== undefined) {
    return Result.ok({ status, state, claimedAtMs: atMs, requestId });
  }
  return Result.err(
    createFailure(
      "outcomeUnknown",
      `the outcome of request ${requestId} with this idempotency-key is unknown`,
      { remedy: "check whether the work ran before sending it with a new key" },
    ),
  );
}

/**
 * Creates the answer to a resend whose first request ran. The body of the
 * first answer is not stored, so this answer contains the outcome instead.
 *
 * @param requestId - Id of the resend.
 * @param outcome - Outcome of the first request.
 * @returns The answer, with the status of the first answer.
 */
export function createReplayAnswer(
  requestId: string,
  outcome: ReplayedOutcome,
): CallerAnswer {
  const bytes = new TextEncoder().encode(
    `${JSON.stringify({ replayed: true, ...outcome })}\n`,
  );
  return {
    status: outcome.status,
    headers: {
      "content-type": "application/json",
      [REPLAYED_HEADER]: outcome.requestId,
    },
    requestId,
    decisionId: "",
    body: iterateOnce(bytes),
  };
}

async function* iterateOnce(bytes: Uint8Array) {
  yield await Promise.resolve(bytes);
}
