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
export function computeEntitled(
  claimants: readonly Claimant[],
  slotCount: number,
): Map<string, number> {
  const entitled = new Map<string, number>();
  let open = [...claimants];
  let leftCount = slotCount;
  while (open.length > 0) {
    const totalShare = open.reduce((sum, { share }) => sum + share, 0);
    const perShare = leftCount / totalShare;
    const satisfied = open.filter(({ share, wantedCount }) =>
      wantedCount <= share * perShare
    );
    if (satisfied.length === 0) {
      open.forEach(({ name, share }) => entitled.set(name, share * perShare));
      return entitled;
    }
    for (const { name, wantedCount } of satisfied) {
      entitled.set(name, wantedCount);
      leftCount -= wantedCount;
    }
    open = open.filter((claimant) => !satisfied.includes(claimant));
  }
  return entitled;
}
