/** The order in which waiting steps get room, with the reasons of delays. */
import type { ReadyStep } from "./ready_step.ts";

/** Groups of waiting steps, in the order in which they get room. */
export const ROOM_PLACES = [
  "longRunning",
  /** Waits for so long that it gets room before others. */
  "longWait",
  "inTime",
  /** In time, of a team that exceeds its share of the pool. */
  "beyondShare",
  /** In time, but not all can be, and its delay costs callers least. */
  "leastCost",
  /** Too late for its target, but its result is of use. */
  "late",
  /** Too late for its result to be of use. */
  "useless",
] as const;

/** A group of waiting steps. */
export type RoomPlace = (typeof ROOM_PLACES)[number];

/** A waiting step with its place in the order. */
export interface RankedStep {
  readonly step: ReadyStep;
  readonly place: RoomPlace;
  /** Whether the team of the step exceeds its share of the pool. */
  readonly isBeyondShare: boolean;
}

/** Work that waits, in millicores times milliseconds. */
export interface Backlog {
  /** Of steps that can still end in time. */
  readonly inTime: number;
  /** Of these and of the steps whose results are of use, though late. */
  readonly useful: number;
}

/** A pool whose waiting work needs more than is free. */
export interface FullPool {
  readonly capacityMillicores: number;
  readonly freeMillicores: number;
  readonly waitingMillicores: number;
  /** Of steps whose teams do not exceed their share. */
  readonly backlog: Backlog;
  readonly backlogByTeam: ReadonlyMap<string, Backlog>;
  /** Millicores of the teams whose demand exceeds their share. */
  readonly shareByTeam: ReadonlyMap<string, number>;
  /** Number of waiting steps by group. */
  readonly stepCounts: ReadonlyMap<RoomPlace, number>;
}

/** The order of waiting steps, and the pools that are full. */
export interface RoomOrder {
  readonly ranked: readonly RankedStep[];
  readonly fullPools: ReadonlyMap<string, FullPool>;
}
