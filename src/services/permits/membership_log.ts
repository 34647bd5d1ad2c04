/** Changes of the set of backend servers, for entries that did not hear them. */
import type { Announcement } from "../../domain/index.ts";

interface Member {
  readonly version: number;
  /** Undefined after the backend server has gone silent. */
  readonly announcement: Announcement | undefined;
}

/** What changed since a version. */
export interface MembershipChanges {
  readonly membershipVersion: number;
  /** Backend servers that are new or changed; without what they run. */
  readonly members: Announcement[];
  readonly silentBackendIds: string[];
}

/** Numbers changes, so that each entry is sent each of them once. */
export class MembershipLog {
  readonly #members = new Map<string, Member>();
  #version = 0;

  /**
   * Notes an announcement; one that changes no fact is dropped.
   *
   * @param announcement - The announcement.
   */
  record(announcement: Announcement): void {
    const { backendServerId } = announcement;
    const known = this.#members.get(backendServerId)?.announcement;
    if (known === undefined || !isSame(known, announcement)) {
      this.#put(backendServerId, { ...announcement, running: [] });
    }
  }

  /**
   * Notes that a backend server has gone silent.
   *
   * @param backendServerId - Id of the backend server.
   */
  recordSilent(backendServerId: string): void {
    if (this.#members.get(backendServerId)?.announcement !== undefined) {
      this.#put(backendServerId, undefined);
    }
  }

  /**
   * Lists what changed.
   *
   * @param version - Version that the entry has; 0 when it has none.
   * @returns All changes after it.
   */
  listSince(version: number): MembershipChanges {
    const members: Announcement[] = [];
    const silentBackendIds: string[] = [];
    if (version !== this.#version) {
      for (const [backendServerId, member] of this.#members) {
        if (member.version <= version) {
          continue;
        }
        if (member.announcement === undefined) {
          silentBackendIds.push(backendServerId);
        } else {
          members.push(member.announcement);
        }
      }
    }
    return { membershipVersion: this.#version, members, silentBackendIds };
  }

  #put(backendServerId: string, announcement: Announcement | undefined): void {
    this.#version += 1;
    this.#members.set(backendServerId, {
      version: this.#version,
      announcement,
    });
  }
}

function isSame(left: Announcement, right: Announcement): boolean {
  return left.vm === right.vm && left.host === right.host &&
    left.port === right.port && left.slotCount === right.slotCount &&
    left.connectionCount === right.connectionCount &&
    left.leaving === right.leaving;
}
