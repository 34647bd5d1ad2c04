import * as assert from "uvu/assert";
import * as v from "valibot";
import { jobStepSchema, type RunningTask } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import type { PoolLoad } from "./capacity_policy.ts";
import {
  LeastLossMaintenancePolicy,
  type MaintenanceCandidate,
} from "./maintenance_policy.ts";

const POOL = "bay";
const VM_MILLICORES = 64_000;
const STEP = { stepId: "s", maxAwayCount: 1 };
/** A pool without demand, whose VMs can all be spared. */
const ROOMY_POOL: PoolLoad = {
  pool: POOL,
  isStandby: false,
  hasRested: true,
  runningMillicores: 0,
  waitingMillicores: 0,
  arrivingMillicores: 0,
  forecastMillicores: 0,
  apartMillicores: 0,
  capacityMillicores: 100 * VM_MILLICORES,
};

function createCandidate(
  vm: string,
  changes: Partial<MaintenanceCandidate> = {},
): MaintenanceCandidate {
  return {
    vm,
    pool: POOL,
    cpuMillicores: VM_MILLICORES,
    running: [],
    isProtected: false,
    guardedSteps: [],
    isCordoned: false,
    ...changes,
  };
}

describe("maintenance of a wave", () => {
  const policy = new LeastLossMaintenancePolicy();
  const pools = [ROOMY_POOL];
  const time = { leftMs: 60_000, maxAwayCount: 2, pools };

  it("begins no more VMs than allowed", () => {
    const candidates = ["a", "b", "c", "d"].map((vm) => createCandidate(vm));
    const plan = policy.plan({ ...time, candidates, allowedStartCount: 1 });
    assert.is(plan.begin.length, 1);
  });

  it("never begins a VM when its tasks would exceed a step's limit", () => {
    const candidates = [createCandidate("a", { isProtected: true })];
    const plan = policy.plan({
      pools,
      leftMs: 0,
      maxAwayCount: 2,
      allowedStartCount: 2,
      candidates,
    });
    assert.equal(plan.begin, []);
  });

  it("begins first with VMs that must follow one after the other", () => {
    const candidates = [
      createCandidate("a"),
      createCandidate("b", { guardedSteps: [STEP] }),
    ];
    const plan = policy.plan({ ...time, candidates, allowedStartCount: 1 });
    assert.equal(plan.begin, ["b"]);
  });

  // A VM runs more tasks of one step than may be unavailable at once.
  it("evacuates protected VMs, few at a time", () => {
    const candidates = ["a", "b", "c"].map((vm) =>
      createCandidate(vm, { isProtected: true, guardedSteps: [STEP] })
    );
    const plan = policy.plan({ ...time, candidates, allowedStartCount: 2 });
    assert.equal(plan.evacuate, ["a", "b"]);
    assert.equal(plan.cordon, ["a", "b"]);
  });

  // Guards against large waves that are late. The pattern: dozens of VMs with
  // more tasks of a step than may stop at once.
  it("evacuates more VMs at a time in a large wave", () => {
    const candidates = Array.from(
      { length: 40 },
      (_, at) =>
        createCandidate(`vm${at}`, { isProtected: true, guardedSteps: [STEP] }),
    );
    const plan = policy.plan({
      pools,
      leftMs: 25_000,
      maxAwayCount: 64,
      allowedStartCount: 64,
      candidates,
    });
    assert.is(plan.evacuate.length, 16);
  });

  // Guards against tasks that come back to a VM that they were moved away from.
  it("goes on with the VMs of earlier plans, also while they are protected", () => {
    const candidates = ["a", "b", "c", "d"].map((vm) =>
      createCandidate(vm, {
        isProtected: true,
        guardedSteps: [STEP],
        isCordoned: vm === "c" || vm === "d",
      })
    );
    const plan = policy.plan({ ...time, candidates, allowedStartCount: 2 });
    assert.equal(plan.evacuate, ["c", "d"]);
    assert.equal(plan.cordon, ["c", "d"]);
  });

  // Guards against work that a wave ends although it has time: VMs with tasks of
  // one long-running step follow one after the other, and the length of that
  // sequence made the whole wave late.
  it("waits for work on other VMs beside a long sequence", () => {
    const sequence = Array.from(
      { length: 8 },
      (_, at) => createCandidate(`guarded${at}`, { guardedSteps: [STEP] }),
    );
    const step = v.parse(jobStepSchema, {
      taskCount: 1,
      needs: { cpuMillicores: 1_000 },
    });
    const busy = createCandidate("busy", {
      running: [{ step } as RunningTask],
    });
    const plan = policy.plan({
      pools,
      leftMs: 25_000,
      maxAwayCount: 10,
      allowedStartCount: 10,
      candidates: [busy, ...sequence],
    });
    assert.not(plan.begin.includes("busy"));
  });
});
