import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { FakeVms } from "../../testing/fake_vms.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_481;
const VM_NAMES = ["r1", "r2", "r3", "r4"];
const MAX_WAIT_MS = 60_000;
/** Time until an order takes effect while the platform is slow (ms). */
const SLOW_ORDER_MS = 250;
/** Time until the platform has answered such an order (ms). */
const ANSWERED_MS = 2 * SLOW_ORDER_MS;
/** Time in which another VM takes the place of a refused one (ms). */
const TURN_MS = 3_000;
const WAVE = {
  waveId: 1,
  vms: ["r1", "r2", "r3"],
  maxAwayCount: 1,
};

async function startWave(): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  const atMs = fixture.clock.nowMs();
  const completeByMs = atMs + MAX_WAIT_MS;
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", ...WAVE, completeByMs }],
  });
  return fixture;
}

async function waitUntil(
  { clock }: SchedulingFixture,
  isMet: () => boolean,
): Promise<void> {
  for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && !isMet(); waitedMs += 10) {
    await clock.advance(10);
  }
  assert.ok(isMet(), "what the test waits for comes about");
}

function isDone({ state }: SchedulingFixture): boolean {
  const { progress = {} } = state.scheduling.waves.get(WAVE.waveId) ?? {};
  return WAVE.vms.every((vm) => progress[vm] === "done");
}

function findOrdered({ state }: SchedulingFixture): string[] {
  const { progress = {} } = state.scheduling.waves.get(WAVE.waveId) ?? {};
  return WAVE.vms.filter((vm) => progress[vm] === "ordered");
}

function findMostAway(vms: FakeVms): number {
  return Math.max(
    ...vms.startedMaintenances.map(({ atMs }) =>
      vms.startedMaintenances.filter((other) =>
        other.atMs <= atMs && other.toMs > atMs
      ).length
    ),
  );
}

describe("a wave with a refused order", () => {
  // Guards against more VMs in maintenance than a wave allows: the next leader
  // sent the refused order again beside that of the VM that had taken its place.
  it("keeps its limit under the next leader", async () => {
    const fixture = await startWave();
    const { clock, vms } = fixture;
    assert.ok(vms);
    vms.latencyMs = SLOW_ORDER_MS;
    await waitUntil(fixture, () => vms.requests.length > 0);
    const [refused = ""] = findOrdered(fixture);
    vms.downVms.add(refused);
    fixture.crash(refused);
    await clock.advance(ANSWERED_MS);
    for (
      let waitedMs = 0;
      waitedMs < TURN_MS && vms.startedMaintenances.length === 0;
      waitedMs += 10
    ) {
      await clock.advance(10);
    }
    vms.latencyMs = 5;
    vms.downVms.delete(refused);
    fixture.startRunner(refused);
    fixture.changeLeader();
    await waitUntil(fixture, () => isDone(fixture));
    await fixture.stop();
    assert.is(findMostAway(vms), WAVE.maxAwayCount);
  });
});
