/** Waiting requests of all entries by team. */
import type { EntrySession, EntryWant } from "./entry_session.ts";

/** Indexes the wants of all entries by team. */
export class Demand {
  readonly #wantsByTeam = new Map<string, Set<EntryWant>>();

  /** Lists the teams with at least one want. */
  listTeams(): IterableIterator<string> {
    return this.#wantsByTeam.keys();
  }

  /** Lists the wants of a team. */
  listWants(team: string): Iterable<EntryWant> {
    return this.#wantsByTeam.get(team) ?? [];
  }

  /** Adds the wants of an entry. */
  add(session: EntrySession): void {
    for (const want of session.wants.filter(({ count }) => count > 0)) {
      const wants = this.#wantsByTeam.get(want.team) ?? new Set();
      this.#wantsByTeam.set(want.team, wants.add(want));
    }
  }

  /** Removes the wants of an entry. */
  remove(session: EntrySession): void {
    session.wants.forEach((want) => this.#removeWant(want));
  }

  /**
   * Records that one request of a want was granted a permit.
   *
   * @param want - The want.
   * @param nowMs - Steady time.
   */
  recordGrant(want: EntryWant, nowMs: number): void {
    // The estimate assumes evenly spaced arrivals. Otherwise one entry with old
    // requests would get all grants of a team.
    want.oldestAtMs += (nowMs - want.oldestAtMs) / want.count;
    want.count -= 1;
    if (want.count <= 0) {
      this.#removeWant(want);
    }
  }

  /** Finds the monotonic arrival time of a team's oldest waiting request. */
  findOldestMs(team: string): number {
    let oldestMs = Infinity;
    for (const { oldestAtMs } of this.listWants(team)) {
      oldestMs = Math.min(oldestMs, oldestAtMs);
    }
    return oldestMs;
  }

  #removeWant(want: EntryWant): void {
    const wants = this.#wantsByTeam.get(want.team);
    wants?.delete(want);
    if (wants?.size === 0) {
      this.#wantsByTeam.delete(want.team);
    }
  }
}
