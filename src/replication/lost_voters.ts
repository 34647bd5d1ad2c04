/** Rules for the removal of voters that are gone. */
import type { Member } from "../domain/index.ts";
import {
  GONE_VOTER_TIMEOUT_MS,
  LOST_VOTER_TIMEOUT_MS,
  MIN_VOTER_COUNT,
} from "./timing.ts";

/** A voter and how long the leader has not heard it. */
export interface ObservedVoter extends Member {
  /** Time since its last pull (ms); 0 for the leader. */
  readonly silentMs: number;
}

/** Input of {@link findLostVoter}. */
export interface LostVoterInput {
  readonly voters: readonly ObservedVoter[];
  /** Whether a learner that has caught up can take its place. */
  readonly hasReplacement: boolean;
}

/**
 * Finds the voter that is to be removed, the one that is silent for the longest
 * time.
 *
 * With a replacement, a voter goes as soon as it no longer counts as running, so
 * that replacements in a row do not leave the gone ones behind. The same holds for
 * an even number of voters: every majority of them holds a majority of the others,
 * so that nothing is lost if the removed one returns. Of an odd number two go, and
 * only if both are gone for good, because the others need as many votes without a
 * single one.
 *
 * The change needs a quorum of the present voters, which the running ones still
 * form afterwards.
 *
 * @param input - The voters, and whether there is a replacement.
 * @returns The voter, or undefined if all of them stay.
 */
export function findLostVoter(
  { hasReplacement, voters }: LostVoterInput,
): ObservedVoter | undefined {
  const [first, second] = voters.toSorted((left, right) =>
    right.silentMs - left.silentMs
  );
  if (first === undefined || first.silentMs <= LOST_VOTER_TIMEOUT_MS) {
    return undefined;
  }
  const areTwoGone = second !== undefined &&
    second.silentMs > GONE_VOTER_TIMEOUT_MS;
  const isDispensable = voters.length > MIN_VOTER_COUNT &&
    (voters.length % 2 === 0 || areTwoGone);
  return hasReplacement || isDispensable ? first : undefined;
}
