import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import type { RunnerFailure } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import {
  LEASE_SLACK_MS,
  MAX_CLOCK_DRIFT,
  MAX_REFUSED_POLLS,
  RUN_LEASE_MS,
} from "./timing.ts";

const SEED = 20_413;
const JOB_ID = "0000000000000001";
const EARLIER_JOB_ID = "0000000000000002";
const WORK_MS = 600;
/** A whole runner, so that two tasks need two runners. */
const RUNNER_MILLICORES = 8_000;
/** Time in which a runner that refuses connections is removed. */
const MAX_REMOVAL_MS = 1_000;
/** Two announcements of a runner, and its first poll. */
const RETURN_MS = 3_200;
/** Time after which no lease of a runner can be left. */
const LEASE_END_MS = RUN_LEASE_MS / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_MS;
/** Polls of a runner with runs while it refuses connections for a lease. */
const MAX_BUSY_POLLS = 8;
/** Longer than a proposal waits for its outcome. */
const UNKNOWN_OUTCOME_MS = 6_000;
const REFUSED: RunnerFailure = {
  refusal: "notListening",
  message: "no process listens",
};

/** A fixture in which a runner can refuse connections and go on later. */
class RefusingFixture extends SchedulingFixture {
  /** Ids of the runners that refuse connections. */
  readonly refusingIds = new Set<string>();
  /** Number of starts that reached the runner `r1`. */
  startCount = 0;

  constructor() {
    super({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
    const { runners } = this;
    const poll = runners.poll.bind(runners);
    const start = runners.start.bind(runners);
    runners.poll = async (runner, request) =>
      this.refusingIds.has(runner.runnerId)
        ? Result.err(REFUSED)
        : await poll(runner, request);
    runners.start = async (runner, request) => {
      if (this.refusingIds.has(runner.runnerId)) {
        return Result.err(REFUSED);
      }
      this.startCount += Number(runner.runnerId === "r1");
      return await start(runner, request);
    };
  }

  get hasRunner(): boolean {
    return this.state.scheduling.runners.has("r1");
  }

  get refusedPollCount(): number {
    return this.metrics.requestCounts.get("poll refused") ?? 0;
  }

  get isJobDone(): boolean {
    const job = this.state.scheduling.jobs.find(JOB_ID);
    return job?.outcome === "completed";
  }

  /** Whether the log had a run of the job that ended as lost. */
  get hasLostStart(): boolean {
    const job = this.state.scheduling.jobs.find(JOB_ID);
    const tasks = job?.occurrences[0]?.[0]?.tasks ?? [];
    return tasks.some(({ runNumber }) => runNumber === 2);
  }

  async submitTasks(taskCount: number, jobId = JOB_ID): Promise<void> {
    void this.submit(jobId, [v.parse(jobStepSchema, {
      taskCount,
      needs: { cpuMillicores: RUNNER_MILLICORES },
      estimateMs: WORK_MS,
    })]);
    while (this.state.scheduling.jobs.find(jobId) === undefined) {
      await this.clock.advance(1);
    }
  }
}

async function setUp(): Promise<RefusingFixture> {
  const fixture = new RefusingFixture();
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  return fixture;
}

describe("a runner without runs that refuses connections", () => {
  // Guards against a leader that spends its processor time on connections to
  // runners that are gone: each was polled every 200 ms for a whole lease.
  it("is removed after few polls", async () => {
    const fixture = await setUp();
    fixture.crash("r1");
    fixture.changeLeader();
    await fixture.clock.advance(MAX_REMOVAL_MS);
    assert.not(fixture.hasRunner);
    assert.equal(fixture.metrics.removals, ["notListening"]);
    await fixture.clock.advance(RUN_LEASE_MS);
    assert.is(fixture.refusedPollCount, MAX_REFUSED_POLLS);
    await fixture.stop();
  });

  // Guards against a sound runner that is shut out: it did not listen for a
  // while.
  it("gets work again once it has announced itself", async () => {
    const fixture = await setUp();
    const { clock, refusingIds, state } = fixture;
    const known = state.scheduling.runners.get("r1");
    refusingIds.add("r1");
    fixture.changeLeader();
    while (fixture.hasRunner) {
      await clock.advance(10);
    }
    refusingIds.clear();
    await clock.advance(RETURN_MS);
    assert.equal(state.scheduling.runners.get("r1"), known);
    await fixture.submitTasks(2);
    await clock.advance(2 * WORK_MS);
    assert.ok(fixture.isJobDone);
    assert.is(fixture.startCount, 1);
    await fixture.stop();
  });

  // Guards against the removal of a runner that restarts quickly.
  it("stays when it listens again before the last of these polls", async () => {
    const fixture = await setUp();
    fixture.refusingIds.add("r1");
    fixture.changeLeader();
    while (fixture.refusedPollCount < MAX_REFUSED_POLLS - 1) {
      await fixture.clock.advance(10);
    }
    fixture.refusingIds.clear();
    await fixture.clock.advance(RETURN_MS);
    assert.equal(fixture.metrics.removals, []);
    assert.ok(fixture.hasRunner);
    await fixture.stop();
  });

  // Guards against a task that runs twice: its start was proposed before the
  // removal of the runner was decided, and is applied after that.
  for (const pauseMs of [MAX_REMOVAL_MS, UNKNOWN_OUTCOME_MS]) {
    it(`gets no start that is applied ${pauseMs} ms later`, async () => {
      const fixture = await setUp();
      const { clock, commits, refusingIds, state: { scheduling } } = fixture;
      await fixture.submitTasks(2, EARLIER_JOB_ID);
      await fixture.submitTasks(2);
      while (scheduling.jobs.find(EARLIER_JOB_ID)?.outcome === undefined) {
        await clock.advance(1);
      }
      // Plans are proposed within some milliseconds, before the next poll.
      commits.pause();
      refusingIds.add("r1");
      await clock.advance(pauseMs);
      assert.equal(fixture.metrics.removals, ["notListening"]);
      assert.ok(fixture.hasRunner, "the removal is not in the log");
      refusingIds.clear();
      commits.resume();
      await clock.advance(RETURN_MS + 2 * WORK_MS);
      assert.ok(fixture.isJobDone);
      assert.ok(fixture.hasLostStart, "a start was proposed before");
      const { runners } = fixture;
      runners.advanceAll();
      checkNeverTwice(runners.spans);
      assert.is(runners.spans.length, 4);
      await fixture.stop();
    });
  }
});

describe("a runner with runs that refuses connections", () => {
  // Guards against a leader that spends its processor time on connections to
  // the runners of a rack that crashed.
  it("is polled less and less often until its leases have ended", async () => {
    const fixture = await setUp();
    await fixture.submitTasks(2);
    while (fixture.startCount === 0) {
      await fixture.clock.advance(1);
    }
    await fixture.clock.advance(50);
    fixture.crash("r1");
    const crashedAtMs = fixture.clock.monotonicMs();
    while (fixture.hasRunner) {
      await fixture.clock.advance(10);
    }
    const tookMs = fixture.clock.monotonicMs() - crashedAtMs;
    assert.ok(tookMs <= LEASE_END_MS + 50, `removed after ${tookMs} ms`);
    const { refusedPollCount } = fixture;
    assert.ok(refusedPollCount <= MAX_BUSY_POLLS, `${refusedPollCount} polls`);
    assert.equal(fixture.metrics.removals, ["leasesExpired"]);
    await fixture.clock.advance(2 * WORK_MS);
    assert.ok(fixture.isJobDone);
    await fixture.stop();
  });
});
