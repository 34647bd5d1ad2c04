import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_441;
const ANNOUNCE_MS = 1_600;
const WORK_MS = 600;
const RUN_MS = 2_000;

/** Lets the only runner drain, leave and start again under its id. */
async function restartRunner(): Promise<
  { fixture: SchedulingFixture; firstBornAtMs: number }
> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
  });
  fixture.changeLeader();
  await fixture.clock.advance(ANNOUNCE_MS);
  const firstBornAtMs = findBornAtMs(fixture) ?? NaN;
  await fixture.clock.runUntil(fixture.drain("r1"), ANNOUNCE_MS);
  fixture.leave("r1");
  fixture.startRunner("r1");
  await fixture.clock.advance(2 * ANNOUNCE_MS);
  assert.ok((findBornAtMs(fixture) ?? 0) > firstBornAtMs, "it is back");
  return { fixture, firstBornAtMs };
}

function findBornAtMs({ state }: SchedulingFixture): number | undefined {
  return state.scheduling.runners.get("r1")?.bornAtMs;
}

/** Submits a job and returns how its run has ended. */
async function runJob(fixture: SchedulingFixture): Promise<string | undefined> {
  const step = { taskCount: 1, needs: {}, estimateMs: WORK_MS };
  void fixture.submit("0".repeat(16), [v.parse(jobStepSchema, step)]);
  await fixture.clock.advance(RUN_MS);
  fixture.runners.advanceAll();
  return fixture.runners.spans.at(-1)?.how;
}

describe("a late departure of a runner that has started again", () => {
  // Guards against a runner that gets no work for the rest of a term: a copy of
  // its departure had waited at a suspended controller.
  for (const hasStartTime of [true, false]) {
    const title = hasStartTime ? "with" : "without";

    it(`${title} a start time leaves the new incarnation in use`, async () => {
      const { fixture, firstBornAtMs } = await restartRunner();
      fixture.depart({
        runnerId: "r1",
        ...(hasStartTime ? { bornAtMs: firstBornAtMs } : {}),
      });
      assert.is(await runJob(fixture), "done");
      await fixture.stop();
    });
  }

  describe("whose new incarnation departs as well", () => {
    for (const hasStartTime of [true, false]) {
      const title = hasStartTime ? "with" : "without";

      it(`${title} a start time is followed by no work there`, async () => {
        const { fixture } = await restartRunner();
        const bornAtMs = findBornAtMs(fixture) ?? NaN;
        await fixture.clock.runUntil(fixture.drain("r1"), ANNOUNCE_MS);
        fixture.depart({
          runnerId: "r1",
          ...(hasStartTime ? { bornAtMs } : {}),
        });
        assert.is(await runJob(fixture), undefined);
        await fixture.stop();
      });
    }
  });
});
