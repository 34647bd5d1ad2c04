import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import type { RunnerFailure, RunnerReport } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_413;
const ARRIVAL_MS = 60;
const WORK_MS = 2_500;
const JOB_COUNT = 60;
/** Every which poll gets the answer to an earlier one. */
const REPEAT_INTERVAL = 3;

/** Lets some polls get the answer to the poll before. */
function repeatAnswers({ runners }: SchedulingFixture): () => number {
  let pollCount = 0;
  let repeatedCount = 0;
  const lastByRunner = new Map<string, Result<RunnerReport, RunnerFailure>>();
  const poll = runners.poll.bind(runners);
  runners.poll = async (runner, request) => {
    const last = lastByRunner.get(runner.runnerId);
    const polled = await poll(runner, request);
    lastByRunner.set(runner.runnerId, polled);
    pollCount += 1;
    if (last === undefined || pollCount % REPEAT_INTERVAL !== 0) {
      return polled;
    }
    repeatedCount += 1;
    return last;
  };
  return () => repeatedCount;
}

describe("a runner that answers a poll twice", () => {
  // Guards against a task that runs twice at once: the second answer counted as
  // that to a later poll, and a run that had started since as lost.
  it("loses no run that has started since its first answer", async () => {
    await runJobs();
  });
});

async function runJobs(): Promise<void> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2"],
  });
  const { clock, runners } = fixture;
  const countRepeated = repeatAnswers(fixture);
  fixture.changeLeader();
  await clock.advance(2_000);
  const step = v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 100 },
    estimateMs: WORK_MS,
  });
  for (let count = 0; count < JOB_COUNT; count += 1) {
    void fixture.submit(String(count).padStart(16, "0"), [step]);
    await clock.advance(ARRIVAL_MS);
  }
  await clock.advance(2 * WORK_MS);
  runners.advanceAll();
  await fixture.stop();
  assert.ok(countRepeated() > 0, "some answers were repeated");
  checkNeverTwice(runners.spans);
  assert.is(runners.spans.length, JOB_COUNT);
  assert.ok(runners.spans.every(({ how }) => how === "done"));
}
