/** Which stores vote on the replicated log. */
import * as v from "valibot";

/** Schema of {@link Member}. */
export const memberSchema = v.object({
  entryId: v.string(),
  /** Id of the data folder; an emptied folder gets a new one. */
  storeId: v.string(),
});

/** An entry together with the data folder that it votes with. */
export type Member = v.InferOutput<typeof memberSchema>;

/** Schema of {@link Membership}. */
export const membershipSchema = v.object({
  voters: v.array(memberSchema),
  /** Members with a disk that follow and become voters once they caught up. */
  learners: v.array(memberSchema),
});

/** Voters and learners. */
export type Membership = v.InferOutput<typeof membershipSchema>;

/** The membership before the first membership command. */
export const NO_MEMBERSHIP: Membership = { voters: [], learners: [] };

/**
 * Finds a member.
 *
 * @param members - Voters or learners.
 * @param member - Entry and data folder.
 * @returns True when the entry is listed with exactly this data folder.
 */
export function includesMember(
  members: readonly Member[],
  member: Member,
): boolean {
  return members.some(({ entryId, storeId }) =>
    entryId === member.entryId && storeId === member.storeId
  );
}

/**
 * Counts the voters that differ between two memberships.
 *
 * @param before - The older membership.
 * @param after - The newer membership.
 * @returns How many voters were added or removed; a change of the data folder
 * counts as both.
 */
export function countVoterChanges(
  before: Membership,
  after: Membership,
): number {
  const removed = before.voters.filter((voter) =>
    !includesMember(after.voters, voter)
  );
  const added = after.voters.filter((voter) =>
    !includesMember(before.voters, voter)
  );
  return removed.length + added.length;
}

/**
 * Computes the size of a majority.
 *
 * @param voterCount - Number of voters.
 * @returns The smallest number that is more than half of them.
 */
export function computeQuorum(voterCount: number): number {
  return Math.floor(voterCount / 2) + 1;
}
