import * as assert from "uvu/assert";
import {
  type JobStep,
  jobStepSchema,
  type Runner,
  SchedulingState,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import * as v from "valibot";
import { ArrivalOrderPolicy, SlackOrderPolicy } from "./order_policy.ts";
import { type Candidate, ScoredPlacementPolicy } from "./placement_policy.ts";
import { StartPlanner } from "./start_planner.ts";

const POOL = "bay";
const ACCEPTED_AT_MS = 1_000;

function createRunner(name: string, rack = "r1"): Runner {
  return {
    runnerId: name,
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: POOL,
    zone: "zone-a",
    capacity: { cpuMillicores: 64_000, memoryMb: 100_000, gpuCount: 0 },
    rack,
    labels: ["a", rack],
    isDraining: false,
  };
}

function createStep(fields: v.InferInput<typeof jobStepSchema>): JobStep {
  return v.parse(jobStepSchema, fields);
}

function createState(limitMillicores = 0): SchedulingState {
  const state = new SchedulingState();
  state.apply({
    type: "scheduling",
    atMs: 0,
    operations: [{
      type: "catalog",
      catalog: {
        version: 1,
        queues: [{
          name: "q",
          host: "h",
          pathPrefix: "/q/",
          pool: POOL,
          isPublic: false,
          priority: 0,
          maxAttempts: 2,
          timeoutMs: 3_000,
          stretch: 1.6,
          targetLatencyMs: 600,
        }],
        pools: [{ name: POOL, isStandby: false, guardsCapacity: false }],
        teams: [{
          name: "team",
          keys: ["key"],
          priority: 0,
          weight: 1,
          limit: {
            cpuMillicores: limitMillicores,
            memoryMb: 0,
            gpuCount: 0,
          },
        }],
        source: "",
      },
    }],
  });
  return state;
}

function accept(
  state: SchedulingState,
  jobNumber: number,
  steps: JobStep[],
  atMs = ACCEPTED_AT_MS,
): string {
  const jobId = String(jobNumber).padStart(16, "0");
  state.apply({
    type: "scheduling",
    atMs,
    operations: [{
      type: "accept",
      spec: { jobId, text: "", steps },
      queue: "q",
      pool: POOL,
      team: "team",
      maxAttempts: 2,
    }],
  });
  return jobId;
}

function createCandidate(name: string, freeMillicores: number): Candidate {
  const { runnerId, bornAtMs, capacity, zone, rack, labels } = createRunner(
    name,
  );
  return {
    runnerId,
    bornAtMs,
    zone,
    rack,
    labels,
    free: {
      cpuMillicores: freeMillicores,
      memoryMb: 100_000,
      gpuCount: 0,
    },
    attainable: capacity,
    latencyTargetCount: 0,
    bestEffortCount: 0,
    awaitsMaintenance: false,
    isReserved: false,
  };
}

function plan(
  state: SchedulingState,
  candidates: Candidate[],
  nowMs = ACCEPTED_AT_MS,
) {
  const planner = new StartPlanner({
    order: new SlackOrderPolicy(),
    placement: new ScoredPlacementPolicy(),
  });
  return planner.plan({
    state,
    candidates: new Map([[POOL, candidates]]),
    findApproved: () => undefined,
    nowMs,
  });
}

const small = createStep({ taskCount: 4, needs: { cpuMillicores: 3_000 } });

describe("start planner", () => {
  describe("limits", () => {
    it("never places more on a runner than is free", () => {
      const state = createState();
      accept(state, 1, [small]);
      assert.is(plan(state, [createCandidate("a", 7_000)]).length, 2);
    });

    it("stops at the limit of the team", () => {
      const state = createState(6_500);
      accept(state, 1, [small]);
      assert.is(plan(state, [createCandidate("a", 64_000)]).length, 2);
    });

    it("respects the maximum number of tasks of a step on a runner", () => {
      const state = createState();
      accept(state, 1, [{ ...small, maxPerRunner: 1 }]);
      const starts = plan(state, [
        createCandidate("a", 64_000),
        createCandidate("b", 64_000),
      ]);
      assert.equal(starts.map(({ runnerId }) => runnerId).toSorted(), [
        "a",
        "b",
      ]);
    });

    it("starts no step before the steps that it depends on", () => {
      const state = createState();
      accept(state, 1, [small, { ...small, dependsOn: [0] }]);
      const starts = plan(state, [createCandidate("a", 64_000)]);
      assert.ok(starts.every(({ task }) => task.step === 0));
    });

    it("starts a gang whole or not at all", () => {
      const state = createState();
      accept(state, 1, [{ ...small, isGang: true }]);
      assert.is(plan(state, [createCandidate("a", 11_000)]).length, 0);
      const starts = plan(state, [
        createCandidate("a", 7_000),
        createCandidate("b", 7_000),
      ]);
      assert.is(starts.length, 4);
      assert.ok(starts.every(({ runNumber }) => runNumber === 1));
    });
  });

  describe("a large task in a full pool with small tasks", () => {
    it("reserves the runner with the most room for a long-running task", () => {
      const state = createState();
      accept(state, 1, [small]);
      accept(state, 2, [createStep({
        taskCount: 1,
        needs: { cpuMillicores: 8_000 },
        isEndless: true,
      })]);
      const starts = plan(state, [
        createCandidate("a", 7_000),
        createCandidate("b", 4_000),
      ]);
      assert.equal(starts.map(({ runnerId }) => runnerId), ["b"]);
    });
  });

  describe("long-running tasks that fit nowhere", () => {
    it("reserve one runner at most, and never the only one", () => {
      const state = createState();
      accept(state, 1, [small]);
      for (const number of [2, 3]) {
        accept(state, number, [createStep({
          taskCount: 1,
          needs: { cpuMillicores: 60_000 },
          isEndless: true,
        })]);
      }
      const starts = plan(state, [
        createCandidate("a", 7_000),
        createCandidate("b", 7_000),
      ]);
      assert.is(starts.length, 2);
      assert.is(plan(state, [createCandidate("a", 7_000)]).length, 2);
    });

    // Guards against jobs that are accepted and never start: a task that is
    // larger than any runner kept the only runner that they may use reserved.
    it("reserve no runner that can never hold them", () => {
      const state = createState();
      accept(state, 1, [{ ...small, requiredLabel: "b" }]);
      accept(state, 2, [createStep({
        taskCount: 1,
        needs: { cpuMillicores: 65_000 },
        requiredLabel: "b",
        isEndless: true,
      })]);
      const starts = plan(state, [
        createCandidate("a", 64_000),
        { ...createCandidate("b", 64_000), labels: ["b"] },
      ]);
      assert.is(starts.length, 4);
    });

    // Guards against the same with a task that has room only if another
    // long-running one ends.
    it("reserve no runner whose room other long-running tasks hold", () => {
      const state = createState();
      accept(state, 1, [small]);
      accept(state, 2, [createStep({
        taskCount: 1,
        needs: { cpuMillicores: 60_000 },
        isEndless: true,
      })]);
      const createFull = (name: string) => ({
        ...createCandidate(name, 6_000),
        attainable: {
          cpuMillicores: 50_000,
          memoryMb: 100_000,
          gpuCount: 0,
        },
      });
      const starts = plan(state, [createFull("a"), createFull("b")]);
      assert.is(starts.length, 4);
    });

    // Guards against jobs that wait without a bound behind a reservation for
    // which long tasks would have to end first.
    it("reserve a runner for a limited time, and then not at once again", () => {
      const state = createState();
      accept(state, 1, [{ ...small, requiredLabel: "b" }]);
      accept(state, 2, [createStep({
        taskCount: 1,
        needs: { cpuMillicores: 60_000 },
        requiredLabel: "b",
        isEndless: true,
      })]);
      const planner = new StartPlanner({
        order: new SlackOrderPolicy(),
        placement: new ScoredPlacementPolicy(),
      });
      const countStarts = (passedMs: number) =>
        planner.plan({
          state,
          candidates: new Map([[POOL, [
            createCandidate("a", 64_000),
            { ...createCandidate("b", 50_000), labels: ["b"] },
          ]]]),
          findApproved: () => undefined,
          nowMs: ACCEPTED_AT_MS + passedMs,
        }).length;
      const counts = [0, 1_000, 1_990, 2_010, 3_900, 4_010].map(countStarts);
      assert.equal(counts, [0, 0, 0, 4, 4, 0]);
    });
  });

  describe("order", () => {
    it("places work that can end in time before work that is late", () => {
      const state = createState();
      const timed = { ...small, taskCount: 1, estimateMs: 1_000 };
      accept(state, 1, [timed], 0);
      const fresh = accept(state, 2, [timed], 10_000);
      const starts = plan(state, [createCandidate("a", 3_000)], 10_000);
      assert.is(starts[0]?.task.jobId, fresh);
    });

    it("is by arrival in the baseline", () => {
      const state = createState();
      const timed = { ...small, taskCount: 1, estimateMs: 1_000 };
      const first = accept(state, 1, [timed], 0);
      accept(state, 2, [timed], 10_000);
      const planner = new StartPlanner({
        order: new ArrivalOrderPolicy(),
        placement: new ScoredPlacementPolicy(),
      });
      const starts = planner.plan({
        state,
        candidates: new Map([[POOL, [createCandidate("a", 3_000)]]]),
        findApproved: () => undefined,
        nowMs: 10_000,
      });
      assert.is(starts[0]?.task.jobId, first);
    });
  });
});
