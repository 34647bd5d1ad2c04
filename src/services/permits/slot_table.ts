/** Backend servers that the coordinator knows, and their free slots. */
import type { Announcement, Pool, StoredResource } from "../../domain/index.ts";
import type {
  BackendCandidate,
  BackendPicker,
  FleetIndex,
} from "../../decisions/index.ts";
import { ANNOUNCEMENT_TTL_MS } from "../backend_directory.ts";
import { FreeBackendList } from "./free_backend_list.ts";

const MAX_RANDOM_PICKS = 4;

/**
 * Why a backend server accepts no new work. `silent` means that its last
 * announcement is too old. `unverified` means that this announcement may not
 * list every attempt started under permits of earlier coordinators.
 */
export type ClosedReason =
  | "leaving"
  | "silent"
  | "notServing"
  | "zoneOut"
  | "unverified";

/** A backend server as the coordinator knows it. */
export interface SlotRecord {
  announcement: Announcement;
  /** Coordinator's steady time at which an entry received it. */
  receivedAtMs: number;
  /** Undefined when no pool contains the VM. */
  pool: string | undefined;
  /** Empty when the VM is not configured. */
  zone: string;
  /** Undefined while the backend server accepts new work. */
  closed: ClosedReason | undefined;
}

/** Options of {@link SlotTable}. */
export interface SlotTableOptions {
  readonly picker: BackendPicker;
  /** Counts the slots in use at a backend server. */
  readonly countUsedSlots: (backendServerId: string) => number;
  /**
   * Returns the steady time from which announcements list all attempts
   * started under permits of earlier coordinators.
   */
  readonly findVerifiedFromMs: () => number;
}

/** Indexes the backend servers with free slots by pool. */
export class SlotTable {
  readonly #options: SlotTableOptions;
  readonly #records = new Map<string, SlotRecord>();
  readonly #freeByPool = new Map<string, FreeBackendList>();
  readonly #openCountByPool = new Map<string, number>();
  readonly #leavingIds = new Set<string>();
  #index: FleetIndex;

  /**
   * @param index - The configuration in force.
   * @param options - The picker and the sources of used slots and verification.
   */
  constructor(index: FleetIndex, options: SlotTableOptions) {
    this.#index = index;
    this.#options = options;
  }

  /**
   * Records an announcement.
   *
   * @param announcement - The announcement.
   * @param receivedAtMs - Steady time at which an entry received it.
   * @param nowMs - Steady time.
   * @returns False for an outdated or duplicate announcement, which is ignored.
   */
  accept(
    announcement: Announcement,
    receivedAtMs: number,
    nowMs: number,
  ): boolean {
    const { backendServerId, sequence } = announcement;
    const known = this.#records.get(backendServerId);
    if (known !== undefined && known.announcement.sequence >= sequence) {
      return false;
    }
    this.#close(backendServerId);
    if (announcement.leaving) {
      this.#leavingIds.add(backendServerId);
    } else {
      this.#leavingIds.delete(backendServerId);
    }
    this.#records.set(backendServerId, {
      announcement,
      receivedAtMs,
      pool: undefined,
      zone: "",
      closed: "silent",
    });
    this.refresh(backendServerId, nowMs);
    return true;
  }

  /** Finds a backend server by id. */
  find(backendServerId: string): SlotRecord | undefined {
    return this.#records.get(backendServerId);
  }

  /** Lists all known backend servers. */
  listAll(): SlotRecord[] {
    return [...this.#records.values()];
  }

  /** Lists the ids of the backend servers that are leaving. */
  listLeaving(): string[] {
    return [...this.#leavingIds];
  }

  /** Returns whether any backend server of a pool accepts new work. */
  isServed(pool: string): boolean {
    return (this.#openCountByPool.get(pool) ?? 0) > 0;
  }

  /** Whether any backend server that accepts new work has a free slot. */
  get hasAnyFree(): boolean {
    for (const free of this.#freeByPool.values()) {
      if (free.length > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether none of the given pools has a free slot. */
  isFull(pools: readonly StoredResource<Pool>[]): boolean {
    return pools.every(({ resource }) =>
      (this.#freeByPool.get(resource.name)?.length ?? 0) === 0
    );
  }

  /**
   * Picks a backend server with a free slot.
   *
   * @param pool - Name of the pool.
   * @param excludedBackendIds - Backend servers that were tried before.
   * @returns The backend server, or undefined when none is left.
   */
  pick(
    pool: string,
    excludedBackendIds: readonly string[],
  ): SlotRecord | undefined {
    const free = this.#freeByPool.get(pool);
    if (free === undefined || free.length === 0) {
      return undefined;
    }
    const chosen = this.#pickAllowed(free, excludedBackendIds);
    return chosen && this.#records.get(chosen.backendServerId);
  }

  /**
   * Re-evaluates whether a backend server accepts new work.
   *
   * @param backendServerId - Id of the backend server.
   * @param nowMs - Steady time.
   */
  refresh(backendServerId: string, nowMs: number): void {
    const record = this.#records.get(backendServerId);
    if (record === undefined) {
      return;
    }
    this.#close(backendServerId);
    const placed = this.#index.findVm(record.announcement.vm);
    record.pool = placed?.pool;
    record.zone = placed?.vm.resource.zone ?? "";
    record.closed = this.#findClosedReason(record, nowMs);
    if (record.closed === undefined && record.pool !== undefined) {
      this.#changeOpenCount(record.pool, 1);
      this.updateFreeSlots(backendServerId);
    }
  }

  /**
   * Re-evaluates all backend servers against a configuration.
   *
   * @param index - The configuration in force.
   * @param nowMs - Steady time.
   */
  refreshAll(index: FleetIndex, nowMs: number): void {
    this.#index = index;
    for (const backendServerId of this.#records.keys()) {
      this.refresh(backendServerId, nowMs);
    }
  }

  /**
   * Recomputes the free slots of a backend server.
   *
   * @param backendServerId - Id of the backend server.
   */
  updateFreeSlots(backendServerId: string): void {
    const record = this.#records.get(backendServerId);
    if (record?.pool === undefined || record.closed !== undefined) {
      return;
    }
    const { slotCount } = record.announcement;
    const usedCount = this.#options.countUsedSlots(backendServerId);
    const list = this.#findFreeList(record.pool);
    list.set({
      backendServerId,
      pool: record.pool,
      zone: record.zone,
      freeSlotCount: slotCount - usedCount,
      slotCount,
    });
  }

  /**
   * Removes a backend server.
   *
   * @param backendServerId - Id of a backend server that has stopped announcing
   * itself.
   */
  remove(backendServerId: string): void {
    this.#close(backendServerId);
    this.#leavingIds.delete(backendServerId);
    this.#records.delete(backendServerId);
  }

  #findClosedReason(
    record: SlotRecord,
    nowMs: number,
  ): ClosedReason | undefined {
    const placed = this.#index.findVm(record.announcement.vm);
    if (record.announcement.leaving) {
      return "leaving";
    }
    if (record.receivedAtMs < nowMs - ANNOUNCEMENT_TTL_MS) {
      return "silent";
    }
    if (placed?.pool === undefined || !placed.serving) {
      return "notServing";
    }
    if (this.#index.findZoneOut(record.zone) !== undefined) {
      return "zoneOut";
    }
    if (record.receivedAtMs < this.#options.findVerifiedFromMs()) {
      return "unverified";
    }
    return undefined;
  }

  // A few random picks usually find an allowed backend server. The linear scan
  // only runs for requests that exclude nearly all of them.
  #pickAllowed(
    free: FreeBackendList,
    excludedBackendIds: readonly string[],
  ): BackendCandidate | undefined {
    for (let pickCount = 0; pickCount < MAX_RANDOM_PICKS; pickCount += 1) {
      const chosen = this.#options.picker.pick(free);
      if (
        chosen !== undefined &&
        !excludedBackendIds.includes(chosen.backendServerId)
      ) {
        return chosen;
      }
    }
    return free.find((candidate) =>
      !excludedBackendIds.includes(candidate.backendServerId)
    );
  }

  #close(backendServerId: string): void {
    const record = this.#records.get(backendServerId);
    if (record?.pool === undefined || record.closed !== undefined) {
      return;
    }
    this.#changeOpenCount(record.pool, -1);
    this.#freeByPool.get(record.pool)?.remove(backendServerId);
    record.closed = "silent";
  }

  #changeOpenCount(pool: string, delta: number): void {
    const openCount = (this.#openCountByPool.get(pool) ?? 0) + delta;
    this.#openCountByPool.set(pool, openCount);
  }

  #findFreeList(pool: string): FreeBackendList {
    const list = this.#freeByPool.get(pool) ?? new FreeBackendList();
    this.#freeByPool.set(pool, list);
    return list;
  }
}
