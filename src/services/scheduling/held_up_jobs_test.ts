import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  LeastCostOrderPolicy,
  ScoredPlacementPolicy,
  StartPlanner,
} from "../../decisions/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 65;
/** The runners have 8 cores each, so that 16 jobs of this kind run at once. */
const RUNNER_IDS = ["r1", "r2", "r3", "r4"];
const RUNNING_COUNT = 16;
const STEPS = [
  v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 2_000 },
    estimateMs: 1_000,
  }),
];
/** Time in which these jobs should end in the fixture's queue (ms). */
const ALLOWED_MS = 2_200;
const SETTLE_MS = 10_000;

function createIds(prefix: string, count: number): string[] {
  return Array.from(
    { length: count },
    (_, index) => prefix + index.toString(16).padStart(15, "0"),
  );
}

/**
 * Submits jobs to a new leader, first those that waited for it.
 *
 * @param heldCount - Number of jobs that waited.
 * @param waitedMs - Time for which they waited (ms).
 * @returns Times from the requests to the ends (ms), of the jobs that waited and
 * of the new ones, of which there are as many as can run at once.
 */
async function playChangeOfLeader(heldCount: number, waitedMs: number) {
  const clock = new FakeClock();
  const fixture = new SchedulingFixture({
    clock,
    random: new SeededRandom(SEED),
    runnerIds: RUNNER_IDS,
    planner: new StartPlanner({
      order: new LeastCostOrderPolicy(),
      placement: new ScoredPlacementPolicy(),
    }),
  });
  fixture.changeLeader();
  await clock.advance(2_000);
  fixture.changeLeader();
  await clock.advance(100);
  const sentAtMs = clock.nowMs();
  const held = createIds("a", heldCount);
  const fresh = createIds("b", RUNNING_COUNT);
  held.forEach((jobId) => void fixture.submit(jobId, STEPS, { waitedMs }));
  fresh.forEach((jobId) => void fixture.submit(jobId, STEPS));
  await clock.advance(SETTLE_MS);
  await fixture.stop();
  const { jobs } = fixture.state.scheduling;
  const measure = (jobIds: readonly string[], earlierMs: number) =>
    jobIds.map((jobId) =>
      (jobs.find(jobId)?.endedAtMs ?? Infinity) - sentAtMs + earlierMs
    );
  return { held: measure(held, waitedMs), fresh: measure(fresh, 0) };
}

function countInTime(timesMs: readonly number[]): number {
  return timesMs.filter((timeMs) => timeMs <= ALLOWED_MS).length;
}

describe("jobs that waited for a leader", () => {
  // Guards against jobs that look new to the next leader: those that are late
  // anyway take the room of as many that could be in time.
  it("make no later job late if they are late themselves", async () => {
    const { fresh, held } = await playChangeOfLeader(2 * RUNNING_COUNT, 1_500);
    assert.is(countInTime(fresh), RUNNING_COUNT);
    assert.is(countInTime(held), 0);
  });

  it("come before later jobs if they can still be in time", async () => {
    const { fresh, held } = await playChangeOfLeader(RUNNING_COUNT, 900);
    assert.is(countInTime(held), RUNNING_COUNT);
    assert.is(countInTime(fresh), RUNNING_COUNT);
  });

  it("end all the same", async () => {
    const { held } = await playChangeOfLeader(2 * RUNNING_COUNT, 1_500);
    assert.ok(held.every((timeMs) => timeMs < SETTLE_MS));
  });
});
