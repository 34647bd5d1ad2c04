import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { RunSpan } from "../../testing/fake_runner_incarnation.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { CONFIRM_TICK_MS, LATE_REQUEST_MS, RUN_LEASE_MS } from "./timing.ts";

const SEED = 20_292;
/** Longer than any lease lasts, in milliseconds. */
const BEYOND_LEASE_MS = 10_000;
const RUNNER = "r1";
/** Time in which a new incarnation announces itself and gets its first run. */
const REPLACEMENT_MS = 2_000;
/** Time after which a request counts as unanswered. */
const TIMEOUT_MS = 700;
/** Time in which a confirmed start is in the log. */
const CONFIRMED_MS = CONFIRM_TICK_MS + 100;

/**
 * Lets a runner start again while a start is on its way, and cuts it off once its
 * successor runs the task by order of a leader that knows it.
 *
 * @param changesLeader - Whether the leader changes then.
 */
async function cutOffSuccessor(
  changesLeader: boolean,
): Promise<readonly RunSpan[]> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: [RUNNER],
  });
  const { clock, runners, state: { scheduling } } = fixture;
  const countRuns = () => {
    const runner = scheduling.runners.get(RUNNER);
    return runner ? scheduling.jobs.findLoad(runner).running.size : 0;
  };
  const submit = (jobId: string) =>
    void fixture.submit(jobId.padStart(16, "0"), [v.parse(jobStepSchema, {
      taskCount: 1,
      needs: {},
      isEndless: true,
    })]);
  fixture.changeLeader();
  await clock.advance(BEYOND_LEASE_MS);
  submit("1");
  while (countRuns() === 0) {
    await clock.advance(1);
  }
  const previous = scheduling.runners.get(RUNNER);
  fixture.startRunner(RUNNER);
  const restartedMs = clock.monotonicMs();
  while (scheduling.runners.get(RUNNER) === previous || countRuns() === 0) {
    await clock.advance(1);
  }
  await clock.advance(CONFIRMED_MS);
  assert.ok(clock.monotonicMs() - restartedMs <= REPLACEMENT_MS);
  fixture.startRunner("r2");
  runners.cutIds.add(RUNNER);
  if (changesLeader) {
    fixture.changeLeader();
  }
  await clock.advance(4 * BEYOND_LEASE_MS);
  runners.advanceAll();
  await fixture.stop();
  const line = fixture.logger.lines.find(({ message }) =>
    message.includes("may have prolonged the leases")
  );
  assert.is(line?.fields["runnerId"], RUNNER);
  return runners.spans;
}

/**
 * Lets a start that waited for a successor reach it when the leader has known it
 * for long, and cuts it off right after that.
 */
async function cutOffAfterLateStart(): Promise<readonly RunSpan[]> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: [RUNNER],
  });
  const { clock, runners } = fixture;
  const submit = (jobId: string) =>
    void fixture.submit(jobId.padStart(16, "0"), [
      v.parse(jobStepSchema, { taskCount: 1, needs: {}, isEndless: true }),
    ]);
  fixture.changeLeader();
  await clock.advance(LATE_REQUEST_MS + BEYOND_LEASE_MS);
  submit("1");
  await clock.advance(REPLACEMENT_MS);
  const start = runners.start.bind(runners);
  const sentAtMs = clock.monotonicMs();
  runners.start = async (...request) => {
    runners.start = start;
    void clock.sleep(LATE_REQUEST_MS).then(() => start(...request));
    await clock.sleep(TIMEOUT_MS);
    return Result.err({ message: "no answer" });
  };
  submit("2");
  await clock.advance(TIMEOUT_MS);
  fixture.startRunner(RUNNER);
  await clock.advance(sentAtMs + LATE_REQUEST_MS + 200 - clock.monotonicMs());
  fixture.startRunner("r2");
  runners.cutIds.add(RUNNER);
  await clock.advance(4 * BEYOND_LEASE_MS);
  runners.advanceAll();
  await fixture.stop();
  return runners.spans;
}

function findLastSpan(spans: readonly RunSpan[], runnerId: string): RunSpan {
  const span = spans.findLast((span) => span.runnerId === runnerId);
  assert.ok(span, `${runnerId} ran the task`);
  return span;
}

// Guards against a task that runs twice at once: a request with a lease on the
// clock of the previous incarnation reaches the successor, where it prolongs the
// leases of all runs, and the successor is cut off.
describe("the leases of a runner that has started again", () => {
  for (const changesLeader of [false, true]) {
    const title = changesLeader ? "the next leader" : "the same leader";
    it(`last as long under ${title} as an earlier request may have made them`, async () => {
      const spans = await cutOffSuccessor(changesLeader);
      const lapsed = findLastSpan(spans, RUNNER);
      assert.is(lapsed.how, "lapsed");
      assert.ok(lapsed.toMs - lapsed.fromMs > RUN_LEASE_MS);
      checkNeverTwice(spans);
      assert.is(findLastSpan(spans, "r2").how, "runs");
    });
  }

  // The same with a request that is refused, as its run was stopped, and that
  // comes as late as a request without an answer may.
  it("last as long as a late request may have made them", async () => {
    const spans = await cutOffAfterLateStart();
    const lapsed = findLastSpan(spans, RUNNER);
    assert.is(lapsed.how, "lapsed");
    checkNeverTwice(spans);
    assert.is(findLastSpan(spans, "r2").how, "runs");
  });
});
