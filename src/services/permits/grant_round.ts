/** One round of grants: who gets the free slots now. */
import {
  ANONYMOUS_TEAM,
  type FleetIndex,
  type ShareAllocator,
  type ShareClaimant,
  type ShareHolder,
} from "../../decisions/index.ts";
import {
  computeConnectionPart,
  type Pool,
  type StoredResource,
} from "../../domain/index.ts";
import type { Demand } from "./demand.ts";
import type { EntryWant } from "./entry_session.ts";
import type { PermitTable } from "./permit_table.ts";
import type { SlotRecord, SlotTable } from "./slot_table.ts";

const DEFAULT_SHARE = 1;

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
  /** Queues for which no slot is left in the round. */
  readonly #fullQueues = new Set<string>();
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
    if (!this.#options.slots.hasAnyFree) {
      return 0;
    }
    this.#round += 1;
    this.#fullQueues.clear();
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
   * Finds the teams that should give up places for those that wait.
   *
   * @param index - The configuration in force.
   * @returns The part of its places, from 0 to 1, for each such team.
   */
  findExcesses(index: FleetIndex): Map<string, number> {
    const { allocator, demand, table } = this.#options;
    const waiting = [...demand.listTeams()]
      .filter((team) => !this.isLimited(index, team))
      .map((team) => this.#describeHolder(index, team));
    if (waiting.length === 0) {
      return new Map();
    }
    const holders = [...table.listTeams()]
      .map((team) => this.#describeHolder(index, team));
    return allocator.findExcesses(holders, waiting);
  }

  #describeHolder(index: FleetIndex, team: string): ShareHolder {
    return {
      team,
      share: index.findTeam(team)?.resource.share ?? DEFAULT_SHARE,
      runningCount: this.#options.table.countTeam(team),
    };
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
      let want = this.#findNextWant(index, team, nowMs);
      want !== undefined;
      want = this.#findNextWant(index, team, nowMs)
    ) {
      const found = this.#findSlot(index, want);
      if (found !== undefined) {
        this.#options.grant(want, found);
        this.#options.demand.recordGrant(want, nowMs);
        return true;
      }
      this.#markBlocked(index, want);
    }
    return false;
  }

  // What is full for a want without exclusions is full for its whole queue.
  #markBlocked(index: FleetIndex, want: EntryWant): void {
    want.blockedRound = this.#round;
    const isQueueFull = this.#options.slots.isFull(
      this.#listPools(index, want.queue),
    );
    if (isQueueFull) {
      this.#fullQueues.add(want.queue);
    }
  }

  #listPools(
    index: FleetIndex,
    queueName: string,
  ): readonly StoredResource<Pool>[] {
    const queue = index.findQueue(queueName)?.resource;
    return queue === undefined ? [] : index.listPools(queue);
  }

  #findNextWant(
    index: FleetIndex,
    team: string,
    nowMs: number,
  ): EntryWant | undefined {
    let first: EntryWant | undefined;
    let firstPriority = -Infinity;
    for (const want of this.#options.demand.listWants(team)) {
      const isOpen = want.blockedRound !== this.#round &&
        !this.#fullQueues.has(want.queue) &&
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
      if (slot === undefined || !this.#isAtConnectionLimit(want, slot)) {
        return slot;
      }
      excludedIds.push(slot.announcement.backendServerId);
    }
  }

  // Each entry has its part of a backend server's connections, so that all of
  // them together never open too many.
  #isAtConnectionLimit(
    { session }: EntryWant,
    { announcement }: SlotRecord,
  ): boolean {
    const { table, entryCount } = this.#options;
    const { backendServerId } = announcement;
    const partCount = computeConnectionPart(announcement, entryCount);
    return table.countEntry(session.entryId, backendServerId) >= partCount;
  }
}
