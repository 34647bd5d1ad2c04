import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { beforeEach, describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import {
  MAX_START_ATTEMPTS,
  POLL_TIMEOUT_MS,
  POLL_WAIT_MS,
  REQUEST_RETRY_MS,
} from "./timing.ts";

const SEED = 20_341;
const RUNNER_ID = "r1";
const ENDLESS_JOB_ID = "0000000000000001";
const JOB_ID = "0000000000000002";
/** Time until a start counts as unanswered (ms): that of a relay. */
const START_TIMEOUT_MS = 400;
/** Most time until a value is committed, in milliseconds. */
const COMMIT_DELAY_MS = 400;
/** Time for two polls and the requests that follow them, in milliseconds. */
const SETTLE_MS = 2 * (POLL_WAIT_MS + POLL_TIMEOUT_MS);

function createSteps(isEndless: boolean) {
  return [v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 500 },
    ...(isEndless ? { isEndless } : { estimateMs: 300 }),
  })];
}

/** What happens to a start request. */
type StartFate = "delivered" | "lost" | "answerLost";

describe("a start that is not confirmed", () => {
  let fixture: SchedulingFixture;
  /** Fates of the next starts; further ones are delivered. */
  let fates: StartFate[];
  let startCount: number;
  let stopCount: number;

  beforeEach(() => {
    fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: [RUNNER_ID],
    });
    fates = [];
    startCount = 0;
    stopCount = 0;
    const { clock, runners } = fixture;
    const start = runners.start.bind(runners);
    const stop = runners.stop.bind(runners);
    runners.start = async (...request) => {
      startCount += 1;
      const fate = fates.shift() ?? "delivered";
      if (fate === "delivered") {
        return await start(...request);
      }
      if (fate === "answerLost") {
        await start(...request);
      }
      await clock.sleep(START_TIMEOUT_MS);
      return Result.err({ message: "the relay does not respond" });
    };
    runners.stop = (...request) => {
      stopCount += 1;
      return stop(...request);
    };
    fixture.changeLeader();
  });

  function listHows(jobId: string): string[] {
    fixture.runners.advanceAll();
    return fixture.runners.spans.filter(({ task }) => task.startsWith(jobId))
      .map(({ how }) => how);
  }

  function applyStart(jobId: string): void {
    const runner = fixture.state.scheduling.runners.get(RUNNER_ID);
    assert.ok(runner);
    fixture.apply({
      type: "scheduling",
      atMs: fixture.clock.nowMs(),
      operations: [{
        type: "start",
        task: { jobId, occurrence: 0, step: 0, index: 0 },
        runNumber: 1,
        runnerId: RUNNER_ID,
        bornAtMs: runner.bornAtMs,
      }],
    });
  }

  describe("because the runner could not get a lease", () => {
    beforeEach(async () => {
      const { clock, runners } = fixture;
      await clock.advance(2_000);
      void fixture.submit(ENDLESS_JOB_ID, createSteps(true));
      await clock.advance(SETTLE_MS);
      assert.is(startCount, 1);
      runners.cutIds.add(RUNNER_ID);
      await clock.advance(POLL_WAIT_MS + POLL_TIMEOUT_MS);
      const submitted = fixture.submit(JOB_ID, createSteps(false));
      await clock.runUntil(submitted, REQUEST_RETRY_MS);
      applyStart(JOB_ID);
      await clock.advance((MAX_START_ATTEMPTS + 1) * REQUEST_RETRY_MS);
      assert.is(startCount, 1);
    });

    // Guards against a run that is thrown away: a start that was never sent
    // counted as unanswered, and a stop closed the run.
    it("is sent once the runner answers, and no stop", async () => {
      fixture.runners.cutIds.delete(RUNNER_ID);
      await fixture.clock.advance(SETTLE_MS);
      const hows = listHows(JOB_ID);
      await fixture.stop();
      assert.equal(hows, ["done"]);
      assert.is(startCount, 2);
      assert.is(stopCount, 0);
    });

    // Guards against a stop of a run that no runner has ever been sent.
    it("causes no request when its job is cancelled", async () => {
      fixture.apply({
        type: "scheduling",
        atMs: fixture.clock.nowMs(),
        operations: [{ type: "cancel", jobId: JOB_ID }],
      });
      await fixture.clock.advance(REQUEST_RETRY_MS);
      fixture.runners.cutIds.delete(RUNNER_ID);
      await fixture.clock.advance(SETTLE_MS);
      const { jobs, runners } = fixture.state.scheduling;
      const runner = runners.get(RUNNER_ID);
      assert.ok(runner);
      const placedCount = jobs.findLoad(runner).running.size;
      await fixture.stop();
      assert.is(placedCount, 1);
      assert.is(startCount, 1);
      assert.is(stopCount, 0);
    });
  });

  describe("because its answer was lost", () => {
    // Guards against work that is done twice: a stop ended a run that the polls
    // showed to be running.
    it("is confirmed by a poll, without a stop", async () => {
      const { clock } = fixture;
      await clock.advance(2_000);
      fates = ["answerLost"];
      void fixture.submit(JOB_ID, createSteps(true));
      await clock.advance(SETTLE_MS);
      const hows = listHows(JOB_ID);
      await fixture.stop();
      assert.equal(hows, ["runs"]);
      assert.is(startCount, 1);
      assert.is(stopCount, 0);
    });

    // Guards against a run that is taken for lost because of a report that the
    // runner made before the start reached it.
    it("is not sent again after the report of an earlier poll", async () => {
      const { clock, runners } = fixture;
      await clock.advance(2_000);
      fates = ["answerLost"];
      const timedOutMs = clock.nowMs() + START_TIMEOUT_MS;
      const poll = runners.poll.bind(runners);
      let earlyCount = 0;
      runners.poll = async (...request) => {
        const isEarly = clock.nowMs() < timedOutMs;
        const polled = await poll(...request);
        earlyCount += isEarly && clock.nowMs() > timedOutMs ? 1 : 0;
        return isEarly
          ? polled.map((report) => ({ ...report, running: [] }))
          : polled;
      };
      void fixture.submit(JOB_ID, createSteps(true));
      await clock.advance(SETTLE_MS);
      const hows = listHows(JOB_ID);
      await fixture.stop();
      assert.is(earlyCount, 1);
      assert.equal(hows, ["runs"]);
      assert.is(startCount, 1);
      assert.is(stopCount, 0);
    });

    // Guards against a start that is sent again while the end of the run, which
    // the first report lists, is on its way to the log.
    it("is not sent again when a poll lists the end of the run", async () => {
      const { clock, runners } = fixture;
      await clock.advance(2_000);
      fates = ["answerLost"];
      const timedOutMs = clock.nowMs() + START_TIMEOUT_MS;
      const poll = runners.poll.bind(runners);
      runners.poll = async (...request) => {
        const isEarly = clock.nowMs() < timedOutMs;
        const polled = await poll(...request);
        return isEarly ? Result.err({ message: "no answer" }) : polled;
      };
      void fixture.submit(JOB_ID, createSteps(false));
      await clock.advance(START_TIMEOUT_MS / 2);
      fixture.maxCommitDelayMs = COMMIT_DELAY_MS;
      await clock.advance(SETTLE_MS);
      const hows = listHows(JOB_ID);
      await fixture.stop();
      assert.equal(hows, ["done"]);
      assert.is(startCount, 1);
      assert.is(stopCount, 0);
    });
  });

  describe("because the request was lost", () => {
    // Guards against a run that is stopped instead of sent again: the lost
    // start itself kept the second attempt from getting a lease.
    it("is sent again once, and the task runs once", async () => {
      const { clock } = fixture;
      await clock.advance(2_000);
      fates = ["lost"];
      void fixture.submit(JOB_ID, createSteps(false));
      await clock.advance(SETTLE_MS);
      const hows = listHows(JOB_ID);
      await fixture.stop();
      assert.equal(hows, ["done"]);
      assert.is(startCount, 2);
      assert.is(stopCount, 0);
    });

    // Guards against starts without end at a runner that answers its polls
    // alone, and against a task that is placed anew before the stop.
    it("is closed by a stop after the last attempt", async () => {
      const { clock } = fixture;
      await clock.advance(2_000);
      fates = Array.from({ length: MAX_START_ATTEMPTS }, () => "lost");
      void fixture.submit(JOB_ID, createSteps(false));
      await clock.advance(2 * SETTLE_MS);
      const hows = listHows(JOB_ID);
      const runNumbers = fixture.runners.spans.map(({ runNumber }) =>
        runNumber
      );
      checkNeverTwice(fixture.runners.spans);
      await fixture.stop();
      assert.equal(hows, ["done"]);
      assert.equal(runNumbers, [2]);
      assert.is(startCount, MAX_START_ATTEMPTS + 1);
      assert.is(stopCount, 1);
    });
  });
});
