/**
 * Versioned changes to the set of backend servers, for entries that did not
 * receive the announcements themselves.
 */
import type { Announcement } from "../../domain/index.ts";

interface Member {
  readonly version: number;
  /** Undefined after the backend server has stopped announcing itself. */
  readonly announcement: Announcement | undefined;
}

/** Changes to the set of backend servers since a version. */
export interface MembershipChanges {
  readonly membershipVersion: number;
  /** Backend servers added or changed, without their running attempts. */
  readonly members: Announcement[];
  /** Backend servers that have stopped announcing themselves. */
  readonly silentBackendIds: string[];
}

/** Numbers the changes, so that each entry is sent each change once. */
export class MembershipLog {
  readonly #members = new Map<string, Member>();
  #version = 0;

  /**
   * Records an announcement unless it changes nothing that entries need.
   *
   * @param announcement - The announcement.
   */
  record(announcement: Announcement): void {
    const { backendServerId } = announcement;
    const known = this.#members.get(backendServerId)?.announcement;
    if (known === undefined || !hasSameProperties(known, announcement)) {
      this.#put(backendServerId, { ...announcement, running: [] });
    }
  }

  /**
   * Records that a backend server has stopped announcing itself.
   *
   * @param backendServerId - Id of the backend server.
   */
  recordSilent(backendServerId: string): void {
    if (this.#members.get(backendServerId)?.announcement !== undefined) {
      this.#put(backendServerId, undefined);
    }
  }

  /**
   * Lists the changes since a version.
   *
   * @param version - Version that the entry knows; 0 when it knows none.
   * @returns The latest state of each backend server that changed after it.
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

function hasSameProperties(left: Announcement, right: Announcement): boolean {
  return left.vm === right.vm && left.host === right.host &&
    left.port === right.port && left.slotCount === right.slotCount &&
    left.connectionCount === right.connectionCount &&
    left.leaving === right.leaving;
}
