import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  canEverRun,
  EscalatingPressurePolicy,
  ESCALATION_MS,
  UsageLearner,
} from "./index.ts";

function declareTask(taskId: string, changes: object = {}) {
  return {
    taskId,
    vm: "v1",
    team: "fitting",
    queue: "swings",
    priority: 1,
    checkpointable: true,
    usedCores: 20,
    usedMemoryMb: 100,
    runMs: 0,
    ...changes,
  };
}

const VM = {
  vm: "v1",
  zone: "a",
  rack: "r",
  state: "up" as const,
  bootCount: 1,
  runningCount: 0,
  coreCount: 64,
  memoryMb: 256_000,
};

describe("sizing", () => {
  describe("usage learner", () => {
    it("learns the 90th percentile, not the maximum", () => {
      const learner = new UsageLearner();
      for (let index = 1; index <= 100; index += 1) {
        learner.record([
          declareTask(`t${index}`, { usedCores: index, runMs: index }),
        ]);
      }
      const size = learner.findSize("fitting", "swings");
      assert.is(size?.coreCount, 90);
      assert.is(size?.runMs, 90);
    });

    it("returns no size before enough reports", () => {
      const learner = new UsageLearner();
      learner.record([declareTask("t1")]);
      assert.is(learner.findSize("fitting", "swings"), undefined);
    });

    it("finds work that is larger than every VM", () => {
      const size = { sampleCount: 9, memoryMb: 1, runMs: undefined };
      assert.is(canEverRun({ ...size, coreCount: 65 }, [VM]), false);
      assert.is(canEverRun({ ...size, coreCount: 64 }, [VM]), true);
    });
  });

  describe("pressure policy", () => {
    function decide(
      policy: EscalatingPressurePolicy,
      tasks: ReturnType<typeof declareTask>[],
      monotonicMs: number,
    ): string[] {
      return policy.decide({
        vms: [VM],
        tasksByVm: new Map([["v1", tasks]]),
        findShare: (team) => team === "billing" ? 4 : 1,
        monotonicMs,
      }).map(({ action, task }) => `${action} ${task.taskId}`);
    }

    it("takes no action on a VM with headroom", () => {
      const policy = new EscalatingPressurePolicy();
      assert.equal(decide(policy, [declareTask("t1")], 0), []);
    });

    it("chooses the lowest priority, then the team with the most cores for its share", () => {
      const tasks = [
        declareTask("t1", { priority: 2 }),
        declareTask("t2", { team: "billing" }),
        declareTask("t3"),
      ];
      const policy = new EscalatingPressurePolicy();
      assert.equal(decide(policy, tasks, 0), ["throttle t3"]);
      const low = [...tasks, declareTask("t4", { priority: 0 })];
      assert.equal(decide(new EscalatingPressurePolicy(), low, 0), [
        "throttle t4",
      ]);
    });

    it("throttles, then checkpoints, then stops, with a wait after each", () => {
      const policy = new EscalatingPressurePolicy();
      const tasks = [declareTask("t1", { usedCores: 64 })];
      const seen = [0, 1, ESCALATION_MS, 2 * ESCALATION_MS, 3 * ESCALATION_MS]
        .map((atMs) => decide(policy, tasks, atMs).join());
      assert.equal(seen, [
        "throttle t1",
        "",
        "checkpoint t1",
        "stop t1",
        "",
      ]);
    });
  });
});
