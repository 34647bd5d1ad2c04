import * as assert from "uvu/assert";
import * as v from "valibot";
import { type JobStep, jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { type Host, HostCapacity } from "./host_capacity.ts";

function createHost(changes: Partial<Host> = {}): Host {
  return {
    capacity: { cpuMillicores: 64_000, memoryMb: 100_000, gpuCount: 0 },
    labels: ["a"],
    ...changes,
  };
}

function createStep(
  fields: Partial<v.InferInput<typeof jobStepSchema>>,
): JobStep {
  return v.parse(jobStepSchema, { taskCount: 1, needs: {}, ...fields });
}

describe("host capacity", () => {
  const capacity = new HostCapacity([
    createHost(),
    createHost(),
    createHost({ labels: ["b"] }),
  ]);

  describe("single tasks", () => {
    it("fit up to the size of the largest VM", () => {
      const fits = createStep({ needs: { cpuMillicores: 64_000 } });
      const large = createStep({ needs: { cpuMillicores: 64_001 } });
      assert.ok(capacity.canRun(fits));
      assert.not.ok(capacity.canRun(large));
      assert.not.ok(capacity.canRun(createStep({ needs: { gpuCount: 1 } })));
    });

    it("need a VM with their label", () => {
      assert.ok(capacity.canRun(createStep({ requiredLabel: "b" })));
      assert.not.ok(capacity.canRun(createStep({ requiredLabel: "c" })));
    });

    it("fit however many there are", () => {
      assert.ok(capacity.canRun(createStep({ taskCount: 1_000 })));
    });
  });

  describe("gangs", () => {
    const gang = { isGang: true, needs: { cpuMillicores: 32_000 } };

    it("fit if all members have room at once", () => {
      assert.ok(capacity.canRun(createStep({ ...gang, taskCount: 6 })));
      assert.not.ok(capacity.canRun(createStep({ ...gang, taskCount: 7 })));
    });

    it("need as many VMs as their limit for each runner demands", () => {
      const apart = { ...gang, maxPerRunner: 1 };
      assert.ok(capacity.canRun(createStep({ ...apart, taskCount: 3 })));
      assert.not.ok(capacity.canRun(createStep({ ...apart, taskCount: 4 })));
    });
  });
});
