import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { BackOffPacePolicy } from "../../decisions/index.ts";
import {
  jobStepSchema,
  type Runner,
  type SchedulingOperation,
  type TaskId,
} from "../../domain/index.ts";
import type { RunnerFailure } from "../../ports/index.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { PaceTask } from "./pace_task.ts";
import { RunnerStatus } from "./runner_status.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { LATE_REQUEST_MS, PACE_TICK_MS } from "./timing.ts";

const TARGET_MS = 100;
const MISSED_MS = 2 * TARGET_MS;
/** Tail latency at which the pace stays as it is. */
const NEUTRAL_MS = 0.7 * TARGET_MS;
/** Tail latency at which the pace falls. */
const NEAR_MS = 0.9 * TARGET_MS;
const LOW_MS = 0.1 * TARGET_MS;
/** Delay of a late request, in milliseconds. */
const LATE_MS = 8_000;
/** Time in which a pace recovers from 0 to 100 %. */
const RECOVERY_MS = 12 * PACE_TICK_MS;

const RUNNER: Runner = {
  runnerId: "r1",
  bornAtMs: 1,
  address: "127.0.0.1:1",
  pool: "bay",
  zone: "zone-a",
  capacity: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
  rack: "rack-1",
  labels: [],
  isDraining: false,
};
const SERVING = createTask("0000000000000001");
const BEST_EFFORT = createTask("0000000000000002");

function createTask(jobId: string): TaskId {
  return { jobId, occurrence: 0, step: 0, index: 0 };
}

function createStart(task: TaskId, step: object): SchedulingOperation[] {
  return [{
    type: "accept",
    spec: {
      jobId: task.jobId,
      text: "",
      steps: [v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 1_000 },
        isEndless: true,
        ...step,
      })],
    },
    queue: "q",
    pool: "bay",
    maxAttempts: 2,
  }, { type: "start", task, runNumber: 1, runnerId: "r1", bornAtMs: 1 }];
}

/** One runner with a serving task and a best-effort task beside it. */
class PaceRun {
  readonly clock = new FakeClock();
  readonly agreement = new FakeAgreement(this.clock);
  readonly status = new RunnerStatus(this.clock);
  /** Pace of the best-effort run at the runner, in percent. */
  percent = 100;
  requestCount = 0;
  /** Whether requests are carried out but get no answer. */
  losesAnswers = false;
  /** Time after which a request without an answer is carried out (ms). */
  lateMs = 0;
  /** Tail latency of the serving task, in milliseconds. */
  tailMs = LOW_MS;
  readonly #stop: AbortController[] = [];

  constructor() {
    this.apply([
      { type: "runner", runner: RUNNER },
      ...createStart(SERVING, { tailTargetMs: TARGET_MS }),
    ]);
    this.status.isSynced = true;
  }

  apply(operations: readonly SchedulingOperation[]): void {
    this.agreement.state.apply({
      type: "scheduling",
      atMs: this.clock.nowMs(),
      operations: [...operations],
    });
  }

  startBestEffort(): void {
    this.apply(createStart(BEST_EFFORT, { usesLeftovers: true }));
  }

  endServing(): void {
    this.apply([{ type: "cancel", jobId: SERVING.jobId }, {
      type: "end",
      task: SERVING,
      runNumber: 1,
      how: "stopped",
      saved: "",
      maxAttempts: 2,
    }]);
  }

  /** Starts the task of a leader, in place of the previous one's. */
  changeLeader(): void {
    this.stop();
    this.#report();
    const stop = new AbortController();
    this.#stop.push(stop);
    const { agreement, clock, status } = this;
    const task = new PaceTask({
      log: new SchedulingLog({ agreement, clock }),
      fleet: { findStatus: () => status },
      client: { pace: (_runner, { percent }) => this.#pace(percent) },
      policy: new BackOffPacePolicy(),
      clock,
      logger: new FakeLogger(),
      fencingToken: 1,
    });
    void task.run(stop.signal);
  }

  async advance(durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= PACE_TICK_MS) {
      this.#report();
      await this.clock.advance(PACE_TICK_MS);
    }
  }

  /** Runs until the best-effort run is paused. */
  async pause(): Promise<void> {
    this.tailMs = MISSED_MS;
    await this.advance(2 * PACE_TICK_MS);
    assert.is(this.percent, 0);
  }

  stop(): void {
    this.#stop.splice(0).forEach((controller) => controller.abort());
  }

  #report(): void {
    this.status.recordReport({
      clockMs: this.clock.monotonicMs(),
      bornAtMs: RUNNER.bornAtMs,
      running: [{
        task: SERVING,
        runNumber: 1,
        saved: "",
        percent: 100,
        load: this.tailMs,
      }],
      ended: [],
    });
  }

  #pace(percent: number) {
    this.requestCount += 1;
    if (this.losesAnswers && this.lateMs > 0) {
      void this.clock.sleep(this.lateMs).then(() => {
        this.percent = percent;
      });
    } else {
      this.percent = percent;
    }
    return Promise.resolve(
      this.losesAnswers
        ? Result.err<{ clockMs: number }, RunnerFailure>({
          message: "no answer",
        })
        : Result.ok<{ clockMs: number }, RunnerFailure>({ clockMs: 0 }),
    );
  }
}

const runs: PaceRun[] = [];

function setUp(): PaceRun {
  const run = new PaceRun();
  runs.push(run);
  run.changeLeader();
  run.startBestEffort();
  return run;
}

function stopAll(): void {
  runs.splice(0).forEach((run) => run.stop());
}

describe("the pace of a best-effort run", () => {
  afterEach(stopAll);

  it("falls beside a task that misses its target, and recovers", async () => {
    const run = setUp();
    await run.pause();
    run.tailMs = LOW_MS;
    await run.advance(RECOVERY_MS);
    assert.is(run.percent, 100);
  });

  it("is set only when it changes", async () => {
    const run = setUp();
    await run.advance(RECOVERY_MS);
    assert.is(run.requestCount, 0);
    await run.pause();
    const { requestCount } = run;
    await run.advance(RECOVERY_MS);
    assert.is(run.requestCount, requestCount);
  });

  // Guards against a run that stays paused for good: the task for which it was
  // paused had left the runner.
  it("recovers after the task beside it has left", async () => {
    const run = setUp();
    await run.pause();
    run.endServing();
    await run.advance(RECOVERY_MS);
    assert.is(run.percent, 100);
  });
});

describe("the pace of a best-effort run that is not known", () => {
  afterEach(stopAll);

  describe("after a change of leader", () => {
    // Guards against a run that stays paused for good: the next leader took it
    // to be at full speed.
    it("recovers", async () => {
      const run = setUp();
      await run.pause();
      run.tailMs = LOW_MS;
      run.changeLeader();
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 100);
    });

    it("stays as it is while the tail latency needs no change", async () => {
      const run = setUp();
      await run.pause();
      run.tailMs = NEUTRAL_MS;
      run.changeLeader();
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 0);
    });

    it("does not rise near the target", async () => {
      const run = setUp();
      await run.pause();
      run.tailMs = NEAR_MS;
      run.changeLeader();
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 0);
    });

    it("is set once for a run at full speed", async () => {
      const run = setUp();
      run.changeLeader();
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 100);
      assert.is(run.requestCount, 1);
    });
  });

  describe("after a request without an answer", () => {
    const setUpUnanswered = async () => {
      const run = setUp();
      run.losesAnswers = true;
      await run.pause();
      run.losesAnswers = false;
      return run;
    };

    // Guards against a run that stays paused for good: the request was carried
    // out, and the latency was low again by its next turn.
    it("recovers", async () => {
      const run = await setUpUnanswered();
      run.tailMs = LOW_MS;
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 100);
    });

    // Guards against the same where the request was carried out later than the
    // next one, which was confirmed.
    it("recovers when it is carried out late", async () => {
      const run = setUp();
      run.losesAnswers = true;
      run.lateMs = LATE_MS;
      run.tailMs = MISSED_MS;
      await run.advance(PACE_TICK_MS);
      run.losesAnswers = false;
      run.tailMs = LOW_MS;
      await run.advance(RECOVERY_MS);
      assert.is(run.percent, 100, "the next request is confirmed");
      await run.advance(LATE_MS - RECOVERY_MS);
      assert.is(run.percent, 0, "the first one is carried out");
      await run.advance(LATE_REQUEST_MS - LATE_MS + RECOVERY_MS);
      assert.is(run.percent, 100);
      const { requestCount } = run;
      await run.advance(2 * LATE_REQUEST_MS);
      assert.is(run.requestCount, requestCount);
    });

    it("stays at the pace of the next request that is confirmed", async () => {
      const run = await setUpUnanswered();
      await run.advance(PACE_TICK_MS);
      const { requestCount } = run;
      await run.advance(RECOVERY_MS);
      assert.is(run.requestCount, requestCount);
      assert.is(run.percent, 0);
    });
  });
});
