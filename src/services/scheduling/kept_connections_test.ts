import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { MAX_READING_AGE_MS } from "./timing.ts";

const SEED = 20_431;

async function setUp() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2"],
  });
  const closedIds: string[] = [];
  fixture.runners.disconnect = ({ runnerId }) => {
    closedIds.push(runnerId);
  };
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  return { closedIds, fixture };
}

describe("connections to a runner", () => {
  // Guards against a deposed leader that closes the connections over which the
  // next one sends its first requests: relays are shared by all leaders.
  it("stay open when the leader changes", async () => {
    const { closedIds, fixture } = await setUp();
    fixture.changeLeader();
    await fixture.clock.advance(4_000);
    assert.equal(closedIds, []);
    await fixture.stop();
  });

  // Guards against requests to a new incarnation that fail with the connections
  // of the previous one.
  it("stay open when the runner starts again at its address", async () => {
    const { closedIds, fixture } = await setUp();
    fixture.startRunner("r1");
    await fixture.clock.advance(4_000);
    assert.equal(closedIds, []);
    await fixture.stop();
  });

  it("are closed when the runner is gone", async () => {
    const { closedIds, fixture } = await setUp();
    fixture.crash("r1");
    await fixture.clock.advance(MAX_READING_AGE_MS + 10_000);
    assert.equal(closedIds, ["r1"]);
    await fixture.stop();
  });
});
