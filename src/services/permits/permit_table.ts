/** Permits that count against the limits of teams and backend servers. */
import type { Announcement } from "../../domain/index.ts";
import type { HeldPermit } from "./permit_messages.ts";
import { parseAttemptId } from "./permit_id.ts";
import {
  MAX_ANNOUNCEMENT_DELAY_MS,
  MAX_START_DELAY_MS,
} from "./permit_times.ts";

/** State of a permit that no entry holds any more but whose attempt may run. */
export interface OrphanState {
  /** Steady time after which no attempt can be sent under the permit. */
  readonly sentUntilMs: number;
  /** Number of the last attempt, which may still run; undefined if unknown. */
  readonly attemptCount?: number | undefined;
}

/** A permit that counts against the limits of its team and backend server. */
export interface PermitRecord extends HeldPermit {
  /**
   * Entry that holds the permit, or that held it last; undefined when only an
   * announcement names the permit.
   */
  readonly entryId: string | undefined;
  /** Undefined while an entry holds the permit. */
  orphan: OrphanState | undefined;
  /** Whether an announcement has listed the last attempt of the orphan. */
  wasListed: boolean;
}

/** Attempt numbers that an announcement lists, by permit id. */
type ListedAttempts = ReadonlyMap<string, ReadonlySet<number>>;

/** Options of {@link PermitTable}. */
export interface PermitTableOptions {
  /** Called when the number of used slots of a backend server has changed. */
  readonly onSlotsChanged: (backendServerId: string) => void;
}

/** Counts each permit once until its last attempt is known to have ended. */
export class PermitTable {
  readonly #options: PermitTableOptions;
  readonly #records = new Map<string, PermitRecord>();
  readonly #orphansByBackend = new Map<string, Set<PermitRecord>>();
  readonly #listedByBackend = new Map<string, ListedAttempts>();
  readonly #countByTeam = new Map<string, number>();
  readonly #countByBackend = new Map<string, number>();
  readonly #countByEntry = new Map<string, number>();

  constructor(options: PermitTableOptions) {
    this.#options = options;
  }

  /** Number of counted permits. */
  get size(): number {
    return this.#records.size;
  }

  /** Counts the permits of a team. */
  countTeam(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /** Lists the teams with counted permits. */
  listTeams(): IterableIterator<string> {
    return this.#countByTeam.keys();
  }

  /** Counts the permits for a backend server. */
  countBackend(backendServerId: string): number {
    return this.#countByBackend.get(backendServerId) ?? 0;
  }

  /** Counts an entry's permits, including orphans, for a backend server. */
  countEntry(entryId: string, backendServerId: string): number {
    return this.#countByEntry.get(`${entryId} ${backendServerId}`) ?? 0;
  }

  /** Finds a counted permit. */
  find(permitId: string): PermitRecord | undefined {
    return this.#records.get(permitId);
  }

  /** Lists the permits that an entry holds; orphans are not included. */
  listHeld(entryId: string): PermitRecord[] {
    return [...this.#records.values()].filter((record) =>
      record.entryId === entryId && record.orphan === undefined
    );
  }

  /**
   * Starts counting a permit. A permit that is already counted is replaced and
   * is no longer an orphan.
   *
   * @param permit - The permit.
   * @param entryId - The entry that holds it, if any.
   * @returns The record.
   */
  add(permit: HeldPermit, entryId: string | undefined): PermitRecord {
    this.free(permit.permitId);
    const record: PermitRecord = {
      permitId: permit.permitId,
      team: permit.team,
      queue: permit.queue,
      pool: permit.pool,
      backendServerId: permit.backendServerId,
      runLeaseMs: permit.runLeaseMs,
      entryId,
      orphan: undefined,
      wasListed: false,
    };
    this.#records.set(record.permitId, record);
    this.#count(record, 1);
    return record;
  }

  /**
   * Stops counting a permit.
   *
   * @param permitId - Id of the permit. An unknown id has no effect.
   */
  free(permitId: string): void {
    const record = this.#records.get(permitId);
    if (record === undefined) {
      return;
    }
    this.#records.delete(permitId);
    this.#dropOrphan(record);
    this.#count(record, -1);
  }

  /**
   * Marks a permit that its entry no longer holds. It stays counted until its
   * last attempt has ended.
   *
   * @param record - The permit.
   * @param orphan - What is known about the last attempt.
   */
  markOrphaned(record: PermitRecord, orphan: OrphanState): void {
    record.orphan = orphan;
    const listed = this.#listedByBackend.get(record.backendServerId);
    record.wasListed = isLastAttempt(record, listed?.get(record.permitId));
    const orphans = this.#orphansByBackend.get(record.backendServerId) ??
      new Set();
    orphans.add(record);
    this.#orphansByBackend.set(record.backendServerId, orphans);
  }

  /**
   * Frees the orphans whose attempts have ended according to an announcement.
   *
   * @param announcement - The newest announcement of the backend server.
   * @param receivedAtMs - Steady time, no later than when an entry received
   * the announcement.
   */
  applyAnnouncement(announcement: Announcement, receivedAtMs: number): void {
    const { backendServerId } = announcement;
    const listed = listAttempts(announcement);
    this.#listedByBackend.set(backendServerId, listed);
    for (const record of this.#orphansByBackend.get(backendServerId) ?? []) {
      const counts = listed.get(record.permitId);
      if (counts !== undefined) {
        record.wasListed ||= isLastAttempt(record, counts);
      } else if (hasEnded(record, receivedAtMs)) {
        this.free(record.permitId);
      }
    }
  }

  /**
   * Discards the attempts that a backend server last announced.
   *
   * @param backendServerId - Id of a backend server that has stopped announcing
   * itself.
   */
  removeListedAttempts(backendServerId: string): void {
    this.#listedByBackend.delete(backendServerId);
  }

  /**
   * Frees the orphans whose run leases have expired.
   *
   * @param nowMs - Steady time.
   */
  freeExpired(nowMs: number): void {
    for (const orphans of [...this.#orphansByBackend.values()]) {
      for (const record of [...orphans]) {
        if (findExpiryMs(record) <= nowMs) {
          this.free(record.permitId);
        }
      }
    }
  }

  #dropOrphan(record: PermitRecord): void {
    const orphans = this.#orphansByBackend.get(record.backendServerId);
    orphans?.delete(record);
    if (orphans?.size === 0) {
      this.#orphansByBackend.delete(record.backendServerId);
    }
  }

  #count(record: PermitRecord, delta: number): void {
    addTo(this.#countByTeam, record.team, delta);
    addTo(this.#countByBackend, record.backendServerId, delta);
    const { entryId = "", backendServerId } = record;
    addTo(this.#countByEntry, `${entryId} ${backendServerId}`, delta);
    this.#options.onSlotsChanged(record.backendServerId);
  }
}

function listAttempts(announcement: Announcement): ListedAttempts {
  const counts = new Map<string, Set<number>>();
  for (const { attemptId } of announcement.running) {
    const parts = parseAttemptId(attemptId);
    if (parts !== undefined) {
      const ofPermit = counts.get(parts.permitId) ?? new Set();
      counts.set(parts.permitId, ofPermit.add(parts.attemptCount));
    }
  }
  return counts;
}

function isLastAttempt(
  { orphan }: PermitRecord,
  attemptCounts: ReadonlySet<number> | undefined,
): boolean {
  const lastCount = orphan?.attemptCount;
  return lastCount !== undefined && attemptCounts?.has(lastCount) === true;
}

// An announcement does not list an attempt that is still in transit. A missing
// attempt has therefore ended only if an earlier announcement listed it, or if
// the backend server made this one after the attempt must have arrived.
function hasEnded(record: PermitRecord, receivedAtMs: number): boolean {
  const sentUntilMs = record.orphan?.sentUntilMs ?? Infinity;
  const madeAtMs = receivedAtMs - MAX_ANNOUNCEMENT_DELAY_MS;
  return record.wasListed || madeAtMs >= sentUntilMs + MAX_START_DELAY_MS;
}

function findExpiryMs({ orphan, runLeaseMs }: PermitRecord): number {
  return orphan === undefined
    ? Infinity
    : orphan.sentUntilMs + runLeaseMs + MAX_START_DELAY_MS;
}

function addTo(counts: Map<string, number>, key: string, delta: number): void {
  const next = (counts.get(key) ?? 0) + delta;
  if (next === 0) {
    counts.delete(key);
  } else {
    counts.set(key, next);
  }
}
