/** Keeps the backend servers whose announcements have reached this entry. */
import type { Announcement } from "../domain/index.ts";
import type { Clock } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

/**
 * Time without announcements after which a backend server gets no new work, in
 * milliseconds.
 */
export const ANNOUNCEMENT_TTL_MS = 3_000;

/** A backend server and the time of its latest announcement. */
export interface KnownBackend {
  readonly announcement: Announcement;
  /**
   * Estimated monotonic time of the announcement in milliseconds: its arrival
   * at this entry minus its age then. The present for a backend server whose
   * newest announcement has reached other entries only.
   */
  readonly announcedAtMs: number;
}

/** Changes to the set of backend servers that other entries know. */
export interface MemberChanges {
  /** Announcements of new and changed backend servers. */
  readonly members: readonly Announcement[];
  /** Ids of backend servers that have stopped announcing themselves. */
  readonly silentBackendIds: readonly string[];
  /** Whether the members replace all members known so far. */
  readonly replacesAll: boolean;
}

/** Keeps the newest announcement of each backend server. */
export class BackendDirectory {
  readonly #clock: Clock;
  readonly #backends = new Map<string, KnownBackend>();
  readonly #unrelayed = new Set<string>();
  /** Backend servers whose announcements other entries have received. */
  readonly #members = new Map<string, Announcement>();
  /** Notifies when an announcement has been accepted. */
  readonly changed = new Notifier();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Accepts an announcement.
   *
   * @param announcement - Received from the backend server or through a peer.
   * @param ageMs - Age of the announcement, in milliseconds.
   * @returns False for a late or duplicate announcement, which is ignored.
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
   * Takes the announcements that have not been sent to the coordinator yet.
   *
   * @returns The newest announcement of each backend server with its age in
   * milliseconds.
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
   * Marks announcements to be sent again because their report may be lost.
   *
   * @param announcements - The announcements in the report.
   */
  markUnrelayed(announcements: readonly Announcement[]): void {
    for (const { backendServerId } of announcements) {
      this.#unrelayed.add(backendServerId);
    }
  }

  /**
   * Applies changes to the set of backend servers that other entries know.
   *
   * @param changes - The changes, or the whole set if it replaces the old one.
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

  /** Marks all announcements to be sent to a new coordinator. */
  markAllUnrelayed(): void {
    this.markUnrelayed(this.listAll().map(({ announcement }) => announcement));
  }

  /**
   * Finds a backend server.
   *
   * @param backendServerId - Id of the backend server.
   * @returns Its newest announcement regardless of age, or undefined.
   */
  find(backendServerId: string): KnownBackend | undefined {
    return this.#backends.get(backendServerId);
  }

  /**
   * Lists the backend servers that may get new work.
   *
   * @returns The backend servers that are not leaving and that have announced
   * themselves within {@link ANNOUNCEMENT_TTL_MS}, here or on another entry.
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
   * Lists all backend servers that have not been removed.
   *
   * @returns Every backend server with its newest announcement.
   */
  listAll(): KnownBackend[] {
    return [...this.#backends.values()];
  }

  /**
   * Removes backend servers that have stopped announcing themselves.
   *
   * @param silentMs - Time without an announcement after which a backend server
   * is removed, in milliseconds.
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
