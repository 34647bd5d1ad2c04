/** The backend servers that have announced themselves, as known on this entry. */
import type { Announcement } from "../domain/index.ts";
import type { Clock } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

/** Time after which a backend server that stays silent gets no new work. */
export const ANNOUNCEMENT_TTL_MS = 3_000;

/** A backend server with the time of its last announcement. */
export interface KnownBackend {
  readonly announcement: Announcement;
  /** Monotonic time at which the announcement was made, as far as known here. */
  readonly announcedAtMs: number;
}

/** What changed in the set of backend servers. */
export interface MemberChanges {
  readonly members: readonly Announcement[];
  readonly silentBackendIds: readonly string[];
  /** Whether it replaces all that was known. */
  readonly replacesAll: boolean;
}

/** Keeps the newest announcement of each backend server. */
export class BackendDirectory {
  readonly #clock: Clock;
  readonly #backends = new Map<string, KnownBackend>();
  readonly #unrelayed = new Set<string>();
  /** Backend servers that other entries have heard. */
  readonly #members = new Map<string, Announcement>();
  /** Wakes when an announcement has changed what is known. */
  readonly changed = new Notifier();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Takes in an announcement.
   *
   * @param announcement - From the backend server itself or through a peer.
   * @param ageMs - How long ago it was made, in milliseconds.
   * @returns False for a late or doubled announcement, which changes nothing.
   */
  accept(announcement: Announcement, ageMs = 0): boolean {
    const known = this.#backends.get(announcement.backendServerId);
    if (
      known !== undefined &&
      known.announcement.sequence >= announcement.sequence
    ) {
      return false;
    }
    const announcedAtMs = this.#clock.monotonicMs() - ageMs;
    this.#backends.set(announcement.backendServerId, {
      announcement,
      announcedAtMs,
    });
    this.#unrelayed.add(announcement.backendServerId);
    this.changed.notify();
    return true;
  }

  /**
   * Takes the announcements that the coordinator has not been told.
   *
   * @returns The newest one of each backend server, with its age (ms).
   */
  takeUnrelayed(): { announcement: Announcement; ageMs: number }[] {
    const nowMs = this.#clock.monotonicMs();
    const taken = [...this.#unrelayed]
      .map((backendServerId) => this.#backends.get(backendServerId))
      .filter((known) => known !== undefined)
      .map(({ announcement, announcedAtMs }) => ({
        announcement,
        ageMs: Math.max(0, nowMs - announcedAtMs),
      }));
    this.#unrelayed.clear();
    return taken;
  }

  /**
   * Marks announcements for another report, as the last one may be lost.
   *
   * @param announcements - What the report carried.
   */
  markUnrelayed(announcements: readonly Announcement[]): void {
    for (const { backendServerId } of announcements) {
      this.#unrelayed.add(backendServerId);
    }
  }

  /**
   * Takes in which backend servers other entries have heard.
   *
   * @param changes - New, changed and silent ones; all when it is whole.
   */
  applyMemberChanges(changes: MemberChanges): void {
    if (changes.replacesAll) {
      this.#members.clear();
    }
    for (const announcement of changes.members) {
      this.#members.set(announcement.backendServerId, announcement);
    }
    for (const backendServerId of changes.silentBackendIds) {
      this.#members.delete(backendServerId);
    }
  }

  /** Marks all announcements for a report to a new coordinator. */
  markAllUnrelayed(): void {
    this.markUnrelayed(this.listAll().map(({ announcement }) => announcement));
  }

  /**
   * Finds a backend server.
   *
   * @param backendServerId - Id of the backend server.
   * @returns Its newest announcement, however old, or undefined.
   */
  find(backendServerId: string): KnownBackend | undefined {
    return this.#backends.get(backendServerId);
  }

  /**
   * Lists the backend servers that may get new work.
   *
   * @returns Those heard within {@link ANNOUNCEMENT_TTL_MS}, here or by other
   * entries, that are not leaving.
   */
  listServing(): KnownBackend[] {
    const nowMs = this.#clock.monotonicMs();
    const serving = new Map<string, KnownBackend>();
    for (const announcement of this.#members.values()) {
      serving.set(announcement.backendServerId, {
        announcement,
        announcedAtMs: nowMs,
      });
    }
    for (const known of this.#backends.values()) {
      const { backendServerId, sequence } = known.announcement;
      const other = serving.get(backendServerId)?.announcement;
      const isNewest = other === undefined || sequence >= other.sequence;
      if (isNewest && known.announcedAtMs >= nowMs - ANNOUNCEMENT_TTL_MS) {
        serving.set(backendServerId, known);
      }
    }
    return [...serving.values()].filter(({ announcement }) =>
      !announcement.leaving
    );
  }

  /**
   * Lists all backend servers ever heard and not yet forgotten.
   *
   * @returns Every kept announcement.
   */
  listAll(): KnownBackend[] {
    return [...this.#backends.values()];
  }

  /**
   * Forgets backend servers that have been silent for long.
   *
   * @param silentMs - Silence after which one is forgotten, in milliseconds.
   */
  removeSilent(silentMs: number): void {
    const oldestMs = this.#clock.monotonicMs() - silentMs;
    for (const [backendServerId, { announcedAtMs }] of this.#backends) {
      if (announcedAtMs < oldestMs) {
        this.#backends.delete(backendServerId);
        this.#unrelayed.delete(backendServerId);
      }
    }
  }
}
