import * as assert from "uvu/assert";
import { FleetState, type Resource } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FleetIndex, listZonesOut } from "./index.ts";

function declare(state: FleetState, ...puts: Resource[]): void {
  const change = {
    operationId: `change-${state.revision}`,
    expectedRevision: state.revision,
    puts,
    deletes: [],
  };
  state.apply({ type: "change", change, operator: "key/operator-1", atMs: 5 });
}

function declareZone(name: string, labels = {}): Resource {
  return { kind: "zone", name, labels, region: "north" };
}

function declareTakeOut(changes: object = {}): Resource {
  return {
    kind: "maintenance",
    name: "power",
    labels: {},
    action: "takeOut",
    zoneSelector: { name: ["a"] },
    drainDeadlineMs: 1,
    cancelled: false,
    ...changes,
  };
}

describe("zones out", () => {
  const cases: [string, Resource[], string[]][] = [
    ["no label", [], []],
    ["the label", [declareZone("a", { service: "out" })], ["a"]],
    ["another value", [declareZone("a", { service: "in" })], []],
    ["a maintenance", [declareTakeOut()], ["a"]],
    ["two maintenances", [declareTakeOut(), declareTakeOut({ name: "p2" })], [
      "a",
    ]],
    ["a cancelled maintenance", [declareTakeOut({ cancelled: true })], []],
    ["a reboot", [declareTakeOut({ action: "reboot" })], []],
    ["no selector", [declareTakeOut({ zoneSelector: undefined })], []],
    ["a region", [declareTakeOut({ zoneSelector: { region: ["north"] } })], [
      "a",
      "b",
    ]],
  ];
  for (const [title, change, expected] of cases) {
    it(`follow from ${title}`, () => {
      const state = new FleetState();
      declare(state, declareZone("a"), declareZone("b"));
      declare(state, ...change);
      assert.equal([...listZonesOut(state).keys()], expected);
      const index = new FleetIndex(state);
      const isOut = index.findZoneOut("a") !== undefined;
      assert.is(isOut, expected.includes("a"));
    });
  }
});
