import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { MAX_PROBE_PAUSE_MS } from "../../decisions/index.ts";
import { type JobStep, jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_511;
const RUNNER_IDS = ["r1", "r2", "r3", "r4"];
const WORK_MS = 400;
/** Time in which three runs of a slow runner end (ms). */
const LEARNING_MS = 4_000;
const FAST_FAILURE = { how: "failed", afterMs: 5 } as const;
const ARRIVAL_MS = 40;
/** How much longer than estimated the longest tasks take. */
const TAIL_FACTOR = 7;
const START_MS = 2_000;
/** Runs that begin before two ends are in the log, and probes of some seconds. */
const MAX_FAILURES = 12;
/** Longest wait for work that only a runner that it avoids could run (ms). */
const MAX_AVOIDANCE_MS = 2_000;

const STEP: JobStep = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: { cpuMillicores: 1_000 },
  estimateMs: WORK_MS,
});

class Load {
  readonly fixture: SchedulingFixture;
  #jobCount = 0;

  constructor(runnerIds: readonly string[] = RUNNER_IDS) {
    this.fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds,
    });
  }

  async begin(): Promise<void> {
    this.fixture.changeLeader();
    await this.fixture.clock.advance(START_MS);
  }

  /** Hands in a job and returns its id. */
  submit(step: JobStep = STEP): string {
    this.#jobCount += 1;
    const jobId = String(this.#jobCount).padStart(16, "0");
    void this.fixture.submit(jobId, [step]);
    return jobId;
  }

  /** Hands in jobs at a steady rate. */
  async submitMany(count: number, step = STEP): Promise<void> {
    for (let at = 0; at < count; at += 1) {
      this.submit(step);
      await this.fixture.clock.advance(ARRIVAL_MS);
    }
  }

  async end(): Promise<void> {
    await this.fixture.stop();
    this.fixture.runners.advanceAll();
    checkNeverTwice(this.fixture.runners.spans);
  }

  listFailed(runnerId: string) {
    return this.fixture.runners.spans.filter((span) =>
      span.runnerId === runnerId && span.how === "failed"
    );
  }

  countFailedJobs(): number {
    const { jobs } = this.fixture.state.scheduling;
    return jobs.list().filter(({ outcome }) => outcome === "failed").length;
  }

  listLines(message: string) {
    return this.fixture.logger.lines.filter((line) => line.message === message);
  }
}

const SUSPECT = "a runner is suspect: it gets one task at a time";
const TRUSTED = "a runner is no longer suspect";

describe("steady arrivals", () => {
  describe("with a runner that fails all that it starts at once", () => {
    async function failOn(failingId: string): Promise<Load> {
      const load = new Load();
      await load.begin();
      await load.submitMany(20);
      load.fixture.runners.findFault = (runnerId) =>
        runnerId === failingId ? FAST_FAILURE : undefined;
      await load.submitMany(100);
      return load;
    }

    it("takes the work of few and fails no job", async () => {
      const load = await failOn("r1");
      await load.end();
      const failed = load.listFailed("r1");
      assert.ok(failed.length > 0, "the runner had work");
      assert.ok(
        failed.length <= MAX_FAILURES,
        `${failed.length} runs failed`,
      );
      assert.is(load.countFailedJobs(), 0);
      assert.is(load.listLines(SUSPECT).length, 1);
    });

    it("stays suspect under the next leader", async () => {
      const load = await failOn("r1");
      const before = load.listFailed("r1").length;
      load.fixture.changeLeader();
      await load.submitMany(25);
      await load.end();
      const probes = load.listFailed("r1").length - before;
      assert.ok(probes <= 2, `${probes} runs failed under the new leader`);
    });

    it("gets its share again once a probe ends well", async () => {
      const load = await failOn("r1");
      load.fixture.runners.findFault = () => undefined;
      await load.submitMany(MAX_PROBE_PAUSE_MS / ARRIVAL_MS + 50);
      assert.is(load.listLines(TRUSTED).length, 1);
      const jobId = load.submit({ ...STEP, taskCount: 32 });
      await load.fixture.clock.advance(WORK_MS);
      await load.end();
      const runs = load.fixture.runners.spans.filter(({ runnerId, task }) =>
        runnerId === "r1" && task.startsWith(jobId)
      );
      assert.is(runs.length, 8, "it is filled like the others");
    });
  });

  describe("with a runner that refuses what it is to start", () => {
    it("sends it few tasks", async () => {
      const load = new Load();
      await load.begin();
      load.fixture.runners.unhealthyIds.add("r1");
      await load.submitMany(100);
      await load.end();
      const refused = load.listLines("a start was not confirmed").length;
      assert.ok(refused > 0, "the runner was chosen");
      assert.ok(refused <= MAX_FAILURES, `${refused} starts were refused`);
      assert.is(load.countFailedJobs(), 0);
    });
  });

  describe("with the runners of one zone failing all that they start", () => {
    it("keeps the others at work", async () => {
      const ids = ["r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"];
      const load = new Load(ids);
      await load.begin();
      const zone = ids.slice(0, 3);
      load.fixture.runners.findFault = (runnerId) =>
        zone.includes(runnerId) ? FAST_FAILURE : undefined;
      const twelve = { ...STEP, taskCount: 12 };
      await load.submitMany(100, twelve);
      await load.end();
      const failedCount = zone.flatMap((id) => load.listFailed(id)).length;
      assert.ok(
        failedCount <= zone.length * MAX_FAILURES,
        `${failedCount} runs failed`,
      );
      assert.is(load.countFailedJobs(), 0);
    });
  });

  describe("with a task that fails wherever it runs", () => {
    it("tries each attempt on another runner and ends up trusting all", async () => {
      const load = new Load();
      await load.begin();
      const jobIds = [load.submit(), load.submit(), load.submit()];
      load.fixture.runners.findFault = (_runnerId, task) =>
        jobIds.some((jobId) => task.startsWith(jobId))
          ? FAST_FAILURE
          : undefined;
      await load.submitMany(50);
      await load.end();
      assert.is(load.countFailedJobs(), jobIds.length);
      assert.is(
        load.listLines(SUSPECT).length,
        load.listLines(TRUSTED).length,
      );
      for (const jobId of jobIds) {
        const runs = load.fixture.runners.spans.filter(({ task }) =>
          task.startsWith(jobId)
        );
        assert.is(new Set(runs.map(({ runnerId }) => runnerId)).size, 3);
      }
    });
  });

  describe("with a runner on which tasks take seven times as long", () => {
    it("sends work elsewhere while there is room", async () => {
      const load = new Load();
      await load.begin();
      load.fixture.runners.findFault = (runnerId) =>
        runnerId === "r1"
          ? { how: "done", afterMs: TAIL_FACTOR * WORK_MS }
          : undefined;
      await load.submitMany(LEARNING_MS / ARRIVAL_MS);
      const fromMs = load.fixture.clock.monotonicMs();
      await load.submitMany(LEARNING_MS / ARRIVAL_MS);
      await load.end();
      const later = load.fixture.runners.spans.filter((span) =>
        span.runnerId === "r1" && span.fromMs > fromMs
      );
      assert.equal(later, []);
    });
  });

  describe("with the only runner of a pool", () => {
    it("tries there again after a bounded wait", async () => {
      const load = new Load(["r1"]);
      await load.begin();
      let failureCount = 0;
      load.fixture.runners.findFault = () => {
        failureCount += 1;
        return failureCount === 1 ? FAST_FAILURE : undefined;
      };
      const jobId = load.submit();
      await load.fixture.clock.advance(MAX_AVOIDANCE_MS + WORK_MS);
      const job = load.fixture.state.scheduling.jobs.find(jobId);
      assert.is(job?.outcome, "completed");
      await load.end();
    });
  });
});

describe("a run that stands still", () => {
  const STILL = "stopping a run that stands still";

  it("is stopped and placed elsewhere", async () => {
    const load = new Load();
    await load.begin();
    const stillIds = new Set<string>();
    load.fixture.runners.findFault = (runnerId) => {
      stillIds.add(runnerId);
      return stillIds.size === 1 ? "still" : undefined;
    };
    const jobId = load.submit();
    await load.fixture.clock.advance(4_000);
    const job = load.fixture.state.scheduling.jobs.find(jobId);
    assert.is(job?.outcome, "completed");
    assert.is(load.listLines(STILL).length, 1);
    await load.end();
  });

  it("is left alone where the step saves none for itself", async () => {
    const load = new Load();
    await load.begin();
    load.fixture.runners.findFault = () => "still";
    load.submit({ ...STEP, maxAwayCount: 1 });
    load.submit({ ...STEP, isGang: true });
    load.submit({ ...STEP, usesLeftovers: true });
    await load.fixture.clock.advance(6_000);
    await load.end();
    assert.equal(load.listLines(STILL), []);
  });

  it("is stopped on two runners at most", async () => {
    const load = new Load();
    await load.begin();
    load.fixture.runners.findFault = () => "still";
    load.submit();
    await load.fixture.clock.advance(20_000);
    await load.end();
    assert.is(load.listLines(STILL).length, 2);
  });

  // Some tasks legitimately last several times as long as estimated.
  it("is not taken for one that lasts long", async () => {
    const load = new Load();
    await load.begin();
    load.fixture.runners.findFault = () => ({
      how: "done",
      afterMs: TAIL_FACTOR * WORK_MS,
    });
    const jobId = load.submit();
    await load.fixture.clock.advance((TAIL_FACTOR + 1) * WORK_MS);
    await load.end();
    assert.equal(load.listLines(STILL), []);
    const job = load.fixture.state.scheduling.jobs.find(jobId);
    assert.is(job?.outcome, "completed");
  });
});
