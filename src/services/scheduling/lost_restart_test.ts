import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  DEFAULT_RUNNER_BOUNDS,
  jobStepSchema,
  type RunnerBounds,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { RELAY_CONFIRM_MS } from "./relay/relay_timing.ts";
import { POLL_TIMEOUT_MS, POLL_WAIT_MS } from "./timing.ts";

const SEED = 20_372;
const JOB_ID = "0000000000000001";
const FAILS_AFTER_MS = 4_000;
const SLOW_PERCENT = 2;
/** Time after its last run in which a long-running task has to run again. */
const LIMIT_MS = 9_000;
/** Time in which a request without an answer may arrive (ms). */
const ARRIVAL_MS = RELAY_CONFIRM_MS + POLL_WAIT_MS + POLL_TIMEOUT_MS;
const TIMEOUT_MS = 700;

interface LostRestart {
  readonly bounds?: RunnerBounds;
  /**
   * Time after which the restart arrives at a successor of the runner (ms);
   * undefined if it never does.
   */
  readonly arrivesAfterMs?: number;
  readonly clockDriftPercent?: number;
}

/** Loses the runner for good that gets the restart of a long-running task. */
async function loseRestart(
  { arrivesAfterMs, bounds, clockDriftPercent = 0 }: LostRestart,
): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2", "r3", "r4"],
    maxClockDriftPercent: clockDriftPercent,
    ...(bounds && { bounds }),
  });
  const { clock, runners } = fixture;
  let hasFailed = false;
  runners.findFault = () => {
    const fault = hasFailed
      ? undefined
      : { how: "failed" as const, afterMs: FAILS_AFTER_MS };
    hasFailed = true;
    return fault;
  };
  const start = runners.start.bind(runners);
  let isLost = false;
  runners.start = async (runner, request) => {
    if (request.runNumber === 1 || isLost) {
      return await start(runner, request);
    }
    isLost = true;
    const { runnerId } = runner;
    runners.cutIds.add(runnerId);
    if (arrivesAfterMs !== undefined) {
      void clock.sleep(arrivesAfterMs).then(() => {
        fixture.startRunner(runnerId);
        runners.cutIds.delete(runnerId);
        void start(runner, request);
        return clock.sleep(5);
      }).then(() => runners.cutIds.add(runnerId));
    }
    await clock.sleep(TIMEOUT_MS);
    return Result.err({ message: "no answer" });
  };
  fixture.changeLeader();
  await clock.advance(2_000);
  const step = v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 500 },
    isEndless: true,
  });
  assert.ok(await clock.runUntil(fixture.submit(JOB_ID, [step]), 1_000));
  await clock.advance(FAILS_AFTER_MS + 2 * LIMIT_MS);
  runners.advanceAll();
  await fixture.stop();
  return fixture;
}

// Guards against LOST: the wait for a start that a successor of the lost runner
// may carry out was that of a longer lease than runners grant.
describe("a restart whose runner is lost", () => {
  describe("and that never arrives", () => {
    it("is placed on another runner in time", async () => {
      const { runners } = await loseRestart({});
      const [failed, restarted] = runners.spans;
      assert.is(failed?.how, "failed");
      assert.is(restarted?.how, "runs");
      const idleMs = (restarted?.fromMs ?? Infinity) - (failed?.toMs ?? 0);
      assert.ok(idleMs <= LIMIT_MS, `no run for ${idleMs} ms`);
    });
  });

  // Guards against TWICE: a start arrives at the last moment, and the lease that
  // it gets is measured on a slow clock.
  describe("and that a successor carries out late", () => {
    for (const arrivesAfterMs of [0, TIMEOUT_MS, ARRIVAL_MS - 10]) {
      it(`runs never twice, ${arrivesAfterMs} ms after it was sent`, async () => {
        const { runners } = await loseRestart({
          arrivesAfterMs,
          clockDriftPercent: SLOW_PERCENT,
        });
        const hows = runners.spans.map(({ how }) => how);
        assert.equal(hows, ["failed", "lapsed", "runs"]);
        checkNeverTwice(runners.spans);
      });
    }
  });

  describe("where runners grant longer leases", () => {
    it("waits for them", async () => {
      const bounds = { ...DEFAULT_RUNNER_BOUNDS, maxLeaseMs: 12_000 };
      const { runners } = await loseRestart({
        arrivesAfterMs: TIMEOUT_MS,
        bounds,
      });
      const [, lapsed] = runners.spans;
      assert.is(lapsed?.how, "lapsed");
      checkNeverTwice(runners.spans);
    });
  });
});
