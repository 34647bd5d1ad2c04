import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { createFailure, type Failure } from "../../domain/index.ts";
import {
  beforeEach,
  ControllerFixture,
  declarePool,
  declareVm,
  describe,
  it,
  type RunningController,
} from "../../testing/index.ts";

const TASK = {
  taskId: "t1",
  vm: "v1",
  team: "fitting",
  queue: "swings",
  priority: 0,
  checkpointable: true,
  usedCores: 1,
  usedMemoryMb: 1,
  runMs: 0,
};
const BUSY_CORE_COUNT = 1;
const LARGE_CORE_COUNT = 10;

describe("a controller that leads again", () => {
  let fixture: ControllerFixture;
  let controller: RunningController;

  beforeEach(async () => {
    fixture = new ControllerFixture(6);
    fixture.declare([
      { kind: "zone", name: "a", labels: {}, region: "r" },
      declarePool("studio"),
      declareVm("v1", "a", "rack-1", "studio"),
      declareVm("v2", "a", "rack-2", "studio"),
    ]);
    controller = fixture.startController();
    await fixture.run([controller], 2);
  });

  const loseLeadership = async () => {
    controller.agreement.isLeader = false;
    await fixture.run([controller], 2);
  };

  const leadAgain = async (roundCount: number) => {
    controller.agreement.isLeader = true;
    await fixture.run([controller], roundCount);
  };

  // Guards against a task that is slowed down or stopped for an overload that is
  // over: an earlier term's request had got no answer.
  it("does not repeat actions on tasks of its earlier term", async () => {
    const { platform } = fixture;
    let coreCount = BUSY_CORE_COUNT;
    const listVms = platform.listVms.bind(platform);
    platform.listVms = async () =>
      (await listVms()).map((vms) => vms.map((vm) => ({ ...vm, coreCount })));
    const actOnTask = platform.actOnTask.bind(platform);
    platform.actOnTask = () =>
      Promise.resolve(
        Result.err<void, Failure>(
          createFailure("peerUnreachable", "no answer"),
        ),
      );
    platform.addTask(TASK);
    await fixture.run([controller], 1);
    assert.is(fixture.records("vm/v1", "throttle").length, 1);
    await loseLeadership();
    coreCount = LARGE_CORE_COUNT;
    platform.actOnTask = actOnTask;
    await leadAgain(3);
    assert.equal(platform.taskActions, []);
  });

  // Guards against a VM that is reported as lost because of one wrong answer of
  // the platform: an earlier term's answer counted as its confirmation.
  describe("confirms an outage by two reports of its present term", () => {
    const countOutages = () => fixture.records("vm/v2", "ejection").length;

    const cases: [string, () => Promise<void>][] = [
      ["after rounds without leadership", loseLeadership],
      ["right after a term of its own", () => {
        controller.agreement.term += 1;
        return Promise.resolve();
      }],
    ];
    for (const [title, change] of cases) {
      it(title, async () => {
        fixture.platform.setState("v2", "down");
        await fixture.run([controller], 1);
        await change();
        await leadAgain(1);
        assert.is(countOutages(), 0);
        await fixture.run([controller], 1);
        assert.is(countOutages(), 1);
      });
    }
  });

  // Guards against a VM that stays in its pool without a record of the reason: an
  // earlier term had reported the same, and its end was not seen.
  it("records a clash anew that ended in between", async () => {
    const countClashes = () =>
      fixture.records("vm/v2", "hold").filter(({ summary }) =>
        summary.includes("no pool's selector claims")
      ).length;
    fixture.declare([declarePool("portal")]);
    fixture.relabel("v2", { pool: "nowhere" });
    await fixture.run([controller], 3);
    assert.is(countClashes(), 1);
    await loseLeadership();
    fixture.relabel("v2", { pool: "portal" });
    const other = fixture.startController();
    await fixture.run([other], 60);
    assert.is(fixture.assignment("v2").pool, "portal");
    fixture.relabel("v2", { pool: "nowhere" });
    await leadAgain(3);
    assert.is(countClashes(), 2);
  });

  describe("moves no VM for demand", () => {
    const HIGH = [{ pool: "studio", busySlotCount: 23, slotCount: 24 }];
    const LOW = [{ pool: "studio", busySlotCount: 2, slotCount: 24 }];
    /** Shorter than demand has to last before a pool borrows a VM. */
    const HIGH_ROUND_COUNT = 250;

    beforeEach(async () => {
      fixture.declare([
        declarePool("workshop", { spare: true }),
        declareVm("v3", "a", "rack-3", "workshop"),
      ]);
      fixture.demand = HIGH;
      await fixture.run([controller], HIGH_ROUND_COUNT);
      assert.is(fixture.assignment("v3").phase, "serving");
    });

    // Guards against a move, which costs a drain and a reboot, for demand that
    // has fallen in between: its time was counted from an earlier term.
    it("that it did not see in between", async () => {
      await loseLeadership();
      fixture.demand = LOW;
      await fixture.run([controller], 2 * HIGH_ROUND_COUNT);
      fixture.demand = HIGH;
      await leadAgain(HIGH_ROUND_COUNT);
      assert.is(fixture.assignment("v3").pool, "workshop");
      assert.is(fixture.assignment("v3").phase, "serving");
    });

    it("until it has lasted after that", async () => {
      await loseLeadership();
      await fixture.run([controller], HIGH_ROUND_COUNT);
      await leadAgain(2 * HIGH_ROUND_COUNT);
      assert.is(fixture.assignment("v3").pool, "studio");
    });
  });
});
