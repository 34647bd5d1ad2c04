import * as assert from "uvu/assert";
import * as v from "valibot";
import { DemandCapacityPolicy } from "../../decisions/index.ts";
import { type JobStep, jobStepSchema } from "../../domain/index.ts";
import {
  CapacityFixture,
  VM_MILLICORES,
} from "../../testing/capacity_fixture.ts";
import { describe, it } from "../../testing/describe.ts";

const POOLS = [
  { name: "bay", isStandby: false, vmCount: 2 },
  { name: "dock", isStandby: false, vmCount: 2 },
  { name: "reserve", isStandby: true, vmCount: 6 },
];
const TASK_COUNT = 10;
const PLANNING_MS = 2_000;

async function countMoves(
  fields: Partial<v.InferInput<typeof jobStepSchema>>,
): Promise<number> {
  const fixture = new CapacityFixture({
    pools: POOLS,
    policy: new DemandCapacityPolicy(),
  });
  await fixture.clock.advance(PLANNING_MS);
  const step: JobStep = v.parse(jobStepSchema, {
    taskCount: TASK_COUNT,
    needs: { cpuMillicores: VM_MILLICORES },
    isEndless: true,
    ...fields,
  });
  fixture.accept("bay", [step]);
  await fixture.clock.advance(PLANNING_MS);
  fixture.stop();
  return fixture.vms.moves.length;
}

// Guards against pools that keep the VMs of a deployment for work that none of
// them can run, while the work of other pools waits.
describe("VMs for waiting work", () => {
  it("move to the pool of work that they can run", async () => {
    assert.ok(await countMoves({}) > 0);
  });

  it("stay for a task that is larger than any VM", async () => {
    const needs = { cpuMillicores: VM_MILLICORES + 1 };
    assert.is(await countMoves({ needs }), 0);
  });

  it("stay for a label that no VM has", async () => {
    assert.is(await countMoves({ requiredLabel: "none" }), 0);
  });

  it("stay for tasks that stand apart and fit on no VM", async () => {
    const apart = { maxPerRunner: 1, requiredLabel: "none" };
    assert.is(await countMoves(apart), 0);
  });

  it("stay for a gang that is wider than all VMs", async () => {
    const gang = { isGang: true, taskCount: 1 + TASK_COUNT };
    assert.is(await countMoves(gang), 0);
  });
});
