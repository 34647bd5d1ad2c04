/** Grant rounds: decide which waiting requests get the free slots. */
import {
  ANONYMOUS_TEAM,
  type FleetIndex,
  type ShareAllocator,
  type ShareClaimant,
  type ShareHolder,
} from "../../decisions/index.ts";
import {
  computeConnectionsPerEntry,
  type Pool,
  type StoredResource,
} from "../../domain/index.ts";
import type { Demand } from "./demand.ts";
import type { EntryWant } from "./entry_session.ts";
import type { PermitTable } from "./permit_table.ts";
import type { SlotRecord, SlotTable } from "./slot_table.ts";

const DEFAULT_SHARE = 1;

/** A free slot that was found for a want. */
export interface FoundSlot {
  readonly pool: string;
  readonly slot: SlotRecord;
  /** How long the attempt may run. */
  readonly runLeaseMs: number;
}

/** Options of {@link GrantRounds}. */
export interface GrantRoundsOptions {
  readonly allocator: ShareAllocator;
  readonly demand: Demand;
  readonly table: PermitTable;
  readonly slots: SlotTable;
  /** Number of entries that share the connections of a backend server. */
  readonly entryCount: number;
  /** Counts attempts that may run unknown to the coordinator, for any team. */
  readonly countUnknown: () => number;
  /** Grants a permit for the slot to the want's entry. */
  readonly grant: (want: EntryWant, found: FoundSlot) => void;
}

/** Grants free slots within the limits, in the order set by the allocator. */
export class GrantRounds {
  readonly #options: GrantRoundsOptions;
  /** Queues without a free slot in the current round. */
  readonly #fullQueues = new Set<string>();
  #round = 0;

  constructor(options: GrantRoundsOptions) {
    this.#options = options;
  }

  /**
   * Grants permits until no team can get another one.
   *
   * @param index - The configuration in force.
   * @param nowMs - Steady time.
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
   * Returns whether a team may not get another permit.
   *
   * @param index - The configuration in force.
   * @param team - Name of the team.
   * @returns True for a team that has reached its limit or was deleted.
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
   * Finds the teams that should return permits to teams that wait.
   *
   * @param index - The configuration in force.
   * @returns The fraction of its permits, from 0 to 1, by team.
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

  // Exclusions may block this want alone. When all pools of the queue are full,
  // the other wants for the queue are blocked too.
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

  // Pools are listed in order of preference, with spare pools last.
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

  // The connections of a backend server are divided among the entries, so that
  // together they never open too many.
  #isAtConnectionLimit(
    { session }: EntryWant,
    { announcement }: SlotRecord,
  ): boolean {
    const { table, entryCount } = this.#options;
    const { backendServerId } = announcement;
    const partCount = computeConnectionsPerEntry(announcement, entryCount);
    return table.countEntry(session.entryId, backendServerId) >= partCount;
  }
}
