import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_482;
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5"];
const WAVE = {
  waveId: 1,
  vms: ["r1", "r2", "r3"],
  maxAwayCount: 1,
};
const WAVE_MS = 60_000;
const JOB_INTERVAL_MS = 50;
/** Time after the first VM went down in which the others are looked at (ms). */
const LOOK_MS = 1_900;
/** Longest time from a cordon to the last start that was planned before (ms). */
const SETTLE_MS = 900;
const STEP = v.parse(jobStepSchema, {
  taskCount: 8,
  needs: { cpuMillicores: 1_000 },
  estimateMs: 200,
});

/** Returns the fixture while the first VM of the wave is in maintenance. */
async function runUntilFirstIsDown(): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", ...WAVE, completeByMs: atMs + WAVE_MS }],
  });
  let jobCount = 0;
  const first = () => fixture.vms?.startedMaintenances[0];
  for (
    let sinceMs = 0;
    first() === undefined || sinceMs < LOOK_MS;
    sinceMs += first() === undefined ? 0 : JOB_INTERVAL_MS
  ) {
    jobCount += 1;
    assert.ok(jobCount < 1_000, "a VM goes down");
    void fixture.submit(String(jobCount).padStart(16, "0"), [STEP]);
    await fixture.clock.advance(JOB_INTERVAL_MS);
  }
  return fixture;
}

describe("cordons of a wave", () => {
  // Guards against waves that are late, and against lost work: while as many VMs
  // were in maintenance as the wave allows, no other VM of it became empty.
  it("empty the next VM while the limit is reached", async () => {
    const { runners, vms } = await runUntilFirstIsDown();
    const [first] = vms?.startedMaintenances ?? [];
    assert.ok(first);
    const waiting = WAVE.vms.filter((vm) => vm !== first.vm);
    const empty = waiting.filter((vm) =>
      !runners.spans.some(({ fromMs, runnerId }) =>
        runnerId === vm && fromMs > first.atMs + SETTLE_MS
      )
    );
    assert.is(empty.length, 1, "one VM gets no new work before its turn");
  });
});
