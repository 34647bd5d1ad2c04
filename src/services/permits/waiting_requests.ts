/** Requests of this entry that wait for a permit, in arrival order. */
import type { Failure } from "../../domain/index.ts";
import type { Result } from "true-myth";
import type { Permit, PermitRequest } from "../permits.ts";
import type { PermitWant } from "./permit_messages.ts";

/** A request that waits for a permit. */
export interface WaitingRequest {
  readonly request: PermitRequest;
  /** Monotonic time at which the wait began. */
  readonly sinceMs: number;
  /** Ends the wait with a permit or a failure. */
  readonly settle: (result: Result<Permit, Failure>) => void;
}

interface RequestGroup {
  readonly team: string;
  readonly queue: string;
  readonly excludedBackendIds: readonly string[];
  readonly waiting: Set<WaitingRequest>;
}

/** Groups waiting requests by team, queue and excluded backend servers. */
export class WaitingRequests {
  readonly #groups = new Map<string, Map<string, RequestGroup>>();

  /** Adds a request after those that already wait. */
  add(waiting: WaitingRequest): void {
    const { admission, excludedBackendIds } = waiting.request;
    const key = createTeamQueueKey(admission.teamName, admission.queue.name);
    const groups = this.#groups.get(key) ?? new Map<string, RequestGroup>();
    this.#groups.set(key, groups);
    const excluded = [...excludedBackendIds].sort();
    const group = groups.get(excluded.join(" ")) ?? {
      team: admission.teamName,
      queue: admission.queue.name,
      excludedBackendIds: excluded,
      waiting: new Set(),
    };
    groups.set(excluded.join(" "), group);
    group.waiting.add(waiting);
  }

  /** Removes a request in constant time, regardless of how many wait. */
  remove(waiting: WaitingRequest): void {
    const { admission, excludedBackendIds } = waiting.request;
    const key = createTeamQueueKey(admission.teamName, admission.queue.name);
    const groups = this.#groups.get(key);
    const excludedKey = [...excludedBackendIds].sort().join(" ");
    const group = groups?.get(excludedKey);
    group?.waiting.delete(waiting);
    if (group?.waiting.size === 0) {
      groups?.delete(excludedKey);
    }
    if (groups?.size === 0) {
      this.#groups.delete(key);
    }
  }

  /**
   * Finds the request that has waited longest.
   *
   * @param team - Name of the team.
   * @param queue - Name of the queue.
   * @param backendServerId - Backend server on which it would run.
   * @returns The request, or undefined when none may run on that server.
   */
  findFirst(
    team: string,
    queue: string,
    backendServerId: string,
  ): WaitingRequest | undefined {
    let first: WaitingRequest | undefined;
    for (const group of this.#listGroups(team, queue)) {
      const [oldest] = group.waiting;
      const isAllowed = !group.excludedBackendIds.includes(backendServerId);
      const isFirst = first === undefined ||
        (oldest !== undefined && oldest.sinceMs < first.sinceMs);
      if (isAllowed && isFirst) {
        first = oldest;
      }
    }
    return first;
  }

  /**
   * Lists the wants for a report.
   *
   * @param nowMs - Monotonic time.
   * @returns One want for each group of waiting requests.
   */
  listWants(nowMs: number): PermitWant[] {
    const wants: PermitWant[] = [];
    for (const groups of this.#groups.values()) {
      for (
        const { team, queue, excludedBackendIds, waiting } of groups.values()
      ) {
        const [oldest] = waiting;
        wants.push({
          team,
          queue,
          excludedBackendIds: [...excludedBackendIds],
          count: waiting.size,
          oldestWaitMs: nowMs - (oldest?.sinceMs ?? nowMs),
        });
      }
    }
    return wants;
  }

  #listGroups(team: string, queue: string): Iterable<RequestGroup> {
    return this.#groups.get(createTeamQueueKey(team, queue))?.values() ?? [];
  }
}

/**
 * Creates the key by which idle permits are matched to waiting requests.
 *
 * @param team - Name of the team.
 * @param queue - Name of the queue.
 * @returns The key, which is unique because names contain no slash.
 */
export function createTeamQueueKey(team: string, queue: string): string {
  return `${team}/${queue}`;
}
