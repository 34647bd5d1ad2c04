import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { PoolLoad } from "./capacity_policy.ts";
import { type RoomyVm, SpareRoom } from "./spare_room.ts";

const VM_MILLICORES = 64_000;

function createLoad(
  pool: string,
  vmCount: number,
  busyVmCount: number,
  isStandby = false,
): PoolLoad {
  return {
    pool,
    isStandby,
    hasRested: false,
    runningMillicores: busyVmCount * VM_MILLICORES,
    waitingMillicores: 0,
    arrivingMillicores: 0,
    forecastMillicores: 0,
    apartMillicores: 0,
    capacityMillicores: vmCount * VM_MILLICORES,
  };
}

function createVm(pool: string, isCordoned = false): RoomyVm {
  return { pool, cpuMillicores: VM_MILLICORES, isCordoned };
}

describe("room to spare", () => {
  it("is what a pool has beyond its work and some headroom", () => {
    const room = new SpareRoom([createLoad("a", 10, 8)], []);
    assert.ok(!room.has(createVm("a")), "9.2 of 10 VMs are wanted");
    const emptier = new SpareRoom([createLoad("a", 11, 8)], []);
    assert.ok(emptier.has(createVm("a")));
  });

  it("shrinks with each VM that is taken", () => {
    const room = new SpareRoom([createLoad("a", 3, 0)], []);
    for (let count = 0; count < 3; count += 1) {
      assert.ok(room.has(createVm("a")));
      room.take(createVm("a"));
    }
    assert.ok(!room.has(createVm("a")));
  });

  it("includes cordoned VMs, which their pool goes without already", () => {
    const loads = [createLoad("a", 0, 0)];
    const cordoned = createVm("a", true);
    assert.ok(new SpareRoom(loads, [cordoned]).has(cordoned));
    assert.ok(!new SpareRoom(loads, []).has(cordoned));
  });

  // The pattern: pools take turns, so what one lacks comes from the others.
  describe("of several pools", () => {
    it("leaves out what another pool lacks", () => {
      const loads = [createLoad("a", 4, 10), createLoad("b", 19, 0)];
      const room = new SpareRoom(loads, []);
      assert.ok(!room.has(createVm("b")), "a lacks 7.5 and may need 11.5 more");
    });

    it("leaves out what the next turn of a pool may need", () => {
      const loads = [createLoad("a", 12, 10), createLoad("b", 12, 0)];
      const room = new SpareRoom(loads, []);
      assert.ok(room.has(createVm("b")));
      room.take(createVm("b"));
      assert.ok(!room.has(createVm("b")), "11.5 of 12 VMs are kept");
    });

    it("includes VMs of standby pools", () => {
      const loads = [
        createLoad("a", 12, 10),
        createLoad("b", 6, 0),
        createLoad("off", 8, 0, true),
      ];
      assert.ok(new SpareRoom(loads, []).has(createVm("off")));
    });
  });
});
