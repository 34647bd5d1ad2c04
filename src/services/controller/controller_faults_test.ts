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
  let fixture: ControllerFixture;
  let controller: RunningController;

  beforeEach(async () => {
    fixture = new ControllerFixture(6);
    // By default the stand-in refuses to reboot a VM that is not drained, which
    // would hide a premature reboot.
    fixture.platform.refusesUndrained = false;
    fixture.declare([
      { kind: "zone", name: "a", labels: {}, region: "r" },
      { kind: "zone", name: "b", labels: {}, region: "r" },
      declarePool("studio", { budgets: ONE_AT_A_TIME }),
      declarePool("workshop", { spare: true }),
      declareVm("v1", "a", "rack-1", "studio"),
      declareVm("v2", "a", "rack-2", "studio"),
      declareVm("v3", "b", "rack-1", "studio"),
      declareVm("v4", "b", "rack-2", "workshop"),
    ]);
    controller = fixture.startController();
    await fixture.run([controller], 2);
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
        fixture.log.declare(change);
        await fixture.run([controller], 10);
        assert.is(fixture.assignment("v1").phase, "serving");
        assert.is(fixture.assignment("v1").pool, "studio");
        const notices = fixture.records("vm/v1", "hold");
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
      fixture.relabel("v1", { pool: "workshop" });
      await fixture.run([controller], 1);
      assert.is(fixture.assignment("v1").phase, "cordoned");
      await fixture.run([controller], 3);
      assert.is(fixture.platform.findState("v1"), "up");
      assert.is(fixture.assignment("v1").phase, "cordoned");
    });

    it("makes a controller that takes over wait again", async () => {
      fixture.relabel("v1", { pool: "workshop" });
      await fixture.run([controller], 3);
      await fixture.run([fixture.startController()], 3);
      assert.is(fixture.assignment("v1").phase, "cordoned");
    });
  });

  describe("work on a draining VM", () => {
    it("is checkpointed when it can be", async () => {
      fixture.platform.addTask(declareTask("t1", true));
      fixture.relabel("v1", { pool: "workshop" });
      await fixture.run([controller], 60);
      assert.equal(fixture.platform.taskActions, ["checkpoint t1"]);
      assert.is(fixture.assignment("v1").pool, "workshop");
      assert.is(fixture.records("vm/v1", "checkpoint").length, 1);
    });

    it("delays the reboot beyond the deadline, which is reported once", async () => {
      fixture.platform.addTask(declareTask("t1", false));
      const studio = { vmSelector: { pool: ["studio"] } };
      fixture.log.declare([declareReboot(studio)]);
      await fixture.run([controller], 120);
      assert.equal(fixture.platform.reboots, []);
      assert.equal(fixture.platform.taskActions, []);
      const [notice, ...more] = fixture.records("vm/v1", "hold");
      assert.match(notice?.summary ?? "", /after its drain deadline/);
      assert.match(notice?.rejected.join() ?? "", /force=true/);
      assert.is(more.length, 0);
      fixture.platform.endTask("t1");
      await fixture.run([controller], 60);
      assert.is(fixture.platform.reboots[0]?.cutCount, 0);
    });

    it("is stopped after the deadline when the action is labelled force=true", async () => {
      fixture.platform.addTask(declareTask("t1", false));
      fixture.log.declare([declareReboot({ labels: { force: "true" } })]);
      await fixture.run([controller], 30);
      assert.equal(fixture.platform.taskActions, []);
      await fixture.run([controller], 40);
      assert.equal(fixture.platform.taskActions, ["stop t1"]);
      const [stop] = fixture.records("vm/v1", "stop");
      assert.is(stop?.causes[0]?.field, "labels.force");
    });
  });

  describe("a budget", () => {
    it("delays one of two moves and names the reason", async () => {
      fixture.relabel("v1", { pool: "workshop" });
      fixture.relabel("v2", { pool: "workshop" });
      await fixture.run([controller], 2);
      assert.is(fixture.assignment("v2").phase, "serving");
      const [notice] = fixture.records("vm/v2", "hold");
      assert.match(
        notice?.summary ?? "",
        /1 of at most 1 .*vm\/v1 is cordoned/,
      );
      await fixture.run([controller], 120);
      assert.is(fixture.assignment("v2").pool, "workshop");
    });

    const losses: ["down" | "rebooting", string][] = [
      ["down", "an unplanned loss"],
      ["rebooting", "an unplanned reboot"],
    ];
    for (const [state, title] of losses) {
      it(`is used up by ${title}, which is reported`, async () => {
        fixture.platform.setState("v3", state);
        fixture.relabel("v1", { pool: "workshop" });
        await fixture.run([controller], 10);
        assert.is(fixture.assignment("v1").phase, "serving");
        const [notice] = fixture.records("vm/v3", "ejection");
        assert.match(notice?.summary ?? "", /counts as unavailable/);
        fixture.platform.setState("v3", "up");
        await fixture.run([controller], 60);
        assert.is(fixture.assignment("v1").pool, "workshop");
      });
    }
  });

  describe("an outage", () => {
    const ROUND_COUNT = 15;

    const lose = async (
      state: "down" | "up",
      by: RunningController = controller,
    ) => {
      fixture.platform.setState("v3", state);
      await fixture.run([by], ROUND_COUNT);
      return fixture.records("vm/v3", "ejection").length;
    };

    // Guards against an outage of which operators find no record: an earlier
    // one of the same VM looks the same.
    it("is recorded each time that it begins", async () => {
      assert.is(await lose("down"), 1);
      assert.is(await lose("up"), 1);
      assert.is(await lose("down"), 2);
    });

    it("is not recorded again by a controller that takes over", async () => {
      assert.is(await lose("down"), 1);
      assert.is(await lose("down", fixture.startController()), 1);
    });
  });

  describe("a wave", () => {
    it("reboots every VM once, one after the other", async () => {
      fixture.log.declare([declareReboot()]);
      await fixture.run([controller], 200);
      const rebooted = fixture.platform.reboots.map(({ vm }) => vm).toSorted();
      assert.equal(rebooted, ["v1", "v2", "v3", "v4"]);
    });

    it("stops when a VM does not come back, and reports it", async () => {
      const budgets = [
        { domain: "pool" as const, maxUnavailableVmCount: 3 },
        { domain: "zone" as const, maxUnavailableVmCount: 1 },
      ];
      const studio = { vmSelector: { pool: ["studio"], zone: ["a"] } };
      fixture.log.declare([declarePool("studio", { budgets })]);
      fixture.platform.stuckVms.add("v1");
      fixture.log.declare([declareReboot(studio)]);
      await fixture.run([controller], 700);
      // The budget would allow a VM of the other zone to reboot now.
      fixture.log.declare([
        declareReboot({ vmSelector: { pool: ["studio"] } }),
      ]);
      await fixture.run([controller], 60);
      assert.equal(fixture.platform.reboots.map(({ vm }) => vm), ["v1"]);
      const notices = fixture.records("vm/v1", "hold").map(({ summary }) =>
        summary
      );
      assert.match(notices.join("\n"), /did not come back after its reboot/);
      const action = fixture.records("action/maintenance.kernel", "hold");
      assert.match(action.at(-1)?.summary ?? "", /no further VM is taken/);
    });

    it("that is cancelled half way returns the VM to service", async () => {
      fixture.platform.addTask(declareTask("t1", false));
      const studio = { vmSelector: { pool: ["studio"] } };
      fixture.log.declare([declareReboot(studio)]);
      await fixture.run([controller], 10);
      assert.is(fixture.assignment("v1").phase, "draining");
      fixture.log.declare([declareReboot({ ...studio, cancelled: true })]);
      await fixture.run([controller], 10);
      assert.is(fixture.assignment("v1").phase, "serving");
      assert.is(fixture.platform.findState("v1"), "up");
      assert.equal(fixture.platform.reboots, []);
    });

    it("maintains all VMs within two weeks without a declared action", async () => {
      await fixture.clock.advance(7 * DAY_MS);
      await fixture.run([controller], 200);
      assert.is(fixture.platform.reboots.length, 4);
    });
  });

  describe("capacity", () => {
    const high = [{ pool: "studio", busySlotCount: 23, slotCount: 24 }];
    const low = [{ pool: "studio", busySlotCount: 2, slotCount: 32 }];

    it("does not move during peaks of a few seconds", async () => {
      for (let peak = 0; peak < 10; peak += 1) {
        fixture.demand = high;
        await fixture.run([controller], 30);
        fixture.demand = low;
        await fixture.run([controller], 60);
      }
      assert.equal(fixture.platform.reboots, []);
    });

    it("moves from the spare pool during lasting demand, and back", async () => {
      fixture.demand = high;
      await fixture.run([controller], 700);
      assert.is(fixture.assignment("v4").pool, "studio");
      assert.is(fixture.assignment("v4").loanedFrom, "workshop");
      fixture.demand = low;
      await fixture.run([controller], 1_800);
      assert.is(fixture.assignment("v4").pool, "workshop");
      assert.is(fixture.assignment("v4").loanedFrom, undefined);
      assert.is(fixture.platform.reboots.length, 2);
    });
  });
});
