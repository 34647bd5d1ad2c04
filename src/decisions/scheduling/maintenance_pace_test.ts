import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { MaintenancePace, StepTurns } from "./maintenance_pace.ts";
import type {
  GuardedStep,
  MaintenanceCandidate,
} from "./maintenance_policy.ts";

const STEP: GuardedStep = { stepId: "s", maxAwayCount: 2 };

function createCandidates(
  count: number,
  guardedSteps: readonly GuardedStep[] = [],
): MaintenanceCandidate[] {
  return Array.from({ length: count }, (_, at) => ({
    vm: `vm${at}`,
    pool: "bay",
    cpuMillicores: 64_000,
    running: [],
    isProtected: false,
    guardedSteps,
    isCordoned: false,
  }));
}

function createPace(
  candidates: readonly MaintenanceCandidate[],
  leftMs: number,
  maxAwayCount: number,
): MaintenancePace {
  return new MaintenancePace({
    candidates,
    allowedStartCount: maxAwayCount,
    leftMs,
    maxAwayCount,
    pools: [],
  });
}

describe("the pace of a wave", () => {
  it("requires nothing while there is plenty of time", () => {
    const pace = createPace(createCandidates(6), 60_000, 3);
    assert.is(pace.requiredAwayCount, 0);
  });

  it("requires as many VMs at once as complete the wave in time", () => {
    const pace = createPace(createCandidates(6), 18_000, 3);
    assert.is(pace.requiredAwayCount, 2, "three turns of 4 s in 12 s");
  });

  it("requires the limit when no time is left", () => {
    const pace = createPace(createCandidates(6), -1_000, 3);
    assert.is(pace.requiredAwayCount, 3);
  });

  // The pattern: VMs with tasks of one step follow one after the other.
  describe("of VMs with tasks of one step", () => {
    it("is that of their sequence", () => {
      const guarded = createCandidates(8, [STEP]);
      const pace = createPace([...guarded, ...createCandidates(2)], 25_000, 10);
      assert.ok(pace.isUrgent([STEP]), "four turns of 4 s in 19 s");
      assert.not(pace.isUrgent([]));
    });

    it("makes those late for which no turn is left", () => {
      const guarded = createCandidates(8, [STEP]);
      const pace = createPace([...guarded, ...createCandidates(2)], 15_000, 10);
      assert.ok(pace.isLate([STEP]));
      assert.not(pace.isLate([]));
    });

    it("takes as many together as may be unavailable", () => {
      const turns = new StepTurns();
      assert.ok(turns.take([STEP]));
      assert.not(turns.take([STEP, STEP]));
      assert.ok(turns.take([STEP]));
      assert.not(turns.take([STEP]));
      assert.ok(turns.take([]));
    });
  });
});
