import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  DemandCapacityPolicy,
  type IdleVm,
  type PlannedMove,
  type PoolLoad,
  type PoolTurn,
} from "./capacity_policy.ts";
import { TurnCapacityPolicy } from "./turn_capacity_policy.ts";

const VM_MILLICORES = 10_000;
const MOVE_MS = 2_000;
/** Demand that needs 11.5 VMs with the headroom. */
const TURN_MILLICORES = 100_000;

function createLoad(
  pool: string,
  vmCount: number,
  changes: Partial<PoolLoad> = {},
): PoolLoad {
  return {
    pool,
    isStandby: false,
    hasRested: true,
    runningMillicores: 0,
    waitingMillicores: 0,
    arrivingMillicores: 0,
    forecastMillicores: 0,
    apartMillicores: 4 * VM_MILLICORES,
    capacityMillicores: vmCount * VM_MILLICORES,
    ...changes,
  };
}

function createTurn(startsInMs: number, isFirst = false): PoolTurn {
  const endsInMs = startsInMs + 4_000;
  return { startsInMs, endsInMs, millicores: TURN_MILLICORES, isFirst };
}

function createIdle(pool: string, count: number, idleMs = 100): IdleVm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${pool}-${index}`,
    pool,
    cpuMillicores: VM_MILLICORES,
    idleMs,
  }));
}

function plan(
  pools: readonly PoolLoad[],
  idle: readonly IdleVm[],
  reserveMillicores = 0,
): PlannedMove[] {
  return new TurnCapacityPolicy({
    base: new DemandCapacityPolicy(),
    moveMs: MOVE_MS,
    movesPerSecond: 20,
  }).plan({ pools, idle, reserveMillicores });
}

function count(
  moves: readonly PlannedMove[],
  from: string,
  to: string,
): number {
  return moves.filter((move) => move.from === from && move.to === to).length;
}

const STANDBY = createLoad("standby", 20, {
  isStandby: true,
  apartMillicores: 0,
});

// The pattern: the turns of pools come by the clock, and each needs more VMs than
// a pool holds between its turns.
describe("VMs of pools whose turns are known", () => {
  const rested = createLoad("rested", 12, { turns: [createTurn(11_000)] });
  const far = createLoad("far", 4, { turns: [createTurn(9_500)] });

  it("go to the pool whose turn is next", () => {
    const next = createLoad("next", 4, { turns: [createTurn(2_500)] });
    const moves = plan([rested, far, next, STANDBY], createIdle("rested", 8));
    assert.is(count(moves, "rested", "next"), 8);
    assert.is(count(moves, "rested", "standby"), 0);
  });

  it("are parked if they are off for as long as the moves take", () => {
    const next = createLoad("next", 12, { turns: [createTurn(2_500)] });
    const moves = plan([rested, far, next, STANDBY], createIdle("rested", 8));
    assert.is(count(moves, "rested", "standby"), 8);
    assert.is(moves.length, 8);
  });

  it("go to a pool that lacks VMs now before any turn", () => {
    const next = createLoad("next", 4, { turns: [createTurn(2_500)] });
    const busy = createLoad("busy", 4, { waitingMillicores: 200_000 });
    const moves = plan(
      [rested, busy, next, createLoad("standby", 4, { isStandby: true })],
      [...createIdle("rested", 8), ...createIdle("standby", 4)],
    );
    assert.is(count(moves, "rested", "busy"), 8);
    assert.is(count(moves, "standby", "busy"), 4);
  });

  it("stay if the next turn of their pool is near", () => {
    const near = createLoad("near", 12, { turns: [createTurn(4_000)] });
    const moves = plan([near, far, STANDBY], createIdle("near", 8));
    assert.equal(moves, []);
  });

  it("stay where long-running tasks stand apart, with a part of a rack", () => {
    const moves = plan(
      [rested, far, STANDBY],
      createIdle("rested", 12),
      4 * VM_MILLICORES,
    );
    assert.is(
      count(moves, "rested", "standby"),
      6,
      "4 and half of a rack stay",
    );
  });

  // Guards against VMs that leave in the first second of a turn, when a few jobs
  // tell a low demand.
  it("stay while their turn lasts", () => {
    const lasting = createLoad("lasting", 16, { turns: [createTurn(-1_000)] });
    const moves = plan([lasting, STANDBY], createIdle("lasting", 16, 9_000));
    assert.equal(moves, []);
  });
});

describe("VMs that a turn needs beyond those that are on", () => {
  const next = (startsInMs: number) =>
    createLoad("next", 4, { turns: [createTurn(startsInMs)] });

  it("are fetched one move ahead, as fast as moves can be ordered", () => {
    const idle = createIdle("standby", 20);
    assert.is(plan([next(4_000), STANDBY], idle).length, 0);
    assert.is(plan([next(2_350), STANDBY], idle).length, 6);
    assert.is(plan([next(2_250), STANDBY], idle).length, 8);
  });

  it("are fetched at once when the turn comes early, or for a burst", () => {
    const early = createLoad("next", 4, {
      waitingMillicores: 140_000,
      turns: [createTurn(7_000)],
    });
    const moves = plan([early, STANDBY], createIdle("standby", 20));
    assert.is(count(moves, "standby", "next"), 13);
  });

  it("are fetched when a rack is lost", () => {
    const lost = createLoad("rested", 2, { turns: [createTurn(11_000)] });
    const moves = plan([lost, STANDBY], createIdle("standby", 20));
    assert.is(count(moves, "standby", "rested"), 2);
  });
});

describe("VMs of pools whose turns are not known", () => {
  it("stay in the first cycle", () => {
    const first = createLoad("first", 12, {
      hasRested: false,
      turns: [createTurn(9_000, true)],
    });
    assert.equal(plan([first, STANDBY], createIdle("first", 8)), []);
  });

  it("stay as long as in the baseline without turns", () => {
    const pools = [createLoad("steady", 12, { turns: [] }), STANDBY];
    assert.equal(plan(pools, createIdle("steady", 8)), []);
    assert.is(plan(pools, createIdle("steady", 8, 30_000)).length, 8);
  });

  it("stay as in the baseline without a standby pool", () => {
    const rested = createLoad("rested", 12, { turns: [createTurn(9_000)] });
    assert.equal(plan([rested], createIdle("rested", 8)), []);
  });
});
