import * as assert from "uvu/assert";
import * as v from "valibot";
import { describe, it } from "../../testing/describe.ts";
import { ENDED_RUNNER_KEEP_MS } from "./ended_runners.ts";
import { jobStepSchema } from "./job.ts";
import type { Runner } from "./runner.ts";
import {
  type SchedulingOperation,
  schedulingOperationSchema,
} from "./scheduling_command.ts";
import { SchedulingState } from "./scheduling_state.ts";

const RUNNER: Runner = {
  runnerId: "r1",
  bornAtMs: 7,
  address: "10.0.0.9:80",
  pool: "bay",
  zone: "zone-a",
  capacity: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
  rack: "r1",
  labels: [],
  isDraining: false,
};
const INCARNATION = { runnerId: "r1", bornAtMs: 7 };

function apply(
  state: SchedulingState,
  atMs: number,
  ...operations: SchedulingOperation[]
): void {
  state.apply({ type: "scheduling", atMs, operations });
}

function createWithEnded(atMs: number): SchedulingState {
  const state = new SchedulingState();
  apply(
    state,
    atMs,
    { type: "runner", runner: RUNNER },
    { type: "runnerGone", ...INCARNATION, fate: "ended" },
  );
  return state;
}

describe("SchedulingState", () => {
  describe("a runner that has ended for good", () => {
    // Guards against a revived runner: its change was proposed before its
    // removal and is applied after that.
    it("is not put back, unlike its next incarnation", () => {
      const state = createWithEnded(0);
      apply(state, 1, { type: "runner", runner: RUNNER });
      assert.is(state.runners.size, 0);
      apply(state, 2, { type: "runner", runner: { ...RUNNER, bornAtMs: 8 } });
      assert.is(state.runners.get("r1")?.bornAtMs, 8);
      assert.ok(state.hasEnded(INCARNATION));
    });

    // Guards against a state that grows with each runner that was ever removed.
    it("is forgotten after a while", () => {
      const state = createWithEnded(1_000);
      apply(state, 1_000 + ENDED_RUNNER_KEEP_MS);
      assert.ok(state.hasEnded(INCARNATION));
      apply(state, 1_001 + ENDED_RUNNER_KEEP_MS);
      assert.not(state.hasEnded(INCARNATION));
    });

    it("is forgotten when its leader's clock was far ahead", () => {
      const state = createWithEnded(1_000 + 2 * ENDED_RUNNER_KEEP_MS);
      apply(state, 1_000);
      assert.not(state.hasEnded(INCARNATION));
    });

    it("is part of a snapshot", () => {
      const state = createWithEnded(0);
      const copy = SchedulingState.restore(state.toItems());
      assert.equal(copy.toItems(), state.toItems());
      assert.ok(copy.hasEnded(INCARNATION));
      apply(copy, 1, { type: "runner", runner: RUNNER });
      assert.is(copy.runners.size, 0);
    });
  });

  describe("a runner that drains", () => {
    const draining: Runner = { ...RUNNER, isDraining: true };

    // Guards against work on a draining runner: an announcement from before the
    // drain is applied after it.
    it("drains until its next incarnation", () => {
      const state = new SchedulingState();
      apply(state, 0, { type: "runner", runner: draining });
      const late = { ...RUNNER, address: "10.0.0.8:80" };
      apply(state, 1, { type: "runner", runner: late });
      assert.equal(state.runners.get("r1"), draining);
      const next = { ...RUNNER, bornAtMs: 8 };
      apply(state, 2, { type: "runner", runner: next });
      assert.equal(state.runners.get("r1"), next);
    });
  });

  describe("a runner that may come back", () => {
    // Guards against a deployment that cannot read its log after an upgrade.
    it("is what an entry of an earlier release removes", () => {
      const state = new SchedulingState();
      const gone = { type: "runnerGone", ...INCARNATION };
      apply(
        state,
        0,
        { type: "runner", runner: RUNNER },
        v.parse(schedulingOperationSchema, gone),
        { type: "runner", runner: RUNNER },
      );
      assert.equal(state.runners.get("r1"), RUNNER);
    });

    it("is known after a snapshot of an earlier release", () => {
      const items = createWithEnded(0).toItems().filter(({ type }) =>
        type !== "endedRunners"
      );
      const state = SchedulingState.restore(items);
      apply(state, 1, { type: "runner", runner: RUNNER });
      assert.equal(state.runners.get("r1"), RUNNER);
    });
  });

  // Guards against an operation that takes effect for another one of the same
  // name, before or after a snapshot.
  describe("an operation that is repeated with other content", () => {
    const JOB_ID = "00000000000000ab";
    const TASK = { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 };

    const createAccept = (
      text: string,
      queue: string,
    ): SchedulingOperation => ({
      type: "accept",
      spec: {
        jobId: JOB_ID,
        text,
        steps: [v.parse(jobStepSchema, {
          taskCount: 1,
          needs: { cpuMillicores: 1_000 },
        })],
      },
      queue,
      pool: "bay",
      maxAttempts: 2,
    });
    const createStart = (
      runnerId: string,
      runNumber: number,
    ): SchedulingOperation => ({
      type: "start",
      task: TASK,
      runNumber,
      runnerId,
      bornAtMs: 7,
    });
    const createEnd = (runNumber: number): SchedulingOperation => ({
      type: "end",
      task: TASK,
      runNumber,
      how: "done",
      saved: "",
      maxAttempts: 2,
    });
    const createCatalog = (version: number, source: string) => ({
      type: "catalog" as const,
      catalog: { version, source, queues: [], pools: [], teams: [] },
    });
    const createWave = (vms: string[]): SchedulingOperation => ({
      type: "wave",
      waveId: 1,
      vms,
      maxAwayCount: 1,
      completeByMs: 1_000,
    });
    const createStep = (state: "ordered" | "done"): SchedulingOperation => ({
      type: "upkeep",
      waveId: 1,
      vm: "m1",
      state,
    });

    const cases: [string, SchedulingOperation[], SchedulingOperation[]][] = [
      ["a job", [createAccept("a", "q")], [createAccept("b", "other")]],
      ["a catalog", [createCatalog(3, "a")], [
        createCatalog(3, "b"),
        createCatalog(2, "c"),
      ]],
      ["a wave", [createWave(["m1"])], [createWave(["m1", "m2"])]],
      ["the step of a VM in a wave", [
        createWave(["m1"]),
        createStep("ordered"),
        createStep("done"),
      ], [createStep("ordered")]],
      ["the start of a run", [
        createAccept("a", "q"),
        createStart("r1", 2),
      ], [createStart("r2", 2), createStart("r2", 1), createStart("r2", 3)]],
      ["the end of a run", [
        createAccept("a", "q"),
        createStart("r1", 1),
        { ...createEnd(1), how: "failed" } as SchedulingOperation,
        createStart("r2", 2),
      ], [createEnd(1)]],
    ];
    for (const [title, first, repeated] of cases) {
      it(`changes nothing: ${title}`, () => {
        const state = new SchedulingState();
        const runners = [RUNNER, { ...RUNNER, runnerId: "r2" }];
        apply(
          state,
          0,
          ...runners.map((runner) => ({ type: "runner" as const, runner })),
          ...first,
        );
        const before = state.toItems();
        const copy = SchedulingState.restore(before);
        for (const repeating of [state, copy]) {
          apply(repeating, 1, ...repeated);
          assert.equal(repeating.toItems(), before);
        }
      });
    }
  });
});
