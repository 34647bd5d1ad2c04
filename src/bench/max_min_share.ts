/** Computes fair shares by weighted max-min fairness. */

/** A team or pool that competes for slots. */
export interface Claimant {
  readonly name: string;
  readonly share: number;
  /** Most slots that it can use: its demand or its limit. */
  readonly wantedCount: number;
}

/**
 * Divides slots among claimants by weighted max-min fairness.
 *
 * @param claimants - The teams or pools.
 * @param slotCount - Number of slots to divide.
 * @returns Number of slots by name of the claimant, which may be fractional.
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
