import * as assert from "uvu/assert";
import * as v from "valibot";
import { JobRecord, type JobStep, jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import type { ReadyStep } from "./ready_step.ts";
import { sumWaiting } from "./waiting_demand.ts";

const VM_MILLICORES = 64_000;
const OBJECTIVE_MS = 5_000;

function createReady(fields: Partial<JobStep>): ReadyStep {
  const step = v.parse(jobStepSchema, {
    taskCount: 3,
    needs: { cpuMillicores: 5_000 },
    ...fields,
  });
  const job = new JobRecord({
    spec: { jobId: "0".repeat(16), text: "", steps: [step] },
    queue: "q",
    pool: "bay",
    team: undefined,
    maxAttempts: 1,
    acceptedAtMs: 0,
  });
  const record = job.occurrences[0]?.[0];
  assert.ok(record);
  return {
    job,
    occurrence: 0,
    stepIndex: 0,
    step,
    record,
    pool: "bay",
    priority: 0,
    advice: undefined,
    objectiveMs: OBJECTIVE_MS,
    chainMs: 1_000,
  };
}

describe("demand of waiting work", () => {
  it("is what its tasks need while they can be in time", () => {
    assert.is(sumWaiting(createReady({}), VM_MILLICORES, 0), 15_000);
  });

  it("is nothing once the work is late anyway", () => {
    const nowMs = OBJECTIVE_MS;
    assert.is(sumWaiting(createReady({}), VM_MILLICORES, nowMs), 0);
  });

  it("is nothing for work on leftovers", () => {
    const ready = createReady({ usesLeftovers: true });
    assert.is(sumWaiting(ready, VM_MILLICORES, 0), 0);
  });

  // Pattern: a pool was emptied down to the VMs that its endless tasks stand
  // on, and one of them goes away.
  it("is a VM for each endless task that stands apart, however late", () => {
    const ready = createReady({ isEndless: true, maxPerRunner: 1 });
    assert.is(sumWaiting(ready, VM_MILLICORES, 60_000), 3 * VM_MILLICORES);
  });
});
