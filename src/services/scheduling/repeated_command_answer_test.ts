import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import type { RunnerAnswer, RunnerFailure } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_471;
const JOB_ID = "0000000000000001";
const START_MS = 2_000;
/** Time within which a task of a cancelled job must be gone (ms). */
const CANCEL_MS = 3_000;
/** Time for which a start is held up (ms): several polls. */
const HELD_UP_MS = 1_000;

const LONG_RUNNING = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: { cpuMillicores: 1_000 },
  isEndless: true,
});

/** Runs a task and cancels its job. */
async function cancelTask(fixture: SchedulingFixture): Promise<void> {
  const { clock, runners: { spans } } = fixture;
  fixture.changeLeader();
  await clock.advance(START_MS);
  void fixture.submit(JOB_ID, [LONG_RUNNING]);
  await clock.advance(START_MS);
  assert.is(spans.at(-1)?.how, "runs");
  const cancelled = fixture.forward({
    type: "scheduling",
    atMs: clock.nowMs(),
    operations: [{ type: "cancel", jobId: JOB_ID }],
  });
  assert.ok((await clock.runUntil(cancelled, START_MS)).isOk);
  await clock.advance(CANCEL_MS);
}

function createFixture(): SchedulingFixture {
  return new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
  });
}

type Refused = Result<RunnerAnswer, RunnerFailure>;

function refuse(clock: FakeClock): Refused {
  const clockMs = clock.monotonicMs();
  return Result.err({ refusal: "noRoom", clockMs, message: "no room" });
}

/** Keeps the answer to the last start. */
function keepAnswers({ runners }: SchedulingFixture) {
  const kept: Result<RunnerAnswer, RunnerFailure>[] = [];
  const start = runners.start.bind(runners);
  runners.start = async (...request) => {
    const started = await start(...request);
    kept.push(started);
    return started;
  };
  return kept;
}

describe("a runner that answers a request twice", () => {
  describe("stops the task of a cancelled job", () => {
    // Guards against a run that goes on after its job was cancelled: the second
    // answer to its start counted as that to a stop, which the runner refused.
    it("if the answer to its start counts as that to its stop", async () => {
      const fixture = createFixture();
      const { clock, runners } = fixture;
      const answers = keepAnswers(fixture);
      const stop = runners.stop.bind(runners);
      let stopCount = 0;
      runners.stop = async (...request) => {
        stopCount += 1;
        if (stopCount > 1) {
          return await stop(...request);
        }
        await clock.sleep(1);
        return answers.at(-1) ?? Result.err({ message: "no answer" });
      };
      await cancelTask(fixture);
      assert.equal(runners.spans.map(({ how }) => how), ["stopped"]);
      await fixture.stop();
    });

    // Guards against the same where the second answer was that to a refused
    // start, and counted as that to the next one, which was carried out.
    it("if a refusal counts as the answer to its start", async () => {
      const fixture = createFixture();
      const { clock, runners } = fixture;
      const start = runners.start.bind(runners);
      let refused: Refused | undefined;
      runners.start = async (...request) => {
        if (refused === undefined) {
          refused = refuse(clock);
          return refused;
        }
        await start(...request);
        return refused;
      };
      await cancelTask(fixture);
      assert.equal(runners.spans.map(({ how }) => how), ["stopped"]);
      await fixture.stop();
    });
  });

  // Guards against a task that runs twice at once: the second refusal of a start
  // counted as that of the next one, which was held up on its way.
  it("starts no task elsewhere before a start that is held up", async () => {
    const fixture = createFixture();
    const { clock, runners } = fixture;
    const start = runners.start.bind(runners);
    let refused: Refused | undefined;
    let isRepeated = false;
    runners.start = async (...request) => {
      if (refused === undefined) {
        refused = refuse(clock);
        return refused;
      }
      if (isRepeated) {
        return await start(...request);
      }
      isRepeated = true;
      fixture.startRunner("r2");
      void fixture.drain("r1");
      void clock.sleep(HELD_UP_MS).then(() => start(...request));
      await clock.sleep(1);
      return refused;
    };
    fixture.changeLeader();
    await clock.advance(START_MS);
    void fixture.submit(JOB_ID, [LONG_RUNNING]);
    await clock.advance(START_MS + HELD_UP_MS);
    assert.ok(isRepeated);
    runners.advanceAll();
    checkNeverTwice(runners.spans);
    await fixture.stop();
  });
});
