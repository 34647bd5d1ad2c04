/** Membership of the replicated log: voters and learners. */
import * as v from "valibot";

/** Schema of {@link Member}. */
export const memberSchema = v.object({
  entryId: v.string(),
  /** Id of the data folder; a folder that was emptied gets a new id. */
  storeId: v.string(),
});

/** An entry together with the data folder that holds its log. */
export type Member = v.InferOutput<typeof memberSchema>;

/** Schema of {@link Membership}. */
export const membershipSchema = v.object({
  voters: v.array(memberSchema),
  /**
   * Members that replicate the log without a vote and become voters once they
   * have caught up.
   */
  learners: v.array(memberSchema),
});

/** Voters and learners of the replicated log. */
export type Membership = v.InferOutput<typeof membershipSchema>;

/** The membership before the first membership command. */
export const NO_MEMBERSHIP: Membership = { voters: [], learners: [] };

/**
 * Checks whether a list contains a member.
 *
 * @param members - Voters or learners.
 * @param member - Entry and data folder to find.
 * @returns True when the entry is listed with this data folder.
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
 * @returns Number of added and removed voters; a voter whose data folder
 * changed counts twice.
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
 * Computes the size of a quorum.
 *
 * @param voterCount - Number of voters.
 * @returns The smallest number that is more than half of the voters.
 */
export function computeQuorum(voterCount: number): number {
  return Math.floor(voterCount / 2) + 1;
}
