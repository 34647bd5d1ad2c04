import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  type BatchIntervalPolicy,
  FixedBatchIntervalPolicy,
  LoadBatchIntervalPolicy,
} from "../../decisions/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_420;
const ARRIVAL_MS = 40;
const JOB_COUNT = 150;
const WORK_MS = 400;
/** Time in which the last jobs end. */
const REST_MS = 3_000;

interface Load {
  readonly pollCount: number;
  readonly endCount: number;
  readonly commitCount: number;
}

async function playArrivals(batching: BatchIntervalPolicy): Promise<Load> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
    batching,
  });
  const { clock, metrics, runners, state } = fixture;
  fixture.changeLeader();
  await clock.advance(2_000);
  let pollCount = 0;
  const poll = runners.poll.bind(runners);
  runners.poll = (...request) => {
    pollCount += 1;
    return poll(...request);
  };
  const startCommitCount = metrics.commits.length;
  const steps = [v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 100 },
    estimateMs: WORK_MS,
  })];
  for (let at = 1; at <= JOB_COUNT; at += 1) {
    void fixture.submit(String(at).padStart(16, "0"), steps);
    await clock.advance(ARRIVAL_MS);
  }
  await clock.advance(REST_MS);
  const jobs = state.scheduling.jobs.list();
  const endCount = jobs.filter(({ outcome }) => outcome === "completed").length;
  const commitCount = metrics.commits.length - startCommitCount;
  await fixture.stop();
  return { pollCount, endCount, commitCount };
}

// The pattern: tasks end one after the other at a steady rate, faster than a
// busy leader can poll for each of them.
describe("steady arrivals at a leader that is short of processor time", () => {
  // Guards against a leader that polls for each single end while it falls
  // behind, so that callers wait for seconds although there is capacity.
  it("are handled with half of the polls and fewer commits", async () => {
    const usual = await playArrivals(new FixedBatchIntervalPolicy());
    const busy = await playArrivals(
      new LoadBatchIntervalPolicy({ activeShare: 1 }),
    );
    assert.is(usual.endCount, JOB_COUNT);
    assert.is(busy.endCount, JOB_COUNT);
    assert.ok(
      busy.pollCount <= usual.pollCount / 2,
      `${busy.pollCount} polls instead of ${usual.pollCount}`,
    );
    assert.ok(
      busy.commitCount < usual.commitCount,
      `${busy.commitCount} commits instead of ${usual.commitCount}`,
    );
  });

  it("are handled as before while the leader is hardly busy", async () => {
    const usual = await playArrivals(new FixedBatchIntervalPolicy());
    const idle = await playArrivals(
      new LoadBatchIntervalPolicy({ activeShare: 0.3 }),
    );
    assert.equal(idle, usual);
  });
});
