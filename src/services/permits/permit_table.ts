/** What the coordinator has granted, counted by team and by backend server. */
import type { Announcement } from "../../domain/index.ts";
import type { HeldPermit } from "./permit_messages.ts";
import { parseAttemptId } from "./permit_id.ts";
import {
  MAX_ANNOUNCEMENT_DELAY_MS,
  MAX_START_DELAY_MS,
} from "./permit_times.ts";

/** A permit that nobody answers for, but whose attempt may still run. */
export interface OrphanState {
  /** Monotonic time after which no attempt can have been sent under it. */
  readonly sentUntilMs: number;
  /** The only attempt that may still run, when it is known. */
  readonly attemptCount?: number | undefined;
}

/** A permit that counts against its team and its backend server. */
export interface PermitRecord extends HeldPermit {
  /** The entry that holds it; undefined when only an announcement names it. */
  readonly entryId: string | undefined;
  orphan: OrphanState | undefined;
  /** Whether an announcement has listed the attempt of the orphan. */
  wasListed: boolean;
}

/** Attempts that an announcement lists, by permit id. */
type ListedAttempts = ReadonlyMap<string, ReadonlySet<number>>;

/** Options of {@link PermitTable}. */
export interface PermitTableOptions {
  /** Called when the slots in use at a backend server have changed. */
  readonly onSlotsChanged: (backendServerId: string) => void;
}

/** Counts each permit exactly once until its attempt is known to have ended. */
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

  /** Number of permits that count. */
  get size(): number {
    return this.#records.size;
  }

  /** Counts the permits of a team. */
  countTeam(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /** Lists the teams with permits. */
  listTeams(): IterableIterator<string> {
    return this.#countByTeam.keys();
  }

  /** Counts the permits at a backend server. */
  countBackend(backendServerId: string): number {
    return this.#countByBackend.get(backendServerId) ?? 0;
  }

  /** Counts the permits that an entry has had at a backend server. */
  countEntry(entryId: string, backendServerId: string): number {
    return this.#countByEntry.get(`${entryId} ${backendServerId}`) ?? 0;
  }

  /** Finds a permit that counts. */
  find(permitId: string): PermitRecord | undefined {
    return this.#records.get(permitId);
  }

  /** Lists the permits of an entry that are no orphans. */
  listHeld(entryId: string): PermitRecord[] {
    return [...this.#records.values()].filter((record) =>
      record.entryId === entryId && record.orphan === undefined
    );
  }

  /**
   * Counts a permit; one that counts already is the entry's again.
   *
   * @param permit - The permit.
   * @param entryId - The entry that holds it, if one does.
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
   * @param permitId - Id of the permit; an unknown one has no effect.
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
   * Keeps counting a permit that its entry no longer answers for.
   *
   * @param record - The permit.
   * @param orphan - What is known of its last attempt.
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
   * Frees the orphans that an announcement shows to have ended.
   *
   * @param announcement - What the backend server says is running; newer than
   * any before.
   * @param receivedAtMs - Monotonic time, no later than its arrival at an entry.
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
   * Forgets what a backend server announced.
   *
   * @param backendServerId - Id of a backend server that has been silent long.
   */
  removeListedAttempts(backendServerId: string): void {
    this.#listedByBackend.delete(backendServerId);
  }

  /**
   * Frees the orphans whose attempts have run out of their leases.
   *
   * @param nowMs - Monotonic time.
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

// An attempt on its way is not listed yet: only an announcement made after it
// must have arrived, or one after it was listed, shows that it has ended.
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
