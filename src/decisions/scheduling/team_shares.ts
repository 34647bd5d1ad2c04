/** Shares of a pool by the weights of the teams. */
import type { JobTeam } from "../../domain/index.ts";

/** Input of {@link computeTeamShares}. */
export interface TeamSharesInput {
  readonly capacityMillicores: number;
  /** CPU in use and waited for, by team (millicores). */
  readonly demandByTeam: ReadonlyMap<string, number>;
  /** The teams of the catalog, by id. */
  readonly teams: ReadonlyMap<string, JobTeam>;
}

/**
 * Computes the share of each team: its weight among the teams that have work
 * in the pool. What a team leaves of its share is divided among the others, so
 * that the shares of full demand add up to the capacity.
 *
 * A team without a weight has no share that it could exceed, as a job without
 * a team: a missing weight must not place a team behind all others.
 *
 * @param input - Capacity, demands and weights.
 * @returns Millicores by team; teams without a limit by a share are left out,
 * and so are all teams when the capacity holds the whole demand.
 */
export function computeTeamShares(
  { capacityMillicores, demandByTeam, teams }: TeamSharesInput,
): Map<string, number> {
  const weighted: { name: string; demand: number; weight: number }[] = [];
  for (const [name, demand] of demandByTeam) {
    const weight = teams.get(name)?.weight ?? 0;
    if (weight > 0) {
      weighted.push({ name, demand, weight });
    }
  }
  weighted.sort((left, right) =>
    left.demand / left.weight - right.demand / right.weight
  );
  let leftMillicores = capacityMillicores;
  let leftWeight = weighted.reduce((sum, { weight }) => sum + weight, 0);
  const shares = new Map<string, number>();
  for (const { name, demand, weight } of weighted) {
    const fair = leftMillicores * weight / leftWeight;
    if (demand > fair) {
      shares.set(name, fair);
    }
    leftMillicores -= Math.min(demand, fair);
    leftWeight -= weight;
  }
  return shares;
}
