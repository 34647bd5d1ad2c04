import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingWorld } from "../../testing/scheduling_world.ts";

const SEED = 20_272;
const ARRIVAL_MS = 40;
const WORK_MS = 400;
const PLAY_COUNT = 60;
const ANNOUNCE_MS = 200;
/** Starts that were placed before the announcement was in the log. */
const ON_THEIR_WAY_MS = 60;

// Pattern: short jobs keep coming while a runner is shut down in an orderly way.
describe("steady arrivals while a runner drains", () => {
  let jobCount = 0;

  async function play(world: SchedulingWorld, count: number): Promise<void> {
    for (let at = 0; at < count; at += 1) {
      jobCount += 1;
      const steps = [v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 500 },
        estimateMs: WORK_MS,
      })];
      void world.submit(String(jobCount).padStart(16, "0"), steps);
      await world.clock.advance(ARRIVAL_MS);
    }
  }

  async function drainUnderLoad(world: SchedulingWorld): Promise<number> {
    world.changeLeader();
    await world.clock.advance(2_000);
    await play(world, PLAY_COUNT);
    const isTaken = await world.clock.runUntil(
      world.drain("r1"),
      ANNOUNCE_MS,
    );
    assert.ok(isTaken, "the leader took note");
    return world.clock.monotonicMs();
  }

  function listStartsOn(world: SchedulingWorld, runnerId: string) {
    return world.runners.spans.filter((span) => span.runnerId === runnerId);
  }

  function createWorld(): SchedulingWorld {
    return new SchedulingWorld({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
  }

  it("starts nothing there any more, and ends what runs", async () => {
    const world = createWorld();
    const drainedAtMs = await drainUnderLoad(world);
    assert.ok(listStartsOn(world, "r1").length > 0, "r1 had work");
    await play(world, PLAY_COUNT);
    await world.stop();
    world.runners.advanceAll();
    const onDraining = listStartsOn(world, "r1");
    const late = onDraining.filter(({ fromMs }) =>
      fromMs > drainedAtMs + ON_THEIR_WAY_MS
    );
    assert.equal(late, []);
    assert.ok(onDraining.every(({ how }) => how === "done"));
    assert.ok(
      listStartsOn(world, "r2").some(({ fromMs }) => fromMs > drainedAtMs),
    );
  });

  it("is heeded by the next leader too", async () => {
    const world = createWorld();
    const drainedAtMs = await drainUnderLoad(world);
    world.changeLeader();
    await play(world, PLAY_COUNT);
    await world.stop();
    const late = listStartsOn(world, "r1").filter(({ fromMs }) =>
      fromMs > drainedAtMs + ON_THEIR_WAY_MS
    );
    assert.equal(late, []);
  });
});
