/** What a resend is told from the claim that its first request left. */
import { Result } from "true-myth";
import {
  type CallerAnswer,
  type Claim,
  createFailure,
  type Failure,
} from "../../domain/index.ts";

/** Header on the answer to a resend: its work ran under an earlier request. */
export const REPLAYED_HEADER = "cardamomsill-replayed";
/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 128;

const STILL_RUNNING_RETRY_MS = 1_000;

/** Names the claim of a request. */
export interface ClaimName {
  readonly teamName: string;
  readonly queueName: string;
  readonly idempotencyKey: string;
}

/** What became of the first request, as told to a resend. */
export interface ReplayedOutcome {
  readonly status: number;
  readonly state: "succeeded" | "failed";
  readonly claimedAtMs: number;
  readonly requestId: string;
}

/**
 * Creates the id of a claim.
 *
 * @param name - Team, queue and key; names of teams and queues hold no slash.
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
        `the idempotency-key has ${idempotencyKey.length} characters`,
        { remedy: `send 1 to ${MAX_KEY_LENGTH} characters` },
      ),
    );
}

/**
 * Tells a resend what became of the first request.
 *
 * @param existing - The claim of the first request.
 * @param contentDigest - Digest of the resend's content.
 * @param nowMs - Wall-clock time; an error of the clock never allows a run.
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
        "the idempotency-key was used with other content",
        { remedy: "send the other content under a new key" },
      ),
    );
  }
  const { state, status, atMs, leaseMs, requestId } = existing;
  if (state === "running" && nowMs < atMs + leaseMs) {
    return Result.err(
      createFailure(
        "stillRunning",
        `request ${requestId} still runs under this idempotency-key`,
        {
          retryAfterMs: STILL_RUNNING_RETRY_MS,
          remedy: "ask again later with the same key",
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
      `what became of request ${requestId} under this idempotency-key is unknown`,
      { remedy: "look the work up before sending it under a new key" },
    ),
  );
}

/**
 * Creates the answer to a resend whose first request ran. The first answer's
 * body is not kept, so the outcome stands in its place.
 *
 * @param requestId - Id of the resend.
 * @param outcome - What became of the first request.
 * @returns The answer, with the status of the first one.
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
