import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { RunSpan } from "../../testing/fake_runner_incarnation.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_275;
/** Longer than any lease lasts, in milliseconds. */
const BEYOND_LEASE_MS = 10_000;
const WORK_MS = 8_000;
const LONG_MS = 60_000;

interface RunnerFault {
  /** How long the runner lives before the start (ms). */
  readonly livedMs?: number;
  /**
   * What the leader hears of the successor before the runner no longer answers:
   * everything, though it cannot record it, or its answer to the start alone, or
   * nothing.
   */
  readonly heard?: "all" | "startAnswer" | "nothing";
  /** Whether the leader changes once the runner no longer answers. */
  readonly changesLeader: boolean;
}

/** Lets a run begin at a successor that answers no request after that. */
async function runAtSuccessor(
  { changesLeader, heard = "all", livedMs = BEYOND_LEASE_MS }: RunnerFault,
): Promise<readonly RunSpan[]> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2"],
  });
  const { clock, commits, runners, state: { scheduling } } = fixture;
  const findBusyRunner = () =>
    [...scheduling.runners.values()].find((runner) =>
      scheduling.jobs.findLoad(runner).running.size > 0
    );
  fixture.changeLeader();
  await clock.advance(livedMs);
  const step = { taskCount: 1, needs: {}, estimateMs: WORK_MS };
  void fixture.submit("0".repeat(16), [v.parse(jobStepSchema, step)]);
  while (findBusyRunner() === undefined) {
    await clock.advance(1);
  }
  const { runnerId = "" } = findBusyRunner() ?? {};
  fixture.startRunner(runnerId);
  if (heard === "all") {
    commits.pause();
    await clock.advance(1_000);
  } else {
    runners.lostPercent = heard === "nothing" ? 100 : 0;
    runners.pollAnswerDelayMs = LONG_MS;
    while (runners.spans.length === 0) {
      await clock.advance(1);
    }
  }
  runners.cutIds.add(runnerId);
  runners.lostPercent = 0;
  runners.pollAnswerDelayMs = 0;
  if (changesLeader) {
    fixture.changeLeader();
  }
  commits.resume();
  await clock.advance(2 * BEYOND_LEASE_MS);
  runners.advanceAll();
  await fixture.stop();
  assert.is(runners.spans[0]?.runnerId, runnerId, "its successor ran the task");
  return runners.spans;
}

/**
 * Lets the VM of a busy runner lose its power, so that a start waits for a
 * connection and begins at the successor, which is cut off right after that.
 *
 * @param sinceAnswerMs - Time from the answer to a poll to the loss (ms).
 * @param changesLeader - Whether the leader changes after the cut.
 */
async function runAfterPowerLoss(
  sinceAnswerMs: number,
  changesLeader: boolean,
): Promise<readonly RunSpan[]> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
  });
  const { clock, runners } = fixture;
  const submitLong = (jobId: string) =>
    void fixture.submit(jobId.padStart(16, "0"), [
      v.parse(jobStepSchema, { taskCount: 1, needs: {}, isEndless: true }),
    ]);
  fixture.changeLeader();
  await clock.advance(BEYOND_LEASE_MS);
  submitLong("1");
  await clock.advance(2_000);
  let answerCount = 0;
  const poll = runners.poll.bind(runners);
  runners.poll = async (...request) => {
    const answer = await poll(...request);
    answerCount += 1;
    return answer;
  };
  while (answerCount === 0) {
    await clock.advance(1);
  }
  await clock.advance(sinceAnswerMs);
  runners.darkIds.add("r1");
  submitLong("2");
  await clock.advance(100);
  fixture.startRunner("r1");
  fixture.startRunner("r2");
  const before = runners.spans.length;
  runners.darkIds.delete("r1");
  while (runners.spans.length === before) {
    await clock.advance(1);
  }
  runners.cutIds.add("r1");
  if (changesLeader) {
    fixture.changeLeader();
  }
  await clock.advance(4 * BEYOND_LEASE_MS);
  runners.advanceAll();
  await fixture.stop();
  return runners.spans;
}

describe("a runner that is replaced by a new incarnation", () => {
  // Guards against a task that runs twice at once: a poll that was under way, or
  // an answer that had just arrived, counted as a sign that the previous
  // incarnation was there, although its VM had lost its power and a start reached
  // the successor.
  for (const sinceAnswerMs of [20, 300]) {
    for (const changesLeader of [false, true]) {
      const title = changesLeader ? "the next leader" : "the same leader";
      it(`keeps its tasks under ${title} if a start waited for power, ${sinceAnswerMs} ms after an answer`, async () => {
        const spans = await runAfterPowerLoss(sinceAnswerMs, changesLeader);
        checkNeverTwice(spans);
        const last = spans.filter(({ how }) => how === "runs");
        assert.equal(last.map(({ runnerId }) => runnerId), ["r2", "r2"]);
      });
    }
  }

  // Guards against a task that runs twice at once: a start for the previous
  // incarnation was carried out by its successor, where its lease lasts longer,
  // and the leader waited only for the lease on the previous clock.
  it("keeps its tasks until its successor cannot run them any more", async () => {
    const spans = await runAtSuccessor({ changesLeader: false });
    assert.equal(spans.map(({ how }) => how), ["lapsed", "done"]);
    checkNeverTwice(spans);
  });

  // Guards against a task that runs twice at once: the next leader does not know
  // of the successor and waits only for the lease on the previous clock.
  it("keeps its tasks as long under the next leader", async () => {
    const spans = await runAtSuccessor({ changesLeader: true });
    assert.equal(spans.map(({ how }) => how), ["lapsed", "done"]);
    checkNeverTwice(spans);
  });

  // Guards against a task that runs twice at once: no answer of the successor
  // had arrived when the leader changed.
  it("keeps its tasks under the next leader if nobody noticed the successor", async () => {
    const spans = await runAtSuccessor({
      changesLeader: true,
      heard: "nothing",
    });
    assert.equal(spans.map(({ how }) => how), ["lapsed", "done"]);
    checkNeverTwice(spans);
  });

  // Guards against a task that runs twice at once: no answer of the successor
  // had arrived when it was cut off, and the leader stayed.
  it("keeps its tasks under the same leader if nobody noticed the successor", async () => {
    const spans = await runAtSuccessor({
      changesLeader: false,
      heard: "nothing",
    });
    assert.equal(spans.map(({ how }) => how), ["lapsed", "done"]);
    checkNeverTwice(spans);
  });

  // Guards against a task that runs twice at once: the previous incarnation was
  // so young that the answer of its successor was taken for its own.
  for (const livedMs of [1_600, BEYOND_LEASE_MS]) {
    it(`keeps its tasks if its successor answered only the start, at the age of ${livedMs} ms`, async () => {
      const spans = await runAtSuccessor({
        changesLeader: false,
        heard: "startAnswer",
        livedMs,
      });
      checkNeverTwice(spans);
    });
  }
});
