/** Orders waiting steps so that too little room costs callers least. */
import { computeReservedAmounts } from "../../domain/index.ts";
import type { FleetRoom, PoolRoom } from "./fleet_room.ts";
import { rankFullPool } from "./full_pool.ts";
import {
  type OrderPolicy,
  SLACK_RANKS,
  SlackOrderPolicy,
  type SlackRank,
  type SlackRankedStep,
} from "./order_policy.ts";
import type { ReadyStep } from "./ready_step.ts";
import {
  type FullPool,
  type RankedStep,
  ROOM_PLACES,
  type RoomOrder,
  type RoomPlace,
} from "./room_order.ts";
import { RunDelays } from "./run_delays.ts";

/**
 * Orders the steps of a pool with enough room by slack. In a pool whose waiting
 * work needs more than is free, long-running steps come first; then steps that
 * can end in time, of teams within their share before those beyond; then those
 * that cannot all end in time, and cost callers least; then late ones.
 */
export class LeastCostOrderPolicy implements OrderPolicy {
  readonly #delays: Pick<RunDelays, "find">;
  readonly #slack: SlackOrderPolicy;

  /** @param delays - Delays of recent runs by queue; none by default. */
  constructor(delays: Pick<RunDelays, "find"> = new RunDelays()) {
    this.#delays = delays;
    this.#slack = new SlackOrderPolicy(delays);
  }

  sort(
    steps: readonly ReadyStep[],
    nowMs: number,
    room: FleetRoom,
  ): readonly ReadyStep[] {
    return this.rank(steps, nowMs, room).ranked.map(({ step }) => step);
  }

  /**
   * Sorts steps, and tells why each has its place.
   *
   * @param steps - The waiting steps; the array is not changed.
   * @param nowMs - Wall-clock time (ms).
   * @param room - The room of the pools in which the steps wait.
   */
  rank(
    steps: readonly ReadyStep[],
    nowMs: number,
    room: FleetRoom,
  ): RoomOrder {
    const bySlack = this.#slack.rank(steps, nowMs);
    const fullPools = new Map<string, FullPool>();
    const rankedByStep = new Map<ReadyStep, RankedStep>();
    for (const [pool, entries] of groupByPool(bySlack)) {
      const poolRoom = room.pools.get(pool);
      if (poolRoom === undefined || !isFull(entries, poolRoom)) {
        continue;
      }
      const { ranked, full } = rankFullPool({
        steps: entries,
        room: poolRoom,
        teams: room.teams,
        findDelayMs: (queue) => this.#delays.find(queue, nowMs),
        nowMs,
      });
      fullPools.set(pool, full);
      ranked.forEach((entry) => rankedByStep.set(entry.step, entry));
    }
    const ranked = bySlack.map((entry) =>
      rankedByStep.get(entry.step) ?? toRanked(entry)
    );
    return {
      ranked: fullPools.size === 0 ? ranked : sortByPlace(ranked),
      fullPools,
    };
  }
}

function groupByPool(
  entries: readonly SlackRankedStep[],
): Map<string, SlackRankedStep[]> {
  const byPool = new Map<string, SlackRankedStep[]>();
  for (const entry of entries) {
    const inPool = byPool.get(entry.step.pool) ?? [];
    byPool.set(entry.step.pool, inPool);
    inPool.push(entry);
  }
  return byPool;
}

function isFull(
  entries: readonly SlackRankedStep[],
  { freeMillicores }: PoolRoom,
): boolean {
  let waitingMillicores = 0;
  for (const { step: { record, step } } of entries) {
    waitingMillicores += record.waitingCount *
      computeReservedAmounts(step).cpuMillicores;
  }
  return waitingMillicores > freeMillicores;
}

const PLACE_BY_RANK: Readonly<Record<SlackRank, RoomPlace>> = {
  [SLACK_RANKS.longRunning]: "longRunning",
  [SLACK_RANKS.inTime]: "inTime",
  [SLACK_RANKS.late]: "late",
};

function toRanked({ step, rank }: SlackRankedStep): RankedStep {
  return { step, place: PLACE_BY_RANK[rank], isBeyondShare: false };
}

const PLACE_NUMBERS = new Map(
  ROOM_PLACES.map((place, number) => [place, number]),
);

// Stable, so that steps of equal rank stay in the order of slack.
function sortByPlace(ranked: readonly RankedStep[]): RankedStep[] {
  return ranked.toSorted((left, right) =>
    findNumber(left) - findNumber(right) ||
    Number(left.isBeyondShare) - Number(right.isBeyondShare) ||
    (left.place === "leastCost" ? left.step.priority - right.step.priority : 0)
  );
}

function findNumber({ place }: RankedStep): number {
  return PLACE_NUMBERS.get(place) ?? 0;
}
