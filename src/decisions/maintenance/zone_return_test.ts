import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { SteppedZoneReturn, ZONE_RETURN_MS, ZoneReturns } from "./index.ts";

const VMS = Array.from({ length: 600 }, (_, index) => `vm-${index}`);

function countAdmitted(sinceReturnMs: number): number {
  const policy = new SteppedZoneReturn();
  return VMS.filter((vm) => policy.admits(vm, sinceReturnMs)).length;
}

describe("zone return", () => {
  describe("of the VMs", () => {
    const cases: [string, number, number, number][] = [
      ["a sixth at once", 0, 60, 140],
      ["half after half of the time", ZONE_RETURN_MS / 2, 350, 450],
      ["all after the whole time", ZONE_RETURN_MS, 600, 600],
      ["all when the zone was never out", Infinity, 600, 600],
    ];
    for (const [title, sinceMs, min, max] of cases) {
      it(`admits ${title}`, () => {
        const admitted = countAdmitted(sinceMs);
        assert.ok(admitted >= min && admitted <= max, String(admitted));
      });
    }

    it("keeps a VM admitted once it is admitted", () => {
      const policy = new SteppedZoneReturn();
      for (const vm of VMS) {
        const open = [0, 5_000, 10_000, 15_000, 20_000, 25_000, 30_000]
          .map((sinceMs) => Number(policy.admits(vm, sinceMs)));
        assert.equal(open, open.toSorted());
      }
    });
  });

  describe("as seen on an entry", () => {
    it("counts from the last time the zone was out", () => {
      const returns = new ZoneReturns();
      returns.record(new Set(["a"]), 1_000);
      returns.record(new Set(), 2_000);
      assert.is(returns.sinceReturnMs("a", 5_000), 3_000);
      returns.record(new Set(["a"]), 6_000);
      returns.record(new Set(), 7_000);
      assert.is(returns.sinceReturnMs("a", 7_500), 500);
      assert.is(returns.sinceReturnMs("b", 7_500), Infinity);
    });
  });
});
