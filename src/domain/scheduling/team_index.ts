/** Index of a catalog's teams by id and by key. */
import type { Catalog, JobTeam } from "./catalog.ts";

/** The teams of one catalog. */
export interface TeamIndex {
  /**
   * Teams by id. The first team of a name has the name as its id; the others,
   * in the order of the catalog, have the name with a number.
   */
  readonly byId: ReadonlyMap<string, JobTeam>;
  /** Ids of teams by key; no two teams have the same key. */
  readonly idsByKey: ReadonlyMap<string, string>;
}

const indexes = new WeakMap<Catalog, TeamIndex>();

/**
 * Finds the index of a catalog, and builds it on the first call.
 *
 * @param catalog - A catalog, which is replaced as a whole.
 */
export function indexTeams(catalog: Catalog): TeamIndex {
  const index = indexes.get(catalog) ?? createIndex(catalog.teams);
  indexes.set(catalog, index);
  return index;
}

function createIndex(teams: readonly JobTeam[]): TeamIndex {
  const names = new Set(teams.map(({ name }) => name));
  const byId = new Map<string, JobTeam>();
  const idsByKey = new Map<string, string>();
  for (const team of teams) {
    const id = byId.has(team.name) ? findFreeId(team.name, names) : team.name;
    names.add(id);
    byId.set(id, team);
    team.keys.forEach((key) => idsByKey.set(key, id));
  }
  return { byId, idsByKey };
}

function findFreeId(name: string, taken: ReadonlySet<string>): string {
  let number = 2;
  while (taken.has(`${name}#${number}`)) {
    number += 1;
  }
  return `${name}#${number}`;
}
