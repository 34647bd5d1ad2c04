import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  CyclicTurnOutlook,
  DemandCapacityPolicy,
  TurnCapacityPolicy,
  TurnForecast,
} from "../../decisions/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import {
  CapacityFixture,
  type CapacityFixtureOptions,
} from "../../testing/capacity_fixture.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { MOVE_MS } from "./timing.ts";

const PERIOD_POOLS = ["bay", "dock", "pier", "yard"];
const POOLS = [
  ...PERIOD_POOLS.map((name) => ({ name, isStandby: false, vmCount: 6 })),
  { name: "reserve", isStandby: true, vmCount: 10 },
];
const TURN_MS = 8_000;
const JOB_INTERVAL_MS = 100;
/** A job each 100 ms keeps 64 cores busy, which 8 VMs have. */
const STEP = v.parse(jobStepSchema, {
  taskCount: 8,
  needs: { cpuMillicores: 1_000 },
  estimateMs: 800,
});
const TURN_VM_COUNT = 8;

const fixtures: CapacityFixture[] = [];

function create(): CapacityFixture {
  const options: CapacityFixtureOptions = {
    pools: POOLS,
    forecast: new TurnForecast(),
    outlook: new CyclicTurnOutlook(),
    policy: new TurnCapacityPolicy({
      base: new DemandCapacityPolicy(),
      moveMs: MOVE_MS,
      movesPerSecond: 48,
    }),
    startsRunners: true,
  };
  const fixture = new CapacityFixture(options);
  fixtures.push(fixture);
  return fixture;
}

/** Plays turns by the clock; the work of a job is done after a second. */
async function play(
  fixture: CapacityFixture,
  durationMs: number,
  onStep: (turn: number, intoMs: number) => void = () => {},
): Promise<void> {
  const { clock } = fixture;
  const waiting: { readonly jobId: string; readonly endMs: number }[] = [];
  const endMs = clock.nowMs() + durationMs;
  while (clock.nowMs() < endMs) {
    const turn = Math.floor(clock.nowMs() / TURN_MS);
    const pool = PERIOD_POOLS[turn % PERIOD_POOLS.length] ?? "";
    const jobId = fixture.accept(pool, [STEP]);
    waiting.push({ jobId, endMs: clock.nowMs() + 1_000 });
    while (waiting[0] !== undefined && waiting[0].endMs <= clock.nowMs()) {
      fixture.cancel(waiting.shift()?.jobId ?? "");
    }
    await clock.advance(JOB_INTERVAL_MS);
    onStep(turn, clock.nowMs() % TURN_MS);
  }
}

function findPool(turn: number): string {
  return PERIOD_POOLS[turn % PERIOD_POOLS.length] ?? "";
}

// The pattern: turns by the clock, one pool after the other, each of which needs
// more VMs than a pool has. Between them a pool has nothing to do.
describe("VMs of pools that take turns by the clock", () => {
  afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.stop()));

  // Guards against VMs that are on all day and still late for each turn.
  it("are there when a turn begins, and most others are off", async () => {
    const fixture = create();
    const starts: number[] = [];
    const onCounts: number[] = [];
    await play(fixture, 10 * TURN_MS, (turn, intoMs) => {
      if (turn < PERIOD_POOLS.length + 1) {
        return;
      }
      onCounts.push(34 - fixture.vms.count("reserve"));
      if (intoMs === JOB_INTERVAL_MS) {
        starts.push(countServing(fixture, findPool(turn)));
      }
    });
    assert.ok(
      starts.every((count) => count >= TURN_VM_COUNT),
      `VMs at the starts: ${starts.join(" ")}`,
    );
    const mean = onCounts.reduce((sum, count) => sum + count, 0) /
      onCounts.length;
    assert.ok(mean < 26, `${mean} VMs are on in the mean, of 34`);
  });

  it("come as well if an order gets no answer or a VM is busy", async () => {
    const fixture = create();
    await play(fixture, 6 * TURN_MS);
    for (let at = 0; at < 3; at += 1) {
      fixture.vms.busy.add(`reserve-${at}`);
      PERIOD_POOLS.forEach((pool) =>
        fixture.vms.unanswered.add(`${pool}-${at}`)
      );
    }
    const starts: number[] = [];
    await play(fixture, 2 * TURN_MS, (turn, intoMs) => {
      if (intoMs === JOB_INTERVAL_MS) {
        starts.push(countServing(fixture, findPool(turn)));
      }
    });
    assert.ok(
      starts.every((count) => count >= TURN_VM_COUNT),
      `VMs at the starts: ${starts.join(" ")}`,
    );
  });
});

function countServing(fixture: CapacityFixture, pool: string): number {
  return [...fixture.agreement.state.scheduling.runners.values()]
    .filter((runner) => runner.pool === pool).length;
}
