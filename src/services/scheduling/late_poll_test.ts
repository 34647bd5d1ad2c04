import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_511;
const WORK_MS = 300;
const STEP = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: {},
  estimateMs: WORK_MS,
});
const RUNNER_ID = "r1";

function setUp() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: [RUNNER_ID],
  });
  const { clock, runners } = fixture;
  const poll = runners.poll.bind(runners);
  /** Carries out the poll that the runner holds back. */
  let carryOut: (() => void) | undefined;
  let holds = false;
  runners.poll = async (runner, request) => {
    if (!holds || carryOut !== undefined || request.ackPosition === 0) {
      return await poll(runner, request);
    }
    carryOut = () => void poll(runner, request);
    await clock.sleep(request.timeoutMs);
    return Result.err({ message: "no answer" });
  };
  return {
    fixture,
    holdNextAck: () => {
      holds = true;
    },
    carryOut: () => carryOut?.(),
  };
}

async function waitUntil(
  { clock }: SchedulingFixture,
  isMet: () => boolean,
): Promise<void> {
  for (let waitedMs = 0; !isMet() && waitedMs < 10_000; waitedMs += 1) {
    await clock.advance(1);
  }
  assert.ok(isMet());
}

describe("a poll that a successor of the runner carries out late", () => {
  // Guards against a task that begins again after it was done: the position up
  // to which ends may be deleted was meant for the previous incarnation, and
  // the successor deleted an end that the leader had not read.
  it("deletes no ended runs of the successor", async () => {
    const { fixture, holdNextAck, carryOut } = setUp();
    const { clock, commits, runners, state: { scheduling } } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    void fixture.submit("0".repeat(16), [STEP]);
    await waitUntil(fixture, () => runners.spans.length === 1);
    await clock.advance(WORK_MS / 2);
    commits.pause();
    await clock.advance(WORK_MS);
    fixture.startRunner(RUNNER_ID);
    const { bornAtMs = 0 } = scheduling.runners.get(RUNNER_ID) ?? {};
    holdNextAck();
    commits.resume();
    await waitUntil(fixture, () => {
      const runner = scheduling.runners.get(RUNNER_ID);
      return runner !== undefined && runner.bornAtMs > bornAtMs;
    });
    void fixture.submit("1".repeat(16), [STEP]);
    await waitUntil(fixture, () => runners.spans.length === 2);
    await clock.advance(WORK_MS / 2);
    runners.cutIds.add(RUNNER_ID);
    await clock.advance(WORK_MS);
    runners.cutIds.delete(RUNNER_ID);
    carryOut();
    await clock.advance(10_000);
    runners.advanceAll();
    checkNeverTwice(runners.spans);
    assert.equal(runners.spans.map(({ how }) => how), ["done", "done"]);
    await fixture.stop();
  });
});
