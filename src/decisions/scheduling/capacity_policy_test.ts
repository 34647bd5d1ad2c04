import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  DemandCapacityPolicy,
  FixedCapacityPolicy,
  type IdleVm,
  type PoolLoad,
} from "./capacity_policy.ts";

const VM_MILLICORES = 64_000;

function createLoad(
  pool: string,
  vmCount: number,
  changes: Partial<PoolLoad> = {},
): PoolLoad {
  return {
    pool,
    isStandby: false,
    hasRested: false,
    runningMillicores: 0,
    waitingMillicores: 0,
    arrivingMillicores: 0,
    forecastMillicores: 0,
    apartMillicores: 0,
    capacityMillicores: vmCount * VM_MILLICORES,
    ...changes,
  };
}

function createIdle(pool: string, count: number, idleMs: number): IdleVm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${pool}-${index}`,
    pool,
    cpuMillicores: VM_MILLICORES,
    idleMs,
  }));
}

// Load pattern: one pool after the other gets more demand than it has capacity,
// while the other pools are idle.
describe("capacity while demand shifts between pools", () => {
  const pools = [
    createLoad("busy", 6, {
      runningMillicores: 380_000,
      waitingMillicores: 200_000,
    }),
    createLoad("resting", 6, { runningMillicores: 10_000, hasRested: true }),
    createLoad("standby", 6, { isStandby: true }),
  ];

  describe("when the demand of a pool exceeds its capacity", () => {
    it("moves as many VMs as needed, from idle pools first", () => {
      const idle = [
        ...createIdle("resting", 2, 100),
        ...createIdle("standby", 6, 0),
      ];
      const moves = new DemandCapacityPolicy().plan({ pools, idle });
      assert.is(moves.length, 5, "580 cores and the headroom");
      assert.ok(moves.every(({ to }) => to === "busy"));
      assert.is(moves.filter(({ from }) => from === "resting").length, 2);
    });

    it("moves VMs of a standby pool first while a turn may come next", () => {
      const idle = [
        ...createIdle("resting", 2, 100),
        ...createIdle("standby", 6, 0),
      ];
      const waiting = pools.map((load) => ({ ...load, hasRested: false }));
      const moves = new DemandCapacityPolicy().plan({ pools: waiting, idle });
      assert.is(moves.length, 5, "580 cores and the headroom");
      assert.ok(moves.every(({ from }) => from === "standby"));
    });

    it("moves nothing in the baseline", () => {
      const idle = createIdle("standby", 6, 0);
      assert.equal(new FixedCapacityPolicy().plan(), []);
      assert.ok(idle.length > 0);
    });
  });

  describe("when demand is forecast", () => {
    it("moves VMs before the work arrives", () => {
      const expected = [
        createLoad("next", 6, { forecastMillicores: 500_000 }),
        createLoad("standby", 6, { isStandby: true }),
      ];
      const moves = new DemandCapacityPolicy().plan({
        pools: expected,
        idle: createIdle("standby", 6, 0),
      });
      assert.is(moves.length, 3);
    });
  });

  describe("when a pool is idle", () => {
    const resting = [
      createLoad("resting", 6),
      createLoad("standby", 0, { isStandby: true }),
    ];

    it("parks VMs that stay idle, but keeps some", () => {
      const moves = new DemandCapacityPolicy().plan({
        pools: resting,
        idle: createIdle("resting", 6, 31_000),
      });
      assert.is(moves.length, 4);
      assert.ok(moves.every(({ to }) => to === "standby"));
    });

    // Guards against pools that are empty when their turn begins.
    it("keeps VMs that were busy in the previous turn of the pool", () => {
      const moves = new DemandCapacityPolicy().plan({
        pools: resting,
        idle: createIdle("resting", 6, 16_000),
      });
      assert.equal(moves, []);
    });

    it("parks VMs after the time that is set", () => {
      const policy = new DemandCapacityPolicy({ parkAfterMs: 1_200 });
      const idle = createIdle("resting", 6, 5_000);
      const moves = policy.plan({ pools: resting, idle });
      assert.is(moves.length, 4);
    });

    it("keeps VMs that were busy a moment ago", () => {
      const moves = new DemandCapacityPolicy().plan({
        pools: resting,
        idle: createIdle("resting", 6, 200),
      });
      assert.equal(moves, []);
    });
  });
});
