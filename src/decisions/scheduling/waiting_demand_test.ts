import * as assert from "uvu/assert";
import * as v from "valibot";
import { JobRecord, type JobStep, jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import type { ReadyStep } from "./ready_step.ts";
import { sumWaitingDemand } from "./waiting_demand.ts";

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
    targetEndMs: OBJECTIVE_MS,
    criticalPathMs: 1_000,
    criticalStepCount: 1,
  };
}

function sum(fields: Partial<JobStep>, nowMs: number): number | undefined {
  return sumWaitingDemand([createReady(fields)], VM_MILLICORES, nowMs).get(
    "bay",
  );
}

describe("demand of waiting work", () => {
  it("is the sum of the tasks' needs while they can end in time", () => {
    assert.is(sum({}, 0), 15_000);
  });

  // Guards against parking all VMs of an idle pool while late work waits there.
  it("is one VM at most for work that is late anyway", () => {
    assert.is(sum({}, OBJECTIVE_MS), 15_000);
    assert.is(sum({ taskCount: 90 }, OBJECTIVE_MS), VM_MILLICORES);
  });

  // Guards against a task that finds no VM: a pool was reduced to the VMs on
  // which its long-running tasks run, and one of these VMs is lost.
  it("is a VM for each long-running task with its own runner, however late", () => {
    const apart = { isEndless: true, maxPerRunner: 1 };
    assert.is(sum(apart, 60_000), 3 * VM_MILLICORES);
  });
});
