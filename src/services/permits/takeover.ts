/**
 * Takeover by a new coordinator. It does not know yet what runs under permits
 * of earlier coordinators, so it must not grant the slots that may be in use.
 */
import type { Announcement } from "../../domain/index.ts";
import { ANNOUNCEMENT_TTL_MS } from "../backend_directory.ts";
import { parseAttemptId } from "./permit_id.ts";
import type { PermitTable } from "./permit_table.ts";
import type { SlotTable } from "./slot_table.ts";
import {
  MAX_ANNOUNCEMENT_DELAY_MS,
  MAX_LEADER_CONFIRMATION_MS,
  MAX_START_DELAY_MS,
  PERMIT_LEASE_MS,
} from "./permit_times.ts";

// Backend servers announce themselves twice a second and are known by then.
const VERIFICATION_MS = 1_000;

/** Options of {@link Takeover}. */
export interface TakeoverOptions {
  readonly coordinatorId: string;
  /** Steady time at which this entry became leader. */
  readonly leaderSinceMs: number;
  /** All entries of the deployment, including the coordinator's. */
  readonly entryIds: readonly string[];
  readonly table: PermitTable;
}

/** Determines what still runs under permits of earlier coordinators. */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #missingEntryIds: Set<string>;
  /** Permits of earlier coordinators that entries have returned. */
  readonly #returnedIds = new Set<string>();
  #verifiedFromMs: number;
  #isComplete = false;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#missingEntryIds = new Set(options.entryIds);
    // The previous coordinator granted no lease beyond its own confirmation as
    // leader, so its leases have ended by then.
    this.#verifiedFromMs = options.leaderSinceMs + MAX_LEADER_CONFIRMATION_MS +
      MAX_START_DELAY_MS + MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /**
   * Steady time from which an announcement lists all attempts started under
   * permits of earlier coordinators.
   */
  get verifiedFromMs(): number {
    return this.#verifiedFromMs;
  }

  /**
   * Returns whether entries should keep the permits that they hold.
   *
   * @param nowMs - Steady time.
   * @returns True until most backend servers have had time to announce
   * themselves.
   */
  isRunning(nowMs: number): boolean {
    return nowMs < this.#verifiedFromMs + VERIFICATION_MS;
  }

  /**
   * Records that an entry has listed the permits that it holds. From then on,
   * the entry ignores any other grant of earlier coordinators.
   *
   * @param entryId - Id of the entry.
   * @param nowMs - Steady time.
   * @returns True when this was the last entry to list its permits.
   */
  markEntryReported(entryId: string, nowMs: number): boolean {
    const isLast = this.#missingEntryIds.delete(entryId) &&
      this.#missingEntryIds.size === 0;
    if (isLast) {
      const allListedMs = nowMs + MAX_START_DELAY_MS +
        MAX_ANNOUNCEMENT_DELAY_MS;
      this.#verifiedFromMs = Math.min(this.#verifiedFromMs, allListedMs);
    }
    return isLast;
  }

  /** Records that an entry has returned a permit. */
  recordReturn(permitId: string): void {
    if (!this.#isOwn(permitId)) {
      this.#returnedIds.add(permitId);
    }
  }

  /**
   * Counts the attempts that a backend server runs under permits of earlier
   * coordinators, as far as they are not counted yet.
   *
   * @param announcement - The announcement.
   * @param pool - Pool of the backend server.
   * @param maxRunMs - Maximum time that an attempt may run.
   * @param nowMs - Steady time.
   */
  adopt(
    announcement: Announcement,
    pool: string,
    maxRunMs: number,
    nowMs: number,
  ): void {
    const { table, coordinatorId } = this.#options;
    for (const { attemptId } of announcement.running) {
      const parts = parseAttemptId(attemptId);
      const isUnknown = parts !== undefined &&
        parts.coordinatorId !== coordinatorId &&
        table.find(parts.permitId) === undefined &&
        !this.#returnedIds.has(parts.permitId);
      if (isUnknown) {
        const { permitId, team, attemptCount } = parts;
        const { backendServerId } = announcement;
        const permit = {
          permitId,
          team,
          pool,
          backendServerId,
          queue: "",
          runLeaseMs: maxRunMs,
        };
        const record = table.add(permit, undefined);
        table.markOrphaned(record, { sentUntilMs: nowMs, attemptCount });
      }
    }
  }

  /**
   * Counts the slots whose use is unknown. These are slots of backend servers
   * that have not announced themselves since the takeover, for as long as an
   * attempt may still run there.
   *
   * @param slots - The backend servers.
   * @param maxRunMs - Maximum time that an attempt may run.
   * @param nowMs - Steady time.
   * @returns Number of unknown attempts that may run for any one team.
   */
  countUnknown(slots: SlotTable, maxRunMs: number, nowMs: number): number {
    if (this.#isComplete) {
      return 0;
    }
    const maxUnseenRunMs = ANNOUNCEMENT_TTL_MS + PERMIT_LEASE_MS +
      MAX_START_DELAY_MS + maxRunMs;
    let unknownCount = 0;
    for (const { announcement, receivedAtMs } of slots.listAll()) {
      const mayRun = receivedAtMs < this.#verifiedFromMs &&
        receivedAtMs + maxUnseenRunMs > nowMs;
      if (mayRun) {
        const { backendServerId, slotCount } = announcement;
        const knownCount = this.#options.table.countBackend(backendServerId);
        unknownCount += Math.max(0, slotCount - knownCount);
      }
    }
    this.#isComplete = unknownCount === 0 &&
      nowMs > this.#verifiedFromMs + maxUnseenRunMs;
    return unknownCount;
  }

  #isOwn(permitId: string): boolean {
    return permitId.includes(`:${this.#options.coordinatorId}-`);
  }
}
