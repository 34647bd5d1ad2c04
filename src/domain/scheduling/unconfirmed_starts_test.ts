import * as assert from "uvu/assert";
import * as v from "valibot";
import { describe, it } from "../../testing/describe.ts";
import { jobStepSchema } from "./job.ts";
import type { SchedulingOperation } from "./scheduling_command.ts";
import { SchedulingState } from "./scheduling_state.ts";
import { type StartName, UnconfirmedStarts } from "./unconfirmed_starts.ts";

const JOB_ID = "0".repeat(16);
const RUNNER = { runnerId: "r1", bornAtMs: 1 };

function createStart(index: number): StartName {
  return {
    task: { jobId: JOB_ID, occurrence: 0, step: 0, index },
    runNumber: 1,
  };
}

function listIndexes(starts: Pick<UnconfirmedStarts, "list">): number[] {
  return starts.list().map(({ task }) => task.index);
}

describe("unconfirmed starts", () => {
  function createStarts(count: number): UnconfirmedStarts {
    const starts = new UnconfirmedStarts();
    for (let index = 0; index < count; index += 1) {
      starts.add(createStart(index));
    }
    return starts;
  }

  it("are confirmed up to one of them, but for the open ones", () => {
    const starts = createStarts(5);
    starts.confirm({ through: createStart(3), open: [createStart(1)] });
    assert.equal(listIndexes(starts), [1, 4]);
  });

  // Guards against a later start that is confirmed by an entry that was written
  // before it.
  it("stay when the newest confirmed one has ended meanwhile", () => {
    const starts = createStarts(3);
    starts.delete(createStart(1));
    starts.confirm({ through: createStart(1), open: [] });
    assert.equal(listIndexes(starts), [0, 2]);
  });
});

describe("the scheduling state", () => {
  function createState(): SchedulingState {
    const state = new SchedulingState();
    apply(state, [
      {
        type: "accept",
        spec: {
          jobId: JOB_ID,
          text: "",
          steps: [v.parse(jobStepSchema, { taskCount: 3, needs: {} })],
        },
        queue: "q",
        pool: "bay",
        maxAttempts: 2,
      },
      {
        type: "runner",
        runner: {
          ...RUNNER,
          address: "127.0.0.1:1",
          pool: "bay",
          zone: "a",
          capacity: { cpuMillicores: 1, memoryMb: 1, gpuCount: 0 },
          rack: "r",
          labels: [],
          isDraining: false,
        },
      },
      ...[0, 1, 2].map((index) => ({
        type: "start" as const,
        ...createStart(index),
        ...RUNNER,
      })),
    ]);
    return state;
  }

  function apply(
    state: SchedulingState,
    operations: SchedulingOperation[],
  ): void {
    state.apply({ type: "scheduling", atMs: 0, operations });
  }

  it("holds a start as unconfirmed until it is confirmed or has ended", () => {
    const state = createState();
    assert.equal(listIndexes(state.jobs.unconfirmed), [0, 1, 2]);
    apply(state, [{
      type: "end",
      ...createStart(0),
      how: "failed",
      saved: "",
      maxAttempts: 2,
    }]);
    assert.equal(listIndexes(state.jobs.unconfirmed), [1, 2]);
    apply(state, [{ type: "confirm", through: createStart(1), open: [] }]);
    assert.equal(listIndexes(state.jobs.unconfirmed), [2]);
    apply(state, [{ type: "runnerGone", ...RUNNER }]);
    assert.equal(listIndexes(state.jobs.unconfirmed), []);
  });

  it("keeps unconfirmed starts in a snapshot, in their order", () => {
    const state = createState();
    apply(state, [{
      type: "confirm",
      through: createStart(1),
      open: [createStart(0)],
    }]);
    const restored = SchedulingState.restore(state.toItems());
    assert.equal(listIndexes(restored.jobs.unconfirmed), [0, 2]);
    assert.equal(restored.toItems(), state.toItems());
  });

  // Guards against a release that cannot load what the previous one has written.
  it("is restored from a snapshot without them", () => {
    const items = createState().toItems().filter(({ type }) =>
      type !== "unconfirmed"
    );
    const restored = SchedulingState.restore(items);
    assert.equal(restored.jobs.findLoad(RUNNER).running.size, 3);
    assert.equal(listIndexes(restored.jobs.unconfirmed), []);
  });
});
