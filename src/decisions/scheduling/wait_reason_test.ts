import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  jobSpecSchema,
  type Runner,
  SchedulingState,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { findWaitReason } from "./wait_reason.ts";

const DELAY_REASON = "its team exceeds its share";
const JOB_ID = "0123456789abcdef";

function explain(runnerMillicores: number): string {
  const state = new SchedulingState();
  const capacity = {
    cpuMillicores: runnerMillicores,
    memoryMb: 1_000,
    gpuCount: 0,
  };
  const runner: Runner = {
    runnerId: "r1",
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: "bay",
    zone: "zone-a",
    capacity,
    rack: "k1",
    labels: [],
    isDraining: false,
  };
  const spec = v.parse(jobSpecSchema, {
    jobId: JOB_ID,
    text: "",
    steps: [{ taskCount: 1, needs: { cpuMillicores: 500 } }],
  });
  state.apply({
    type: "scheduling",
    atMs: 0,
    operations: [
      { type: "runner", runner },
      {
        type: "accept",
        spec,
        queue: "q",
        pool: "bay",
        team: "hot",
        maxAttempts: 1,
      },
    ],
  });
  const job = state.jobs.find(JOB_ID);
  assert.ok(job);
  return findWaitReason({
    state,
    job,
    occurrence: 0,
    stepIndex: 0,
    mayPlaceOn: () => true,
    findDelayReason: () => DELAY_REASON,
    nowMs: 0,
  });
}

describe("the reason why a step waits", () => {
  it("is that others come first in a pool with too little room", () => {
    assert.is(explain(1_000), DELAY_REASON);
  });

  it("is its size when no runner can hold it", () => {
    assert.match(explain(400), /nor is any of them large enough/);
  });
});
