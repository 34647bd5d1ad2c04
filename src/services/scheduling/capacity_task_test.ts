import * as assert from "uvu/assert";
import type {
  CapacityPolicy,
  IdleVm,
  PoolLoad,
} from "../../decisions/index.ts";
import {
  CapacityFixture,
  VM_MILLICORES,
} from "../../testing/capacity_fixture.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { CAPACITY_TICK_MS, MAX_LISTING_AGE_MS } from "./timing.ts";

const VM_COUNT = 40;
const POOLS = [
  { name: "bay", isStandby: false, vmCount: VM_COUNT },
  { name: "dock", isStandby: false, vmCount: 0 },
];
const FIRST_VM = "bay-0";
const SECOND_VM = "bay-1";
const NEW_VM = "new";

/** Moves a VM in every plan, the newest first. */
const ALWAYS_MOVES: CapacityPolicy = {
  plan: ({ idle }) =>
    idle.filter(({ pool }) => pool === "bay").slice(-1)
      .map(({ vm, pool }) => ({ vm, from: pool, to: "dock" })),
};

/** Moves no VM, and keeps what it was told. */
class WatchingPolicy implements CapacityPolicy {
  readonly capacities: number[] = [];
  #idle: readonly IdleVm[] = [];

  plan({ idle, pools }: Parameters<CapacityPolicy["plan"]>[0]) {
    this.#idle = idle;
    this.capacities.push(findCapacity(pools));
    return [];
  }

  findIdleMs(name: string): number | undefined {
    return this.#idle.find(({ vm }) => vm === name)?.idleMs;
  }
}

function findCapacity(pools: readonly PoolLoad[]): number {
  return pools.find(({ pool }) => pool === "bay")?.capacityMillicores ?? 0;
}

const fixtures: CapacityFixture[] = [];

function stopAll(): void {
  fixtures.splice(0).forEach((fixture) => fixture.stop());
}

async function setUp(policy: CapacityPolicy, isHeard = true) {
  const fixture = new CapacityFixture({ pools: POOLS, policy, isHeard });
  fixtures.push(fixture);
  await fixture.clock.advance(1_000);
  return fixture;
}

// The pattern: pools take turns, so VMs move in every tick for seconds, and a
// VM that came a moment ago is wanted elsewhere soon.
describe("capacity while VMs move all the time", () => {
  afterEach(stopAll);

  // Guards against a list of VMs that stays old for as long as VMs move.
  it("moves a VM soon after its runner has announced itself", async () => {
    const fixture = await setUp(ALWAYS_MOVES);
    const { agreement, clock, vms } = fixture;
    assert.ok(vms.moves.length > 0);
    vms.add(NEW_VM, "bay");
    fixture.addRunner(NEW_VM, "bay");
    await clock.advance(
      MAX_LISTING_AGE_MS + 2 * (CAPACITY_TICK_MS + agreement.proposeMs),
    );
    assert.ok(vms.moves.some(({ vm }) => vm === NEW_VM));
  });

  it("lists the VMs no more often than their list may be old", async () => {
    const { clock, vms } = await setUp(ALWAYS_MOVES);
    const before = vms.listCount;
    await clock.advance(3 * MAX_LISTING_AGE_MS);
    assert.ok(vms.listCount - before <= 3, `${vms.listCount - before}`);
  });
});

describe("the time for which a runner is idle", () => {
  afterEach(stopAll);

  const IDLE_MS = 10_000;

  const setUpIdle = async () => {
    const policy = new WatchingPolicy();
    const fixture = await setUp(policy);
    await fixture.clock.advance(IDLE_MS);
    assert.ok((policy.findIdleMs(FIRST_VM) ?? 0) >= IDLE_MS);
    return { fixture, policy };
  };

  // Guards against a VM that is moved away again as soon as it has come to a
  // pool: its runner, under the id that it had, counted as idle ever since.
  it("begins anew with its next incarnation", async () => {
    const { fixture, policy } = await setUpIdle();
    fixture.addRunner(FIRST_VM, "bay", 2);
    await fixture.clock.advance(1_000);
    assert.ok((policy.findIdleMs(FIRST_VM) ?? Infinity) <= 1_000);
    assert.ok((policy.findIdleMs(SECOND_VM) ?? 0) >= IDLE_MS);
  });

  // Guards against the same after a time without a runner, on standby.
  it("begins anew after the runner was gone", async () => {
    const { fixture, policy } = await setUpIdle();
    const { agreement, clock } = fixture;
    agreement.state.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{ type: "runnerGone", runnerId: FIRST_VM, bornAtMs: 1 }],
    });
    await clock.advance(1_000);
    assert.is(policy.findIdleMs(FIRST_VM), undefined);
    fixture.addRunner(FIRST_VM, "bay");
    await clock.advance(1_000);
    assert.ok((policy.findIdleMs(FIRST_VM) ?? Infinity) <= 1_000);
  });
});

describe("the capacity of a pool at the start of a term", () => {
  afterEach(stopAll);

  // Guards against VMs that move to a pool that has enough, away from pools that
  // need them next: a new leader counted only runners that had answered it.
  it("includes the runners in the log that have not been heard yet", async () => {
    const policy = new WatchingPolicy();
    await setUp(policy, false);
    assert.is(policy.capacities[0], VM_COUNT * VM_MILLICORES);
  });
});
