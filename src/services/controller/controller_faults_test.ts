import * as assert from "uvu/assert";
import type { Resource } from "../../domain/index.ts";
import {
  beforeEach,
  ControllerFixture,
  declarePool,
  declareVm,
  describe,
  it,
  type RunningController,
} from "../../testing/index.ts";

const DAY_MS = 86_400_000;
const ONE_AT_A_TIME = [{ domain: "pool" as const, maxUnavailableVmCount: 1 }];

function declareTask(taskId: string, checkpointable: boolean) {
  return {
    taskId,
    vm: "v1",
    team: "fitting",
    queue: "swings",
    priority: 0,
    checkpointable,
    usedCores: 1,
    usedMemoryMb: 1,
    runMs: 0,
  };
}

function declareReboot(changes: Partial<Resource> = {}): Resource {
  return {
    kind: "maintenance",
    name: "kernel",
    labels: {},
    action: "reboot",
    vmSelector: { zone: ["a", "b"] },
    drainDeadlineMs: 30_000,
    cancelled: false,
    ...changes,
  } as Resource;
}

describe("controller actions", () => {
  let harness: ControllerFixture;
  let controller: RunningController;

  beforeEach(async () => {
    harness = new ControllerFixture(6);
    // By default the stand-in refuses to reboot a VM that is not drained, which
    // would hide a premature reboot.
    harness.platform.refusesUndrained = false;
    harness.declare([
      { kind: "zone", name: "a", labels: {}, region: "r" },
      { kind: "zone", name: "b", labels: {}, region: "r" },
      declarePool("studio", { budgets: ONE_AT_A_TIME }),
      declarePool("workshop", { spare: true }),
      declareVm("v1", "a", "rack-1", "studio"),
      declareVm("v2", "a", "rack-2", "studio"),
      declareVm("v3", "b", "rack-1", "studio"),
      declareVm("v4", "b", "rack-2", "workshop"),
    ]);
    controller = harness.startController();
    await harness.run([controller], 2);
  });

  describe("a VM that no single selector claims", () => {
    const cases: [string, Resource[], RegExp][] = [
      [
        "claimed twice",
        [declarePool("portal", { vmSelector: { pool: ["studio"] } })],
        /pool\/studio and pool\/portal all claim vm\/v1; it stays/,
      ],
      [
        "claimed by none",
        [declareVm("v1", "a", "rack-1", "nowhere")],
        /no pool's selector claims vm\/v1; it stays in pool\/studio/,
      ],
    ];
    for (const [title, change, summary] of cases) {
      it(`${title} stays in its pool and is reported once`, async () => {
        harness.log.declare(change);
        await harness.run([controller], 10);
        assert.is(harness.assignment("v1").phase, "serving");
        assert.is(harness.assignment("v1").pool, "studio");
        const notices = harness.records("vm/v1", "hold");
        assert.is(notices.length, 1);
        assert.match(notices[0]?.summary ?? "", summary);
        assert.ok(
          notices[0]?.causes.some(({ setBy }) => setBy === "key/operator-1"),
        );
      });
    }
  });

  describe("the cordon", () => {
    it("is in force for the freshness lease before the drain starts", async () => {
      harness.relabel("v1", { pool: "workshop" });
      await harness.run([controller], 1);
      assert.is(harness.assignment("v1").phase, "cordoned");
      await harness.run([controller], 3);
      assert.is(harness.platform.findState("v1"), "up");
      assert.is(harness.assignment("v1").phase, "cordoned");
    });

    it("makes a controller that takes over wait again", async () => {
      harness.relabel("v1", { pool: "workshop" });
      await harness.run([controller], 3);
      await harness.run([harness.startController()], 3);
      assert.is(harness.assignment("v1").phase, "cordoned");
    });
  });

  describe("work on a draining VM", () => {
    it("is checkpointed when it can be", async () => {
      harness.platform.addTask(declareTask("t1", true));
      harness.relabel("v1", { pool: "workshop" });
      await harness.run([controller], 60);
      assert.equal(harness.platform.taskActions, ["checkpoint t1"]);
      assert.is(harness.assignment("v1").pool, "workshop");
      assert.is(harness.records("vm/v1", "checkpoint").length, 1);
    });

    it("delays the reboot beyond the deadline, which is reported once", async () => {
      harness.platform.addTask(declareTask("t1", false));
      const studio = { vmSelector: { pool: ["studio"] } };
      harness.log.declare([declareReboot(studio)]);
      await harness.run([controller], 120);
      assert.equal(harness.platform.reboots, []);
      assert.equal(harness.platform.taskActions, []);
      const [notice, ...more] = harness.records("vm/v1", "hold");
      assert.match(notice?.summary ?? "", /after its drain deadline/);
      assert.match(notice?.rejected.join() ?? "", /force=true/);
      assert.is(more.length, 0);
      harness.platform.endTask("t1");
      await harness.run([controller], 60);
      assert.is(harness.platform.reboots[0]?.cutCount, 0);
    });

    it("is stopped after the deadline when the action is labelled force=true", async () => {
      harness.platform.addTask(declareTask("t1", false));
      harness.log.declare([declareReboot({ labels: { force: "true" } })]);
      await harness.run([controller], 30);
      assert.equal(harness.platform.taskActions, []);
      await harness.run([controller], 40);
      assert.equal(harness.platform.taskActions, ["stop t1"]);
      const [stop] = harness.records("vm/v1", "stop");
      assert.is(stop?.causes[0]?.field, "labels.force");
    });
  });

  describe("a budget", () => {
    it("delays one of two moves and names the reason", async () => {
      harness.relabel("v1", { pool: "workshop" });
      harness.relabel("v2", { pool: "workshop" });
      await harness.run([controller], 2);
      assert.is(harness.assignment("v2").phase, "serving");
      const [notice] = harness.records("vm/v2", "hold");
      assert.match(
        notice?.summary ?? "",
        /1 of at most 1 .*vm\/v1 is cordoned/,
      );
      await harness.run([controller], 120);
      assert.is(harness.assignment("v2").pool, "workshop");
    });

    const losses: ["down" | "rebooting", string][] = [
      ["down", "an unplanned loss"],
      ["rebooting", "an unplanned reboot"],
    ];
    for (const [state, title] of losses) {
      it(`is used up by ${title}, which is reported`, async () => {
        harness.platform.setState("v3", state);
        harness.relabel("v1", { pool: "workshop" });
        await harness.run([controller], 10);
        assert.is(harness.assignment("v1").phase, "serving");
        const [notice] = harness.records("vm/v3", "ejection");
        assert.match(notice?.summary ?? "", /counts as unavailable/);
        harness.platform.setState("v3", "up");
        await harness.run([controller], 60);
        assert.is(harness.assignment("v1").pool, "workshop");
      });
    }
  });

  describe("a wave", () => {
    it("reboots every VM once, one after the other", async () => {
      harness.log.declare([declareReboot()]);
      await harness.run([controller], 200);
      const rebooted = harness.platform.reboots.map(({ vm }) => vm).toSorted();
      assert.equal(rebooted, ["v1", "v2", "v3", "v4"]);
    });

    it("stops when a VM does not come back, and reports it", async () => {
      const budgets = [
        { domain: "pool" as const, maxUnavailableVmCount: 3 },
        { domain: "zone" as const, maxUnavailableVmCount: 1 },
      ];
      const studio = { vmSelector: { pool: ["studio"], zone: ["a"] } };
      harness.log.declare([declarePool("studio", { budgets })]);
      harness.platform.stuckVms.add("v1");
      harness.log.declare([declareReboot(studio)]);
      await harness.run([controller], 700);
      // The budget would allow a VM of the other zone to reboot now.
      harness.log.declare([
        declareReboot({ vmSelector: { pool: ["studio"] } }),
      ]);
      await harness.run([controller], 60);
      assert.equal(harness.platform.reboots.map(({ vm }) => vm), ["v1"]);
      const notices = harness.records("vm/v1", "hold").map(({ summary }) =>
        summary
      );
      assert.match(notices.join("\n"), /did not come back after its reboot/);
      const action = harness.records("action/maintenance.kernel", "hold");
      assert.match(action.at(-1)?.summary ?? "", /no further VM is taken/);
    });

    it("that is cancelled half way returns the VM to service", async () => {
      harness.platform.addTask(declareTask("t1", false));
      const studio = { vmSelector: { pool: ["studio"] } };
      harness.log.declare([declareReboot(studio)]);
      await harness.run([controller], 10);
      assert.is(harness.assignment("v1").phase, "draining");
      harness.log.declare([declareReboot({ ...studio, cancelled: true })]);
      await harness.run([controller], 10);
      assert.is(harness.assignment("v1").phase, "serving");
      assert.is(harness.platform.findState("v1"), "up");
      assert.equal(harness.platform.reboots, []);
    });

    it("maintains all VMs within two weeks without a declared action", async () => {
      await harness.clock.advance(7 * DAY_MS);
      await harness.run([controller], 200);
      assert.is(harness.platform.reboots.length, 4);
    });
  });

  describe("capacity", () => {
    const high = [{ pool: "studio", busySlotCount: 23, slotCount: 24 }];
    const low = [{ pool: "studio", busySlotCount: 2, slotCount: 32 }];

    it("does not move during peaks of a few seconds", async () => {
      for (let peak = 0; peak < 10; peak += 1) {
        harness.demand = high;
        await harness.run([controller], 30);
        harness.demand = low;
        await harness.run([controller], 60);
      }
      assert.equal(harness.platform.reboots, []);
    });

    it("moves from the spare pool during lasting demand, and back", async () => {
      harness.demand = high;
      await harness.run([controller], 700);
      assert.is(harness.assignment("v4").pool, "studio");
      assert.is(harness.assignment("v4").loanedFrom, "workshop");
      harness.demand = low;
      await harness.run([controller], 1_800);
      assert.is(harness.assignment("v4").pool, "workshop");
      assert.is(harness.assignment("v4").loanedFrom, undefined);
      assert.is(harness.platform.reboots.length, 2);
    });
  });
});
