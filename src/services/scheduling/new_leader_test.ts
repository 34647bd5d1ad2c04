import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_326;
const RUNNER_COUNT = 300;
/** Number of runners with work before the leader changes. */
const BUSY_COUNT = 10;
const WAITING_COUNT = 20;
/** Each task fills one runner. */
const NEEDS = { cpuMillicores: 8_000 };
const BUSY_JOB_ID = "0000000000000001";
const WAITING_JOB_ID = "0000000000000002";
const RUN_MS = 20_000;
/** Longest time until work begins in a test, in milliseconds. */
const MAX_MS = 5_000;
/** Time until a slow runner answers a poll (ms): within the timeout. */
const SLOW_MS = 600;
const SLOW_RUNNER_ID = `r${RUNNER_COUNT - 1}`;

interface SentPoll {
  readonly runnerId: string;
  /** Whether the log placed work on the runner. */
  readonly hasWork: boolean;
}

function createSteps(taskCount: number) {
  return [
    v.parse(jobStepSchema, { taskCount, needs: NEEDS, estimateMs: RUN_MS }),
  ];
}

/** Lets tasks wait for the next leader beside many runners without work. */
async function setUpWaitingWork() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: Array.from({ length: RUNNER_COUNT }, (_, at) => `r${at}`),
  });
  const { clock, commits, runners, state: { scheduling: { jobs } } } = fixture;
  fixture.changeLeader();
  await clock.advance(2_000);
  void fixture.submit(BUSY_JOB_ID, createSteps(BUSY_COUNT));
  await clock.advance(2_000);
  assert.is(runners.spans.length, BUSY_COUNT);
  const submitted = fixture.submit(WAITING_JOB_ID, createSteps(WAITING_COUNT));
  await clock.runUntil(submitted, MAX_MS);
  commits.pause();
  await clock.advance(10);
  const countPlaced = () =>
    jobs.find(WAITING_JOB_ID)?.occurrences[0]?.[0]?.tasks
      .filter(({ state }) => state !== "waiting").length;
  assert.is(countPlaced(), 0);
  const changeLeader = () => {
    fixture.changeLeader();
    commits.resume();
  };
  return { changeLeader, countPlaced, fixture };
}

/** Records the polls from now on. */
function recordPolls({ runners, state }: SchedulingFixture): SentPoll[] {
  const { scheduling } = state;
  const polls: SentPoll[] = [];
  const poll = runners.poll.bind(runners);
  runners.poll = async (runner, request) => {
    const { runnerId } = runner;
    const known = scheduling.runners.get(runnerId);
    const hasWork = known !== undefined &&
      scheduling.jobs.findLoad(known).running.size > 0;
    polls.push({ runnerId, hasWork });
    return await poll(runner, request);
  };
  return polls;
}

/** Delays the answers to polls of some runners from now on. */
function delayAnswers(
  { clock, runners }: SchedulingFixture,
  isSlow: (runnerId: string) => boolean,
): void {
  const poll = runners.poll.bind(runners);
  runners.poll = async (runner, request) => {
    const polled = await poll(runner, request);
    if (isSlow(runner.runnerId)) {
      await clock.sleep(SLOW_MS);
    }
    return polled;
  };
}

async function advanceUntil(
  clock: FakeClock,
  isMet: () => boolean,
  maxMs: number,
): Promise<void> {
  const endMs = clock.nowMs() + maxMs;
  while (!isMet() && clock.nowMs() < endMs) {
    await clock.advance(1);
  }
}

describe("a new leader of many runners", () => {
  // Guards against a term that begins with requests to the whole fleet, which
  // take the processor time that the first plans need.
  it("polls no runner without work before the waiting work begins", async () => {
    const { changeLeader, fixture } = await setUpWaitingWork();
    const { clock, runners } = fixture;
    const polls = recordPolls(fixture);
    changeLeader();
    const count = BUSY_COUNT + WAITING_COUNT;
    await advanceUntil(clock, () => runners.spans.length === count, MAX_MS);
    assert.is(runners.spans.length, count);
    const needless = polls.filter(({ hasWork }) => !hasWork);
    await fixture.stop();
    assert.is(needless.length, 0);
  });

  // Guards against work that waits for answers of runners that the log shows to
  // be free.
  it("places the waiting work before any runner has answered", async () => {
    const { changeLeader, countPlaced, fixture } = await setUpWaitingWork();
    delayAnswers(fixture, () => true);
    changeLeader();
    await fixture.clock.advance(SLOW_MS);
    const placedCount = countPlaced();
    await fixture.stop();
    assert.is(placedCount, WAITING_COUNT);
  });

  // Guards against a term whose first plans wait for the slowest runner.
  it("begins work elsewhere while one runner answers slowly", async () => {
    const { changeLeader, fixture } = await setUpWaitingWork();
    const { clock, runners } = fixture;
    delayAnswers(fixture, (runnerId) => runnerId === SLOW_RUNNER_ID);
    changeLeader();
    await clock.advance(SLOW_MS);
    const begun = runners.spans.filter(({ runnerId }) =>
      runnerId !== SLOW_RUNNER_ID
    );
    await fixture.stop();
    assert.ok(begun.length >= BUSY_COUNT + WAITING_COUNT - 1);
  });
});
