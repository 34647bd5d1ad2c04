/** Reserves runners for long-running tasks that fit nowhere yet. */
import { fitsInto, type RunnerIncarnation } from "../../domain/index.ts";
import {
  type Candidate,
  isAllowed,
  type PlacementDemand,
} from "./placement_policy.ts";

/**
 * Longest time for which a runner is reserved, in milliseconds. Work that only
 * the reserved runner can take waits for less than the 3 s in which the platform
 * expects it to start.
 */
const MAX_RESERVATION_MS = 2_000;
/** Time after a reservation in which the runner is not reserved again (ms). */
const RESERVATION_PAUSE_MS = 2_000;

/**
 * Reserves runners, and limits for how long.
 *
 * Without a reservation, smaller tasks would fill each gap on a full runner
 * before it is large enough for a task that is earlier in the order.
 */
export class RunnerReservations {
  /** Wall-clock times at which the runners were first reserved (ms). */
  readonly #sinceMs = new Map<string, number>();

  /**
   * Reserves the runner with the most free processor capacity for a task that
   * fits nowhere.
   *
   * Only a runner that has room for the task once everything else but
   * long-running tasks has ended is reserved. At most one runner of a pool is
   * reserved, and none in a pool of one runner.
   *
   * @param candidates - Runners of the pool; the reserved one is marked.
   * @param demand - The demand of the task that fits nowhere.
   * @param nowMs - Wall-clock time (ms).
   */
  reserveRoomiest(
    candidates: readonly Candidate[],
    demand: PlacementDemand,
    nowMs: number,
  ): void {
    const isTaken = candidates.some(({ isReserved }) => isReserved);
    if (isTaken || candidates.length < 2) {
      return;
    }
    let roomiest: Candidate | undefined;
    for (const candidate of candidates) {
      const isRoomier = roomiest === undefined ||
        candidate.free.cpuMillicores > roomiest.free.cpuMillicores;
      if (
        isRoomier && isAllowed(candidate, demand) &&
        fitsInto(demand.held, candidate.attainable) &&
        this.#mayReserve(candidate, nowMs)
      ) {
        roomiest = candidate;
      }
    }
    if (roomiest !== undefined) {
      const key = formatIncarnation(roomiest);
      this.#sinceMs.set(key, this.#sinceMs.get(key) ?? nowMs);
      roomiest.isReserved = true;
    }
  }

  #mayReserve(candidate: Candidate, nowMs: number): boolean {
    const key = formatIncarnation(candidate);
    const sinceMs = this.#sinceMs.get(key);
    if (sinceMs === undefined) {
      return true;
    }
    const passedMs = nowMs - sinceMs;
    // A wall clock that was set back must not prolong a reservation or a pause.
    if (
      passedMs < 0 || passedMs >= MAX_RESERVATION_MS + RESERVATION_PAUSE_MS
    ) {
      this.#sinceMs.delete(key);
      return true;
    }
    return passedMs < MAX_RESERVATION_MS;
  }
}

function formatIncarnation({ runnerId, bornAtMs }: RunnerIncarnation): string {
  return `${runnerId}@${bornAtMs}`;
}
