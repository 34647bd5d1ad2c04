/** The message in which a leader answers a call of an entry or a controller. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  failureSchema,
} from "../../domain/index.ts";

/** Schema of {@link LeaderAnswer}. */
export const leaderAnswerSchema = v.object({
  /** Term of the leader when it took up the call. */
  term: v.number(),
  value: v.optional(v.unknown()),
  /** Why the call failed; `value` counts only without it. */
  failure: v.optional(failureSchema),
});

/** A leader's answer with its term, which orders the answers of leaders. */
export type LeaderAnswer = v.InferOutput<typeof leaderAnswerSchema>;

/**
 * Creates the message of an answer.
 *
 * @param term - Term of the leader when it took up the call.
 * @param answered - The answer or failure.
 * @returns The message.
 */
export function createLeaderAnswer(
  term: number,
  answered: Result<unknown, Failure>,
): LeaderAnswer {
  return answered.isOk
    ? { term, value: answered.value }
    : { term, failure: answered.error };
}

/**
 * Reads the result of a call from its answer.
 *
 * @param answer - The message.
 * @returns The value, or the leader's failure.
 */
export function readLeaderAnswer(
  { failure, value }: LeaderAnswer,
): Result<unknown, Failure> {
  return failure === undefined ? Result.ok(value) : Result.err(failure);
}

/**
 * Creates the failure for an answer of an earlier leader, which may have carried
 * the call out before its term ended.
 *
 * @param target - The controller that answered.
 * @param term - Its term.
 * @param leaderTerm - Newest term whose leader has answered.
 * @returns The failure.
 */
export function createOutdatedAnswer(
  target: string,
  term: number,
  leaderTerm: number,
): Failure {
  return createFailure(
    "peerUnreachable",
    `controller ${target} answered as the leader of term ${term}, but a leader of term ${leaderTerm} has answered before`,
    { detail: { isSent: true } },
  );
}
