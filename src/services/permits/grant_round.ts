/** One round of grants: who gets the free slots now. */
import {
  ANONYMOUS_TEAM,
  type FleetIndex,
  type ShareAllocator,
  type ShareClaimant,
} from "../../decisions/index.ts";
import type { Demand } from "./demand.ts";
import type { EntryWant } from "./entry_session.ts";
import type { PermitTable } from "./permit_table.ts";
import type { SlotRecord, SlotTable } from "./slot_table.ts";

const DEFAULT_SHARE = 1;
const MAX_CONTENDING = 2;

/** A place that has been found for a want. */
export interface FoundSlot {
  readonly pool: string;
  readonly slot: SlotRecord;
  readonly runLeaseMs: number;
}

/** Options of {@link GrantRounds}. */
export interface GrantRoundsOptions {
  readonly allocator: ShareAllocator;
  readonly demand: Demand;
  readonly table: PermitTable;
  readonly slots: SlotTable;
  /** Entries among which the connections of a backend server are divided. */
  readonly entryCount: number;
  /** Counts attempts that may run unseen, for any team. */
  readonly countUnknown: () => number;
  /** Hands a permit for the place to the want's entry. */
  readonly grant: (want: EntryWant, found: FoundSlot) => void;
}

/** Grants free slots within the limits, in the order of the allocator. */
export class GrantRounds {
  readonly #options: GrantRoundsOptions;
  #round = 0;

  constructor(options: GrantRoundsOptions) {
    this.#options = options;
  }

  /**
   * Grants until nobody can get more.
   *
   * @param index - The configuration in force.
   * @param nowMs - Monotonic time.
   * @returns Number of permits granted.
   */
  run(index: FleetIndex, nowMs: number): number {
    this.#round += 1;
    const claimants: ShareClaimant[] = [];
    for (const team of this.#options.demand.listTeams()) {
      if (!this.isLimited(index, team)) {
        claimants.push(this.#createClaimant(index, team, nowMs));
      }
    }
    return this.#options.allocator.allocate(claimants);
  }

  /**
   * Tells whether a team may get no further permit.
   *
   * @param index - The configuration in force.
   * @param team - Name of the team.
   * @returns True at or above its upper limit, and for a team that was deleted.
   */
  isLimited(index: FleetIndex, team: string): boolean {
    const limit = index.findTeam(team)?.resource.maxRunningCount;
    if (limit === undefined) {
      return team !== ANONYMOUS_TEAM;
    }
    const { table, countUnknown } = this.#options;
    return table.countTeam(team) + countUnknown() >= limit;
  }

  /**
   * Lists teams whose waiting requests could use a place now.
   *
   * @param index - The configuration in force.
   * @returns None, one, or two of them, which is all that entries need to know.
   */
  listContending(index: FleetIndex): string[] {
    const contending: string[] = [];
    for (const team of this.#options.demand.listTeams()) {
      if (contending.length === MAX_CONTENDING) {
        break;
      }
      if (!this.isLimited(index, team)) {
        contending.push(team);
      }
    }
    return contending;
  }

  #createClaimant(
    index: FleetIndex,
    team: string,
    nowMs: number,
  ): ShareClaimant {
    const { demand, table } = this.#options;
    return {
      team,
      share: index.findTeam(team)?.resource.share ?? DEFAULT_SHARE,
      countRunning: () => table.countTeam(team),
      findOldestMs: () => demand.findOldestMs(team),
      grantOne: () => this.#grantOne(index, team, nowMs),
    };
  }

  #grantOne(index: FleetIndex, team: string, nowMs: number): boolean {
    if (this.isLimited(index, team)) {
      return false;
    }
    for (
      let want = this.#findFirst(index, team, nowMs);
      want !== undefined;
      want = this.#findFirst(index, team, nowMs)
    ) {
      const found = this.#findSlot(index, want);
      if (found !== undefined) {
        this.#options.grant(want, found);
        this.#options.demand.takeOne(want, nowMs);
        return true;
      }
      want.blockedRound = this.#round;
    }
    return false;
  }

  #findFirst(
    index: FleetIndex,
    team: string,
    nowMs: number,
  ): EntryWant | undefined {
    let first: EntryWant | undefined;
    let firstPriority = -Infinity;
    for (const want of this.#options.demand.listWants(team)) {
      const isOpen = want.blockedRound !== this.#round &&
        want.session.isResponsive(nowMs);
      if (isOpen) {
        const priority = index.findQueue(want.queue)?.resource.priority ?? 0;
        const isBefore = first === undefined || priority > firstPriority ||
          (priority === firstPriority && want.oldestAtMs < first.oldestAtMs);
        first = isBefore ? want : first;
        firstPriority = isBefore ? priority : firstPriority;
      }
    }
    return first;
  }

  // Pools come in the order of preference: the spare ones last.
  #findSlot(index: FleetIndex, want: EntryWant): FoundSlot | undefined {
    const queue = index.findQueue(want.queue)?.resource;
    if (queue === undefined) {
      return undefined;
    }
    for (const { resource } of index.listPools(queue)) {
      const pool = resource.name;
      const slot = this.#pick(pool, want);
      if (slot !== undefined) {
        return { pool, slot, runLeaseMs: queue.maxRunMs };
      }
    }
    return undefined;
  }

  #pick(pool: string, want: EntryWant): SlotRecord | undefined {
    const { slots } = this.#options;
    const excludedIds = [...want.excludedBackendIds];
    for (;;) {
      const slot = slots.pick(pool, excludedIds);
      if (slot === undefined || !this.#isAtPart(want, slot)) {
        return slot;
      }
      excludedIds.push(slot.announcement.backendServerId);
    }
  }

  // Each entry has its part of a backend server's connections, so that all of
  // them together never open too many.
  #isAtPart({ session }: EntryWant, { announcement }: SlotRecord): boolean {
    const { table, entryCount } = this.#options;
    const { backendServerId, connectionCount } = announcement;
    const partCount = Math.max(1, Math.floor(connectionCount / entryCount));
    return table.countEntry(session.entryId, backendServerId) >= partCount;
  }
}
