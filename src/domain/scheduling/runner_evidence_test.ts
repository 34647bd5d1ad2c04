import * as assert from "uvu/assert";
import * as v from "valibot";
import { describe, it } from "../../testing/describe.ts";
import { jobStepSchema } from "./job.ts";
import { EVIDENCE_KEEP_MS } from "./runner_evidence.ts";
import type { RunEnd, RunFault } from "./scheduling_command.ts";
import { SchedulingState } from "./scheduling_state.ts";

const WORK_MS = 400;

class History {
  state = new SchedulingState();
  nowMs = 1_000;
  #jobCount = 0;
  #runCount = 0;

  constructor(runnerIds: readonly string[] = ["r1", "r2", "r3"]) {
    runnerIds.forEach((runnerId) => this.announce(runnerId, 1));
  }

  announce(runnerId: string, bornAtMs: number): void {
    const capacity = { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 };
    this.#apply([{
      type: "runner",
      runner: {
        runnerId,
        bornAtMs,
        address: "127.0.0.1:1",
        pool: "bay",
        zone: "zone-a",
        capacity,
        rack: "r1",
        labels: [],
        isDraining: false,
      },
    }]);
  }

  /** Accepts a job of some tasks and returns its id. */
  accept(taskCount = 1): string {
    this.#jobCount += 1;
    const jobId = String(this.#jobCount).padStart(16, "0");
    const steps = [v.parse(jobStepSchema, {
      taskCount,
      needs: { cpuMillicores: 500 },
    })];
    const spec = { jobId, text: "", steps };
    const queue = { queue: "q", pool: "bay", maxAttempts: 9 };
    this.#apply([{ type: "accept", spec, ...queue }]);
    return jobId;
  }

  /** Starts a run and returns a function that ends it. */
  start(runnerId: string, jobId = this.accept(), index = 0) {
    this.#runCount += 1;
    const runNumber = this.#runCount;
    const task = { jobId, occurrence: 0, step: 0, index };
    const bornAtMs = this.state.runners.get(runnerId)?.bornAtMs ?? 0;
    this.#apply([{ type: "start", task, runNumber, runnerId, bornAtMs }]);
    return (how: RunEnd, fault?: RunFault) =>
      this.#apply([{
        type: "end",
        task,
        runNumber,
        how,
        saved: "",
        maxAttempts: 9,
        ...(fault && { fault }),
      }]);
  }

  fail(runnerId: string, jobId = this.accept(), index = 0): void {
    this.start(runnerId, jobId, index)("failed");
  }

  isDoubtful(runnerId: string): boolean {
    const runner = this.state.runners.get(runnerId);
    const record = runner && this.state.jobs.evidence.find(runner);
    return record?.doubtfulSinceMs !== undefined;
  }

  #apply(operations: Parameters<SchedulingState["apply"]>[0]["operations"]) {
    this.nowMs += 1;
    this.state.apply({ type: "scheduling", atMs: this.nowMs, operations });
  }
}

describe("evidence against runners", () => {
  describe("over jobs", () => {
    it("makes a runner doubtful once a second job has failed there", () => {
      const history = new History();
      history.fail("r1");
      assert.not(history.isDoubtful("r1"));
      history.fail("r1");
      assert.ok(history.isDoubtful("r1"));
      assert.not(history.isDoubtful("r2"));
    });

    it("makes a runner doubtful on which three tasks of a job failed", () => {
      const history = new History();
      const jobId = history.accept(3);
      [0, 1, 2].forEach((index) => history.fail("r1", jobId, index));
      assert.ok(history.isDoubtful("r1"));
    });

    it("counts refused starts and runs that stood still", () => {
      const history = new History();
      history.start("r1")("lost", "refused");
      history.start("r1")("stopped", "still");
      assert.ok(history.isDoubtful("r1"));
    });

    for (
      const how of ["stopped", "lapsed", "broken", "alone", "lost"] as const
    ) {
      it(`does not count a run that ended as ${how}`, () => {
        const history = new History();
        history.start("r1")(how);
        history.start("r1")(how);
        assert.not(history.isDoubtful("r1"));
      });
    }

    it("is made up for only by runs that did not begin before", () => {
      const history = new History();
      const endEarly = history.start("r1");
      history.fail("r1");
      history.fail("r1");
      endEarly("done");
      assert.ok(history.isDoubtful("r1"));
      history.start("r1")("done");
      assert.not(history.isDoubtful("r1"));
    });

    it("is no evidence against the next incarnation", () => {
      const history = new History();
      history.fail("r1");
      history.fail("r1");
      history.announce("r1", 2);
      assert.not(history.isDoubtful("r1"));
    });

    it("is forgotten some time after the newest failure", () => {
      const history = new History();
      history.fail("r1");
      history.fail("r1");
      history.nowMs += EVIDENCE_KEEP_MS + WORK_MS;
      history.accept();
      assert.not(history.isDoubtful("r1"));
    });
  });

  describe("over runners", () => {
    it("speaks against a task that fails on another runner as well", () => {
      const history = new History();
      for (const jobId of [history.accept(), history.accept()]) {
        history.fail("r1", jobId);
        history.fail("r2", jobId);
        history.fail("r3", jobId);
      }
      for (const runnerId of ["r1", "r2", "r3"]) {
        assert.not(history.isDoubtful(runnerId), runnerId);
      }
    });

    it("speaks against a runner where tasks fail that failed on another", () => {
      const history = new History();
      for (let count = 0; count < 3; count += 1) {
        history.fail("r1");
        history.fail("r2");
      }
      const jobId = history.accept();
      history.fail("r1", jobId);
      history.fail("r2", jobId);
      assert.ok(history.isDoubtful("r1"));
      assert.ok(history.isDoubtful("r2"));
    });

    it("remembers the newest runners on which a task failed", () => {
      const ids = ["r1", "r2", "r3", "r4", "r5"];
      const history = new History(ids);
      const jobId = history.accept();
      ids.forEach((runnerId) => history.fail(runnerId, jobId));
      history.fail("r3", jobId);
      const [task] = history.state.jobs.find(jobId)?.occurrences[0]?.[0]
        ?.tasks ?? [];
      assert.equal(task?.failedOn, ["r2", "r4", "r5", "r3"]);
    });
  });

  it("is the same after a snapshot", () => {
    const history = new History();
    const jobId = history.accept();
    history.fail("r1");
    history.fail("r1", jobId);
    const stored = JSON.parse(JSON.stringify(history.state.toItems()));
    const restored = SchedulingState.restore(stored);
    assert.equal(
      restored.jobs.evidence.list(),
      JSON.parse(JSON.stringify(history.state.jobs.evidence.list())),
    );
    history.state = restored;
    assert.ok(history.isDoubtful("r1"));
    const [task] = restored.jobs.find(jobId)?.occurrences[0]?.[0]?.tasks ?? [];
    assert.equal(task?.failedOn, ["r1"]);
  });

  it("may be absent from a snapshot", () => {
    const history = new History();
    history.fail("r1");
    const earlier = history.state.toItems().filter(({ type }) =>
      type !== "runnerEvidence"
    );
    assert.equal(SchedulingState.restore(earlier).jobs.evidence.list(), []);
  });
});
