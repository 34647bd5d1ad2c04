import * as assert from "uvu/assert";
import {
  DomainBudgetPolicy,
  forecastMaintenance,
  ZoneByZoneWavePolicy,
} from "../decisions/index.ts";
import { FleetView } from "../decisions/index.ts";
import type { Resource } from "../domain/index.ts";
import {
  beforeEach,
  ControllerFixture,
  declarePool,
  declareVm,
  describe,
  FakeLogAgreement,
  it,
} from "../testing/index.ts";
import { PlanService, StateDescriber } from "./index.ts";

const DAY_MS = 86_400_000;
const parts = {
  budgets: new DomainBudgetPolicy(),
  waves: new ZoneByZoneWavePolicy(),
};

const TEAM: Resource = {
  kind: "team",
  name: "fitting",
  labels: {},
  share: 1,
  maxRunningCount: 4,
};
const QUEUE: Resource = {
  kind: "queue",
  name: "swings",
  labels: {},
  poolSelector: { work: ["analysis"] },
  openToAll: false,
  priority: 0,
  maxWaitMs: 1,
  maxRunMs: 1,
};
const BINDING: Resource = {
  kind: "binding",
  name: "all",
  labels: {},
  teamSelector: {},
  queueSelector: {},
};

describe("plan and explain", () => {
  let fixture: ControllerFixture;
  let plans: PlanService;
  let states: StateDescriber;

  beforeEach(async () => {
    fixture = new ControllerFixture(6);
    fixture.declare([
      { kind: "zone", name: "a", labels: {}, region: "r" },
      declarePool("studio", { labels: { work: "analysis" } }),
      declarePool("workshop"),
      declareVm("v1", "a", "rack-1", "studio"),
      declareVm("v2", "a", "rack-2", "studio"),
      TEAM,
      QUEUE,
      BINDING,
    ]);
    const agreement = new FakeLogAgreement(fixture.log);
    const findPlatformVms = () => undefined;
    const options = {
      agreement,
      clock: fixture.clock,
      findPlatformVms,
      ...parts,
    };
    plans = new PlanService(options);
    states = new StateDescriber(options);
    await fixture.run([fixture.startController()], 2);
  });

  function plan(input: unknown) {
    const planned = plans.plan(input);
    if (planned.isErr) {
      throw new Error(planned.error.message);
    }
    return planned.value;
  }

  describe("a plan", () => {
    it("lists moves and the budgets they wait for, and changes nothing", () => {
      const before = JSON.stringify(fixture.log.state.toSnapshot());
      const planned = plan({
        puts: [
          declareVm("v1", "a", "rack-1", "workshop"),
          declareVm("v2", "a", "rack-2", "workshop"),
        ],
      });
      const waits = planned.actions.map(({ vm, targetPool, waitsFor }) =>
        `${vm} ${targetPool} ${waitsFor === undefined}`
      );
      assert.equal(waits, ["v1 workshop true", "v2 workshop false"]);
      assert.is(JSON.stringify(fixture.log.state.toSnapshot()), before);
    });

    const takeOut = {
      kind: "maintenance",
      name: "power",
      action: "takeOut",
      zoneSelector: { name: ["a"] },
    };
    const cases: [string, object, RegExp][] = [
      [
        "a lost binding",
        { deletes: [{ kind: "binding", name: "all" }] },
        /no binding/,
      ],
      [
        "a pool that no longer matches",
        { puts: [declarePool("studio")] },
        /no pool matches/,
      ],
      ["a zone that goes out", { puts: [takeOut] }, /no VM .* in service/],
      [
        "a deleted queue",
        { deletes: [{ kind: "queue", name: "swings" }] },
        /deleted/,
      ],
    ];
    for (const [title, input, reason] of cases) {
      it(`lists work that ${title} no longer allows`, () => {
        const [lost, ...more] = plan(input).lostWork;
        assert.is(`${lost?.team} ${lost?.queue}`, "fitting swings");
        assert.match(lost?.reason ?? "", reason);
        assert.is(more.length, 0);
      });
    }

    it("lists work that a lost binding no longer allows while its zone is out", () => {
      const zone: Resource = {
        kind: "zone",
        name: "a",
        labels: { service: "out" },
        region: "r",
      };
      fixture.declare([zone]);
      const input = { deletes: [{ kind: "binding", name: "all" }] };
      assert.match(plan(input).lostWork[0]?.reason ?? "", /no binding/);
    });

    it("lists reboots and zones", () => {
      const reboot = { ...takeOut, action: "reboot", vmSelector: {} };
      assert.is(plan({ puts: [reboot] }).actions.length, 2);
      assert.equal(plan({ puts: [takeOut] }).zonesOut, ["a"]);
    });

    it("refuses a change that could not be applied", () => {
      assert.ok(plans.plan({ puts: [{ kind: "no-such" }] }).isErr);
    });
  });

  describe("the current state", () => {
    const cases: [string, string, RegExp][] = [
      ["vm", "v1", /vm\/v1 is serving in pool\/studio/],
      ["pool", "studio", /maintenance of all is done by/],
      ["zone", "a", /zone\/a is in service with 2 VMs/],
      ["team", "fitting", /may use queue\/swings by binding\/all/],
      ["queue", "swings", /reaches pool\/studio with 2 VMs/],
      ["action", "adopt.v1", /vm\/v1/],
    ];
    for (const [kind, name, line] of cases) {
      it(`of a ${kind} names its causes`, () => {
        const now = states.describe(kind, name);
        assert.match(now?.lines.join("\n") ?? "", line);
        const isSetByOperator = now?.causes.every(({ setBy }) =>
          setBy === "key/operator-1"
        );
        assert.ok(isSetByOperator);
      });
    }
  });

  describe("a forecast", () => {
    function forecast() {
      const view = new FleetView(fixture.log.state);
      const nowMs = fixture.clock.nowMs();
      return forecastMaintenance(view, "studio", nowMs, parts);
    }

    it("is in time with one VM after the other by default", async () => {
      await fixture.clock.advance(8 * DAY_MS);
      const { dueVmCount, parallelVmCount, isInTime, doneAtMs } = forecast();
      assert.equal([dueVmCount, parallelVmCount, isInTime], [2, 1, true]);
      assert.is(doneAtMs, fixture.clock.nowMs() + 2 * 300_000);
    });

    it("names the budget that prevents it", async () => {
      const budgets = [{ domain: "rack" as const, maxUnavailableVmCount: 0 }];
      fixture.log.declare([declarePool("studio", { budgets })]);
      await fixture.clock.advance(8 * DAY_MS);
      const { doneAtMs, preventedBy } = forecast();
      assert.is(doneAtMs, undefined);
      assert.match(
        preventedBy ?? "",
        /pool\/studio in rack\/a\/rack-1: 0 of at most 0/,
      );
    });
  });
});
