/** What a new coordinator cannot know yet, and so does not grant. */
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

// Backend servers that announce twice a second are heard by then.
const VERIFICATION_MS = 1_000;

/** Options of {@link Takeover}. */
export interface TakeoverOptions {
  readonly coordinatorId: string;
  /** Monotonic time at which this entry became leader. */
  readonly leaderSinceMs: number;
  /** All entries of the deployment, the coordinator's included. */
  readonly entryIds: readonly string[];
  readonly table: PermitTable;
}

/** Finds out what the permits of earlier coordinators still run. */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #missingEntryIds: Set<string>;
  /** Permits of earlier coordinators that entries have given back. */
  readonly #returnedIds = new Set<string>();
  #verifiedFromMs: number;
  #isComplete = false;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#missingEntryIds = new Set(options.entryIds);
    // The former coordinator let no lease outlast its confirmation.
    this.#verifiedFromMs = options.leaderSinceMs + MAX_LEADER_CONFIRMATION_MS +
      MAX_START_DELAY_MS + MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /**
   * Monotonic time from which an announcement shows all that was started under
   * permits of earlier coordinators.
   */
  get verifiedFromMs(): number {
    return this.#verifiedFromMs;
  }

  /**
   * Tells whether entries should keep the permits that they have.
   *
   * @param nowMs - Monotonic time.
   * @returns True until most backend servers can have been heard.
   */
  isRunning(nowMs: number): boolean {
    return nowMs < this.#verifiedFromMs + VERIFICATION_MS;
  }

  /**
   * Notes that an entry has listed its permits; it has dropped all grants of
   * earlier coordinators that it does not list.
   *
   * @param entryId - Id of the entry.
   * @param nowMs - Monotonic time.
   * @returns True when all entries have done so now.
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

  /** Notes that an entry has given a permit back. */
  recordReturn(permitId: string): void {
    if (!this.#isOwn(permitId)) {
      this.#returnedIds.add(permitId);
    }
  }

  /**
   * Counts what a backend server runs under permits of earlier coordinators.
   *
   * @param announcement - The announcement.
   * @param pool - Pool of the backend server.
   * @param maxRunMs - Longest time that an attempt may run.
   * @param nowMs - Monotonic time.
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
   * Counts the slots whose use is unknown: of backend servers that have been
   * silent since the takeover, for as long as an attempt there may run.
   *
   * @param slots - The backend servers.
   * @param maxRunMs - Longest time that an attempt may run.
   * @param nowMs - Monotonic time.
   * @returns How many more attempts any team may have running.
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
