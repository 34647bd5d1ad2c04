import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import {
  CONFIRM_TICK_MS,
  LEASE_SLACK_MS,
  MAX_CLOCK_DRIFT,
  REQUEST_RETRY_MS,
  RUN_LEASE_MS,
} from "./timing.ts";

const SEED = 20_277;
/** Longer than any lease lasts, in milliseconds. */
const BEYOND_LEASE_MS = 10_000;
/** Time for the commits, a plan and the start on another runner (ms). */
const RESTART_MS = 300;
/** One lease on a slow clock, a retry and the start elsewhere (ms). */
const MAX_REPLACEMENT_MS = RUN_LEASE_MS / (1 - MAX_CLOCK_DRIFT) +
  LEASE_SLACK_MS + REQUEST_RETRY_MS + RESTART_MS;
/** Time in which a start is confirmed, and the log shows it (ms). */
const CONFIRM_MS = 2 * CONFIRM_TICK_MS;

const LONG_RUNNING = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: { cpuMillicores: 1_000 },
  isEndless: true,
});

/** Starts a leader and a runner that runs one task. */
async function startRunningTask() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
  });
  const { clock, runners: { spans } } = fixture;
  fixture.changeLeader();
  await clock.advance(100);
  void fixture.submit("0".repeat(16), [LONG_RUNNING]);
  while (spans.length === 0) {
    await clock.advance(1);
  }
  return fixture;
}

/** Places a second task on the runner, whose start request is lost. */
async function loseStart({ clock, state, ...fixture }: SchedulingFixture) {
  const { jobs, runners } = state.scheduling;
  const [runner] = runners.values();
  assert.ok(runner);
  while (jobs.findLoad(runner).running.size < 2) {
    await clock.advance(1);
  }
  fixture.runners.cutIds.add("r1");
}

/** Lists the tasks that began on another runner by the number of their job. */
function listReplaced({ runners: { spans } }: SchedulingFixture): string[] {
  return spans.filter(({ runnerId }) => runnerId === "r2").map(({ task }) =>
    task.charAt(0)
  );
}

describe("a runner that stops responding when the leader changes", () => {
  // Guards against work that waits for the leases of a successor although the
  // log shows that the runner itself has confirmed the starts.
  it("loses the tasks that it has confirmed once one lease has expired", async () => {
    const fixture = await startRunningTask();
    await fixture.clock.advance(CONFIRM_MS);
    fixture.runners.cutIds.add("r1");
    fixture.changeLeader();
    fixture.startRunner("r2");
    await fixture.clock.advance(MAX_REPLACEMENT_MS);
    assert.equal(listReplaced(fixture), ["0"]);
    fixture.runners.advanceAll();
    checkNeverTwice(fixture.runners.spans);
    await fixture.stop();
  });

  // Guards against all work of a runner waiting for one start that a successor
  // may have carried out.
  it("keeps only those that it has not confirmed", async () => {
    const fixture = await startRunningTask();
    await fixture.clock.advance(CONFIRM_MS);
    void fixture.submit("1".repeat(16), [LONG_RUNNING]);
    await loseStart(fixture);
    fixture.changeLeader();
    fixture.startRunner("r2");
    await fixture.clock.advance(MAX_REPLACEMENT_MS);
    assert.equal(listReplaced(fixture), ["0"]);
    await fixture.clock.advance(BEYOND_LEASE_MS);
    assert.equal(listReplaced(fixture), ["0", "1"]);
    fixture.runners.advanceAll();
    checkNeverTwice(fixture.runners.spans);
    await fixture.stop();
  });

  // Guards against a wait for the leases of a successor that cannot exist.
  it("loses all its tasks after one lease if no process listens", async () => {
    const fixture = await startRunningTask();
    await fixture.clock.advance(CONFIRM_MS);
    void fixture.submit("1".repeat(16), [LONG_RUNNING]);
    await loseStart(fixture);
    fixture.runners.cutIds.clear();
    fixture.crash("r1");
    fixture.changeLeader();
    fixture.startRunner("r2");
    await fixture.clock.advance(MAX_REPLACEMENT_MS);
    assert.equal(listReplaced(fixture).toSorted(), ["0", "1"]);
    await fixture.stop();
  });

  // Guards against a wait for the leases of a successor after the runner itself
  // has answered the next leader.
  it("loses all its tasks after one lease if the next leader had its answer", async () => {
    const fixture = await startRunningTask();
    fixture.changeLeader();
    await fixture.clock.advance(CONFIRM_TICK_MS / 2);
    fixture.runners.cutIds.add("r1");
    fixture.startRunner("r2");
    await fixture.clock.advance(MAX_REPLACEMENT_MS);
    assert.equal(listReplaced(fixture), ["0"]);
    fixture.runners.advanceAll();
    checkNeverTwice(fixture.runners.spans);
    await fixture.stop();
  });

  // Guards against a task that is lost for good: the runner is reached again
  // after the ends of some of its runs were recorded.
  it("runs its unconfirmed tasks once it responds again", async () => {
    const fixture = await startRunningTask();
    await fixture.clock.advance(CONFIRM_MS);
    void fixture.submit("1".repeat(16), [LONG_RUNNING]);
    await loseStart(fixture);
    fixture.changeLeader();
    fixture.startRunner("r2");
    await fixture.clock.advance(MAX_REPLACEMENT_MS);
    fixture.runners.cutIds.clear();
    await fixture.clock.advance(BEYOND_LEASE_MS);
    fixture.runners.advanceAll();
    checkNeverTwice(fixture.runners.spans);
    const running = fixture.runners.spans.filter(({ how }) => how === "runs");
    assert.equal(
      running.map(({ task, runnerId }) => [task.charAt(0), runnerId])
        .toSorted(),
      [["0", "r2"], ["1", "r1"]],
    );
    await fixture.stop();
  });
});
