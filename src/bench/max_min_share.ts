/** What each team is entitled to by weighted max-min fairness. */

/** A team's claim on the fleet. */
export interface Claimant {
  readonly name: string;
  readonly share: number;
  /** The most that the team can use: its demand or its upper limit. */
  readonly wantedCount: number;
}

/**
 * Shares slots by weighted max-min fairness.
 *
 * @param claimants - The teams.
 * @param slotCount - Slots to share.
 * @returns Slots by the team's name.
 */
export function computeEntitledSlots(
  claimants: readonly Claimant[],
  slotCount: number,
): Map<string, number> {
  const entitled = new Map<string, number>();
  let unsatisfied = [...claimants];
  let remainingCount = slotCount;
  while (unsatisfied.length > 0) {
    const totalShare = unsatisfied.reduce((sum, { share }) => sum + share, 0);
    const slotsPerShare = remainingCount / totalShare;
    const satisfied = unsatisfied.filter(({ share, wantedCount }) =>
      wantedCount <= share * slotsPerShare
    );
    if (satisfied.length === 0) {
      unsatisfied.forEach(({ name, share }) =>
        entitled.set(name, share * slotsPerShare)
      );
      return entitled;
    }
    for (const { name, wantedCount } of satisfied) {
      entitled.set(name, wantedCount);
      remainingCount -= wantedCount;
    }
    unsatisfied = unsatisfied.filter((claimant) =>
      !satisfied.includes(claimant)
    );
  }
  return entitled;
}
