import { Result } from "true-myth";
import * as assert from "uvu/assert";
import {
  type CapacityPolicy,
  type IdleVm,
  NoForecast,
} from "../../decisions/index.ts";
import type { Failure, Runner } from "../../domain/index.ts";
import type { ListedVm, VmControl, VmListing } from "../../ports/index.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { CapacityTask } from "./capacity_task.ts";
import { RunnerStatus } from "./runner_status.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { CAPACITY_TICK_MS, MAX_LISTING_AGE_MS } from "./timing.ts";

const POOLS = ["bay", "dock"];
const VM_MILLICORES = 8_000;
const VM_COUNT = 40;
const NEW_VM = "new";

function createRunner(runnerId: string, bornAtMs = 1): Runner {
  return {
    runnerId,
    bornAtMs,
    address: "127.0.0.1:1",
    pool: "bay",
    zone: "zone-a",
    capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
    rack: runnerId,
    labels: [],
    isDraining: false,
  };
}

function createListed(vm: string): ListedVm {
  return {
    vm,
    pool: "bay",
    state: "up",
    zone: "zone-a",
    cpuMillicores: VM_MILLICORES,
    runnerId: vm,
  };
}

/** VMs that can be moved at once, without faults. */
class MovableVms implements VmControl {
  readonly maxOrdersPerSecond = Infinity;
  readonly movedVms: string[] = [];
  listCount = 0;
  #vms: readonly ListedVm[];

  constructor(names: readonly string[]) {
    this.#vms = names.map(createListed);
  }

  add(vm: string): void {
    this.#vms = [...this.#vms, createListed(vm)];
  }

  list(): Promise<Result<VmListing, Failure>> {
    this.listCount += 1;
    return Promise.resolve(Result.ok({ vms: this.#vms, isComplete: true }));
  }

  move(vm: string, pool: string) {
    this.movedVms.push(vm);
    this.#vms = this.#vms.map((listed) =>
      listed.vm === vm ? { ...listed, pool, runnerId: undefined } : listed
    );
    return Promise.resolve(Result.ok(undefined));
  }

  beginMaintenance(): never {
    throw new Error("not part of this test");
  }
}

/** Moves a VM in every plan, the newest first. */
const ALWAYS_MOVES: CapacityPolicy = {
  plan: ({ idle }) =>
    idle.filter(({ pool }) => pool === "bay").slice(-1)
      .map(({ vm, pool }) => ({ vm, from: pool, to: "dock" })),
};

/** Moves no VM, and keeps what it was told of the idle ones. */
class WatchingPolicy implements CapacityPolicy {
  #idle: readonly IdleVm[] = [];

  plan({ idle }: Parameters<CapacityPolicy["plan"]>[0]) {
    this.#idle = idle;
    return [];
  }

  findIdleMs(name: string): number | undefined {
    return this.#idle.find(({ vm }) => vm === name)?.idleMs;
  }
}

const stop: AbortController[] = [];

function stopAll(): void {
  stop.splice(0).forEach((controller) => controller.abort());
}

async function setUp(policy: CapacityPolicy) {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const names = Array.from({ length: VM_COUNT }, (_, at) => `vm${at}`);
  const vms = new MovableVms(names);
  const addRunner = (runnerId: string, bornAtMs = 1) =>
    agreement.state.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{
        type: "runner",
        runner: createRunner(runnerId, bornAtMs),
      }],
    });
  names.forEach((name) => addRunner(name));
  agreement.state.apply({
    type: "scheduling",
    atMs: 0,
    operations: [{
      type: "catalog",
      catalog: {
        version: 1,
        queues: [],
        pools: POOLS.map((name) => ({
          name,
          isStandby: false,
          guardsCapacity: false,
        })),
        teams: [],
        source: "",
      },
    }],
  });
  const status = new RunnerStatus(clock);
  status.isSynced = true;
  const findStatus = () => {
    status.recordContact();
    return status;
  };
  const task = new CapacityTask({
    log: new SchedulingLog({ agreement, clock }),
    fleet: { findStatus, retire: () => {} },
    vms,
    policy,
    forecast: new NoForecast(),
    clock,
    logger: new FakeLogger(),
    holderId: "leader",
    fencingToken: 1,
    isInMaintenance: () => false,
  });
  const controller = new AbortController();
  stop.push(controller);
  void task.run(controller.signal);
  await clock.advance(1_000);
  return { addRunner, agreement, clock, vms };
}

// The pattern: pools take turns, so VMs move in every tick for seconds, and a
// VM that came a moment ago is wanted elsewhere soon.
describe("capacity while VMs move all the time", () => {
  afterEach(stopAll);

  // Guards against a list of VMs that stays old for as long as VMs move.
  it("moves a VM soon after its runner has announced itself", async () => {
    const { addRunner, agreement, clock, vms } = await setUp(ALWAYS_MOVES);
    assert.ok(vms.movedVms.length > 0);
    vms.add(NEW_VM);
    addRunner(NEW_VM);
    await clock.advance(
      MAX_LISTING_AGE_MS + 2 * (CAPACITY_TICK_MS + agreement.proposeMs),
    );
    assert.ok(vms.movedVms.includes(NEW_VM));
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
    assert.ok((policy.findIdleMs("vm0") ?? 0) >= IDLE_MS);
    return { ...fixture, policy };
  };

  // Guards against a VM that is moved away again as soon as it has come to a
  // pool: its runner, under the id that it had, counted as idle ever since.
  it("begins anew with its next incarnation", async () => {
    const { addRunner, clock, policy } = await setUpIdle();
    addRunner("vm0", 2);
    await clock.advance(1_000);
    assert.ok((policy.findIdleMs("vm0") ?? Infinity) <= 1_000);
    assert.ok((policy.findIdleMs("vm1") ?? 0) >= IDLE_MS);
  });

  // Guards against the same after a time without a runner, on standby.
  it("begins anew after the runner was gone", async () => {
    const { addRunner, agreement, clock, policy } = await setUpIdle();
    agreement.state.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{ type: "runnerGone", runnerId: "vm0", bornAtMs: 1 }],
    });
    await clock.advance(1_000);
    assert.is(policy.findIdleMs("vm0"), undefined);
    addRunner("vm0");
    await clock.advance(1_000);
    assert.ok((policy.findIdleMs("vm0") ?? Infinity) <= 1_000);
  });
});
