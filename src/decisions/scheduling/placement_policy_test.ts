import * as assert from "uvu/assert";
import * as v from "valibot";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { createDemand } from "./placement_demand.ts";
import { type Candidate, ScoredPlacementPolicy } from "./placement_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

function createCandidate(
  runnerId: string,
  changes: Partial<Candidate> = {},
): Candidate {
  return {
    runnerId,
    bornAtMs: 1,
    zone: "zone-a",
    rack: runnerId,
    labels: [],
    free: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
    attainable: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
    latencyTargetCount: 0,
    bestEffortCount: 0,
    awaitsMaintenance: false,
    isReserved: false,
    ...changes,
  };
}

function choose(
  candidates: readonly Candidate[],
  isEndless: boolean,
  dataRack?: string,
): string | undefined {
  const step = v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 1_000 },
    isEndless,
    dataRack,
  });
  const ready = { step, record: { tasks: [] } } as unknown as ReadyStep;
  return new ScoredPlacementPolicy()
    .choose(candidates, createDemand(ready, undefined))?.runnerId;
}

// The pattern: work arrives at a pool while half of its VMs await maintenance.
describe("placement beside VMs that await maintenance", () => {
  const awaiting = createCandidate("awaiting", {
    awaitsMaintenance: true,
    free: { cpuMillicores: 2_000, memoryMb: 1_000, gpuCount: 0 },
  });
  const other = createCandidate("other");

  for (const isEndless of [false, true]) {
    describe(isEndless ? "of a long-running task" : "of other work", () => {
      it("prefers the other VMs", () => {
        assert.is(choose([awaiting, other], isEndless), "other");
      });

      it("takes such a VM rather than none", () => {
        assert.is(choose([awaiting], isEndless), "awaiting");
      });

      it("prefers a rack with the data of the task", () => {
        assert.is(choose([awaiting, other], isEndless, "awaiting"), "awaiting");
      });
    });
  }
});
