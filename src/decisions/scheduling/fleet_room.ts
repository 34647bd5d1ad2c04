/** Measures the room of the pools and what teams use of it. */
import {
  indexTeams,
  type JobTeam,
  type Runner,
  type SchedulingState,
} from "../../domain/index.ts";

/**
 * Time after which a waiting occurrence gets runners ahead of others, within
 * {@link LONG_WAIT_SHARE} of its pool, in milliseconds.
 */
export const LONG_WAIT_MS = 30_000;

/** The CPU of one pool. */
export interface PoolRoom {
  /**
   * Capacity of the runners that may get work, and what runs on the others
   * (millicores).
   */
  readonly capacityMillicores: number;
  /** Free on the runners that may get work (millicores). */
  readonly freeMillicores: number;
  /** Reserved by the running tasks of each team (millicores). */
  readonly usedByTeam: ReadonlyMap<string, number>;
  /**
   * Reserved by running tasks, other than long-running ones, of occurrences
   * that were due {@link LONG_WAIT_MS} ago (millicores).
   */
  readonly longWaitMillicores: number;
}

/** The room of pools, with the teams of the catalog. */
export interface FleetRoom {
  /** Only pools that were measured; by name. */
  readonly pools: ReadonlyMap<string, PoolRoom>;
  readonly teams: ReadonlyMap<string, JobTeam>;
}

/** Nothing was measured; no pool counts as full. */
export const NO_ROOM: FleetRoom = { pools: new Map(), teams: new Map() };

/** Input of {@link measureFleetRoom}. */
export interface FleetRoomInput {
  readonly state: SchedulingState;
  /** Names of the pools to measure. */
  readonly pools: ReadonlySet<string>;
  /** Returns whether a runner may get work now. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
  /** Wall-clock time (ms). */
  readonly nowMs: number;
}

type MutableRoom =
  & { -readonly [Field in keyof PoolRoom]: PoolRoom[Field] }
  & { readonly usedByTeam: Map<string, number> };

/**
 * Measures the room of pools.
 *
 * @param input - State, pools and time.
 * @returns The room by pool; pools without runners are left out.
 */
export function measureFleetRoom(
  { state, pools, mayPlaceOn, nowMs }: FleetRoomInput,
): FleetRoom {
  const rooms = new Map<string, MutableRoom>();
  for (const runner of pools.size === 0 ? [] : state.runners.values()) {
    if (!pools.has(runner.pool)) {
      continue;
    }
    const room = rooms.get(runner.pool) ?? createRoom();
    rooms.set(runner.pool, room);
    addRunner(room, runner, { state, mayPlaceOn, nowMs });
  }
  return {
    pools: rooms,
    teams: indexTeams(state.catalog).byId,
  };
}

function createRoom(): MutableRoom {
  return {
    capacityMillicores: 0,
    freeMillicores: 0,
    usedByTeam: new Map(),
    longWaitMillicores: 0,
  };
}

function addRunner(
  room: MutableRoom,
  runner: Runner,
  { state, mayPlaceOn, nowMs }: Omit<FleetRoomInput, "pools">,
): void {
  const { running, used } = state.jobs.findLoad(runner);
  const usedMillicores = used.cpuMillicores;
  if (mayPlaceOn(runner)) {
    const { cpuMillicores } = runner.capacity;
    room.capacityMillicores += cpuMillicores;
    room.freeMillicores += Math.max(0, cpuMillicores - usedMillicores);
  } else {
    room.capacityMillicores += usedMillicores;
  }
  for (const { id, job, step } of running.values()) {
    if (step.usesLeftovers) {
      continue;
    }
    const { cpuMillicores } = step.needs;
    if (job.team !== undefined) {
      const before = room.usedByTeam.get(job.team) ?? 0;
      room.usedByTeam.set(job.team, before + cpuMillicores);
    }
    const dueMs = job.findDueMs(id.occurrence);
    if (!step.isEndless && nowMs - dueMs > LONG_WAIT_MS) {
      room.longWaitMillicores += cpuMillicores;
    }
  }
}
