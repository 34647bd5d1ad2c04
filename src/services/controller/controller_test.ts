import fc from "fast-check";
import * as assert from "uvu/assert";
import type { Resource } from "../../domain/index.ts";
import {
  ControllerFixture,
  declarePool,
  declareVm,
  describe,
  it,
  type RunningController,
} from "../../testing/index.ts";

const RUN_COUNT = 200;
const SETTLE_ROUND_COUNT = 900;
const SETTLE_STEP_COUNT = 30;
const VMS = ["v1", "v2", "v3", "v4", "v5", "v6"];

function declareFleet(): Resource[] {
  const budgets = [
    { domain: "pool" as const, maxUnavailableVmCount: 2 },
    { domain: "zone" as const, maxUnavailableVmCount: 1 },
  ];
  return [
    { kind: "zone", name: "a", labels: {}, region: "r" },
    { kind: "zone", name: "b", labels: {}, region: "r" },
    declarePool("studio", { budgets }),
    declarePool("workshop", { budgets }),
    ...VMS.map((name, at) =>
      declareVm(
        name,
        at < 3 ? "a" : "b",
        "rack",
        at % 2 ? "workshop" : "studio",
      )
    ),
  ];
}

/** Checks the budget of every pool and zone, and that no reboot cut off work. */
function checkInvariants(fixture: ControllerFixture): void {
  const { state } = fixture.log;
  for (const { resource } of state.list("pool")) {
    for (const zone of ["a", "b"]) {
      const busy = state.listAssignments().filter(({ vm, pool, phase }) =>
        pool === resource.name && phase !== "serving" &&
        state.find("vm", vm)?.resource.zone === zone
      );
      assert.ok(
        busy.length <= 1,
        `${busy.length} of ${resource.name} in ${zone}`,
      );
    }
  }
  const cut = fixture.platform.reboots.filter(({ cutCount }) => cutCount > 0);
  assert.equal(cut, []);
}

type Event =
  | { readonly type: "relabel"; readonly vm: string; readonly pool: string }
  | { readonly type: "relabelAll"; readonly pool: string }
  | { readonly type: "crash"; readonly callCount: number }
  | { readonly type: "maintain"; readonly cancelled: boolean }
  | { readonly type: "second" }
  | { readonly type: "task"; readonly vm: string }
  | { readonly type: "run"; readonly roundCount: number };

const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    type: fc.constant("relabel" as const),
    vm: fc.constantFrom(...VMS),
    pool: fc.constantFrom("studio", "workshop", "nowhere"),
  }),
  fc.record({
    type: fc.constant("relabelAll" as const),
    pool: fc.constantFrom("studio", "workshop"),
  }),
  fc.record({
    type: fc.constant("crash" as const),
    callCount: fc.integer({ min: 0, max: 12 }),
  }),
  fc.record({
    type: fc.constant("maintain" as const),
    cancelled: fc.boolean(),
  }),
  fc.record({ type: fc.constant("second" as const) }),
  fc.record({
    type: fc.constant("task" as const),
    vm: fc.constantFrom(...VMS),
  }),
  fc.record({
    type: fc.constant("run" as const),
    roundCount: fc.integer({ min: 1, max: 30 }),
  }),
);

async function runEvents(seed: number, events: readonly Event[]) {
  const fixture = new ControllerFixture(seed);
  fixture.declare(declareFleet());
  let controllers: RunningController[] = [fixture.startController()];
  const check = () => checkInvariants(fixture);
  await fixture.run(controllers, 2, check);
  fixture.platform.setFaults({
    lostRequestPercent: 20,
    lostAnswerPercent: 20,
    doubledPercent: 20,
    latePercent: 20,
    wrongPercent: 10,
  });
  fixture.log.setFaults({
    refusedPercent: 10,
    lostAnswerPercent: 10,
    maxDelayMs: 40,
  });
  for (const [at, event] of events.entries()) {
    switch (event.type) {
      case "relabel":
        fixture.relabel(event.vm, { pool: event.pool });
        break;
      case "relabelAll":
        VMS.forEach((vm) => fixture.relabel(vm, { pool: event.pool }));
        break;
      case "maintain":
        fixture.log.declare([{
          kind: "maintenance",
          name: "kernel",
          labels: {},
          action: "reboot",
          vmSelector: {},
          drainDeadlineMs: 30_000,
          cancelled: event.cancelled,
        }]);
        break;
      case "crash":
        controllers[0]?.crashAfter(event.callCount);
        await fixture.run(controllers, 2, check);
        controllers = [fixture.startController()];
        break;
      case "second":
        controllers = [...controllers.slice(-1), fixture.startController()];
        break;
      case "task":
        fixture.platform.addTask({
          taskId: `task-${at}`,
          vm: event.vm,
          team: "fitting",
          queue: "swings",
          priority: 0,
          checkpointable: at % 2 === 0,
          usedCores: 1,
          usedMemoryMb: 1,
          runMs: 0,
        });
        break;
      case "run":
        await fixture.run(controllers, event.roundCount, check);
    }
  }
  fixture.platform.setFaults({});
  fixture.log.setFaults({});
  for (const at of events.keys()) {
    fixture.platform.endTask(`task-${at}`);
  }
  for (let count = 0; count < SETTLE_ROUND_COUNT; count += SETTLE_STEP_COUNT) {
    await fixture.run(controllers, SETTLE_STEP_COUNT, check);
    if (isSettled(fixture)) {
      break;
    }
  }
  return fixture;
}

/** Checks that a VM was rebooted after the latest declared maintenance. */
function isMaintained(fixture: ControllerFixture, vm: string): boolean {
  const reboot = fixture.log.state.find("maintenance", "kernel");
  const isRequested = reboot !== undefined && !reboot.resource.cancelled;
  const { maintainedRevision = 0 } = fixture.assignment(vm);
  return !isRequested || maintainedRevision >= reboot.revision;
}

function isSettled(fixture: ControllerFixture): boolean {
  return VMS.every((vm) => {
    const label = fixture.log.state.find("vm", vm)?.resource.labels["pool"];
    const { pool, phase } = fixture.assignment(vm);
    const isUp = fixture.platform.findState(vm) === "up";
    return isUp && phase === "serving" && isMaintained(fixture, vm) &&
      (label === "nowhere" || label === pool);
  });
}

describe("controller", () => {
  describe("under crashes, second controllers, relabelling and a faulty platform", () => {
    it("keeps one pool for each VM, respects budgets and cuts off no work", async () => {
      let rebootCount = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.integer({ min: 1, max: 1_000_000 }),
          fc.array(eventArbitrary, { minLength: 8, maxLength: 16 }),
          async (seed, events) => {
            const fixture = await runEvents(seed, events);
            rebootCount += fixture.platform.reboots.length;
            assert.ok(
              isSettled(fixture),
              JSON.stringify(fixture.log.state.listAssignments()),
            );
          },
        ),
        { seed: 6, numRuns: RUN_COUNT },
      );
      assert.ok(rebootCount > RUN_COUNT, `only ${rebootCount} reboots`);
    });
  });
});
