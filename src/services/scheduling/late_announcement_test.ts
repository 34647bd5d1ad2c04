import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { FleetState, type Runner } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { MAX_READING_AGE_MS, RUN_LEASE_MS } from "./timing.ts";

const SEED = 20_412;
const ANNOUNCE_MS = 500;
/** Longer than the maintenance of a VM and the next announcement take. */
const MAINTENANCE_MS = 6_000;

async function setUp(): Promise<{ fixture: SchedulingFixture; known: Runner }> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2"],
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  return { fixture, known: findRunner(fixture) };
}

function findRunner({ state }: SchedulingFixture): Runner {
  const runner = state.scheduling.runners.get("r1");
  assert.ok(runner, "r1 is in use");
  return runner;
}

async function waitUntilRemoved(fixture: SchedulingFixture): Promise<void> {
  const { clock, state: { scheduling } } = fixture;
  for (let at = 0; at < MAX_READING_AGE_MS && scheduling.runners.has("r1");) {
    await clock.advance(10);
    at += 10;
  }
  assert.not(scheduling.runners.has("r1"), "r1 is removed");
}

async function announceAgain(
  fixture: SchedulingFixture,
  runner: Runner,
): Promise<void> {
  const announced = fixture.announce(runner);
  assert.ok(await fixture.clock.runUntil(announced, ANNOUNCE_MS));
}

function beginMaintenance(fixture: SchedulingFixture): void {
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{
      type: "wave",
      waveId: 1,
      vms: ["r1"],
      maxAwayCount: 1,
      completeByMs: atMs + 60_000,
    }],
  });
}

// Guards against a leader that spends its processor time on runners that ended
// long ago: their announcements had waited at a suspended controller and were
// recorded as those of new runners.
describe("a late announcement of a runner that has ended", () => {
  for (const changesLeader of [false, true]) {
    const leader = changesLeader ? "the next leader" : "the same leader";

    it(`on a VM in maintenance is ignored by ${leader}`, async () => {
      const { fixture, known } = await setUp();
      beginMaintenance(fixture);
      await waitUntilRemoved(fixture);
      if (changesLeader) {
        fixture.changeLeader();
        await fixture.clock.advance(50);
      }
      await announceAgain(fixture, known);
      assert.not(fixture.state.scheduling.runners.has("r1"));
      await fixture.clock.advance(MAINTENANCE_MS);
      assert.ok(findRunner(fixture).bornAtMs > known.bornAtMs);
      await fixture.stop();
    });

    it(`after its leave notice is ignored by ${leader}`, async () => {
      const { fixture, known } = await setUp();
      fixture.leave("r1");
      await announceAgain(fixture, { ...known, isDraining: true });
      assert.not(findRunner(fixture).isDraining);
      await fixture.clock.advance(MAX_READING_AGE_MS);
      await waitUntilRemoved(fixture);
      if (changesLeader) {
        fixture.changeLeader();
        await fixture.clock.advance(50);
      }
      await announceAgain(fixture, known);
      assert.not(fixture.state.scheduling.runners.has("r1"));
      await fixture.stop();
    });
  }

  it("is ignored after its successor stopped responding", async () => {
    const { fixture, known } = await setUp();
    fixture.startRunner("r1");
    await fixture.clock.advance(1_600);
    assert.ok(findRunner(fixture).bornAtMs > known.bornAtMs);
    fixture.runners.cutIds.add("r1");
    fixture.changeLeader();
    await fixture.clock.advance(RUN_LEASE_MS);
    await waitUntilRemoved(fixture);
    await announceAgain(fixture, known);
    assert.not(fixture.state.scheduling.runners.has("r1"));
    await fixture.stop();
  });

  it("is ignored by a leader that starts from a snapshot", async () => {
    const { fixture, known } = await setUp();
    beginMaintenance(fixture);
    await waitUntilRemoved(fixture);
    const copy = FleetState.restore(fixture.state.toSnapshot());
    copy.apply({
      type: "scheduling",
      atMs: fixture.clock.nowMs(),
      operations: [{ type: "runner", runner: known }],
    });
    assert.not(copy.scheduling.runners.has("r1"));
    await fixture.stop();
  });
});

describe("an announcement of a runner that may go on", () => {
  // Guards against a sound runner that is shut out: it was only cut off until
  // its leases had expired.
  it("is recorded again after it was cut off", async () => {
    const { fixture, known } = await setUp();
    fixture.runners.cutIds.add("r1");
    fixture.changeLeader();
    await fixture.clock.advance(RUN_LEASE_MS);
    await waitUntilRemoved(fixture);
    fixture.runners.cutIds.delete("r1");
    await announceAgain(fixture, known);
    assert.equal(findRunner(fixture), known);
    await fixture.stop();
  });

  // Guards against a sound runner that is shut out: another writer announced a
  // later start under its id.
  it("is recorded again once it answers in place of an odd one", async () => {
    const { fixture, known } = await setUp();
    const { clock } = fixture;
    const odd = { ...known, bornAtMs: known.bornAtMs + 1_000 };
    await announceAgain(fixture, odd);
    assert.equal(findRunner(fixture), odd);
    await clock.advance(4_000);
    assert.equal(findRunner(fixture), known);
    await fixture.stop();
  });

  // Guards against a sound runner that is shut out: the answer to the order of
  // a maintenance came after the next incarnation's first announcement.
  it("is kept when the maintenance is over before the answer", async () => {
    const { fixture, known } = await setUp();
    const { clock, vms } = fixture;
    assert.ok(vms);
    const begin = vms.beginMaintenance.bind(vms);
    vms.beginMaintenance = async (...order) => {
      const begun = await begin(...order);
      await clock.sleep(MAINTENANCE_MS);
      return begun;
    };
    beginMaintenance(fixture);
    await clock.advance(2 * MAINTENANCE_MS);
    const next = findRunner(fixture);
    assert.ok(next.bornAtMs > known.bornAtMs);
    assert.ok(vms.startedMaintenances.length === 1);
    await fixture.stop();
  });
});
