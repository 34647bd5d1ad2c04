import * as assert from "uvu/assert";
import * as v from "valibot";
import { DemandCapacityPolicy, TurnForecast } from "../../decisions/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { CapacityFixture } from "../../testing/capacity_fixture.ts";
import { describe, it } from "../../testing/describe.ts";

const POOLS = [
  { name: "bay", isStandby: false, vmCount: 4 },
  { name: "dock", isStandby: false, vmCount: 8 },
  { name: "reserve", isStandby: true, vmCount: 8 },
];
const JOB_INTERVAL_MS = 100;
/** A job each 100 ms keeps 64 cores busy; the pool has 32. */
const STEP = v.parse(jobStepSchema, {
  taskCount: 8,
  needs: { cpuMillicores: 1_000 },
  estimateMs: 800,
});

// The pattern: queues have turns, one after the other, and each turn needs more
// VMs than the pool of its queue has. Which turn comes next is not known yet.
describe("VMs for the first turn of a pool", () => {
  // Guards against the failure SHORT: the pool whose turn came next had given its
  // idle VMs away, while those that were switched off came last.
  it("come from the standby pool before others give theirs", async () => {
    const fixture = new CapacityFixture({
      pools: POOLS,
      policy: new DemandCapacityPolicy(),
      forecast: new TurnForecast(),
    });
    const { clock, vms } = fixture;
    await clock.advance(1_000);
    for (let count = 0; count < 8; count += 1) {
      fixture.accept("bay", [STEP]);
      await clock.advance(JOB_INTERVAL_MS);
    }
    fixture.stop();
    const sources = vms.moves.map(({ from }) => from);
    assert.ok(sources.length > 0, "VMs are moved");
    assert.ok(sources.length <= 8, "the standby pool has enough");
    assert.equal(sources.filter((from) => from !== "reserve"), []);
  });
});

const LASTING_STEP = v.parse(jobStepSchema, {
  taskCount: 4,
  needs: { cpuMillicores: 500 },
  isEndless: true,
  maxPerRunner: 1,
});

// The pattern: a pool rests, and has given away all VMs but those on which its
// long-running tasks run, each task on a VM of its own.
describe("VMs for long-running tasks of a resting pool", () => {
  // Guards against a task that waits until the next turn of its pool: the pool has
  // room, but on VMs that have a task of the same step already.
  it("come when a task has lost its VM", async () => {
    const fixture = new CapacityFixture({
      pools: [
        { name: "bay", isStandby: false, vmCount: 6 },
        { name: "dock", isStandby: false, vmCount: 3 },
      ],
      policy: new DemandCapacityPolicy(),
    });
    const { clock, vms } = fixture;
    const jobId = fixture.accept("dock", [LASTING_STEP]);
    for (const index of [0, 1, 2]) {
      fixture.start(jobId, index, `dock-${index}`);
    }
    await clock.advance(1_000);
    fixture.stop();
    assert.equal(vms.moves.map(({ from }) => from), ["bay"]);
  });
});
