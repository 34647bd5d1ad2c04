import * as assert from "uvu/assert";
import * as v from "valibot";
import { type Admission, FleetIndex } from "../../decisions/index.ts";
import {
  createFailure,
  type ErrorKind,
  FleetState,
  queueSchema,
  resourceSchema,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { createRunRefusal } from "./refusals.ts";

const ZONE = { kind: "zone", name: "zone-a", region: "r" };
const QUEUE = { kind: "queue", name: "queue-a", poolSelector: {} };
const FLEET = [
  ZONE,
  QUEUE,
  { kind: "pool", name: "pool-a", vmSelector: {} },
  { kind: "vm", name: "vm-a", zone: "zone-a", rack: "rack-a" },
  { kind: "team", name: "team-a", maxRunningCount: 3 },
];
const TAKE_OUT = {
  kind: "maintenance",
  name: "power",
  action: "takeOut",
  zoneSelector: { name: ["zone-a"] },
};

const ADMISSION: Admission = {
  team: undefined,
  teamName: "team-a",
  queue: v.parse(queueSchema, QUEUE),
  poolNames: ["pool-a"],
  causes: [],
};

interface Case {
  readonly title: string;
  readonly kind: ErrorKind;
  readonly changes: readonly unknown[];
  readonly cause: string;
}

const CASES: readonly Case[] = [
  {
    title: "the limit of a team",
    kind: "teamLimitReached",
    changes: [],
    cause: "team/team-a maxRunningCount = 3 by bootstrap in 1",
  },
  {
    title: "the longest wait of a queue",
    kind: "overloaded",
    changes: [],
    cause: "queue/queue-a maxWaitMs = 2000 by bootstrap in 1",
  },
  {
    title: "the label that took a zone out",
    kind: "zoneOut",
    changes: [{ ...ZONE, labels: { service: "out" } }],
    cause: "zone/zone-a labels.service = out by key/night in 2",
  },
  {
    title: "the maintenance that took a zone out",
    kind: "zoneOut",
    changes: [TAKE_OUT],
    cause:
      `maintenance/power zoneSelector = {"name":["zone-a"]} by key/night in 2`,
  },
];

function declare(
  state: FleetState,
  operator: string,
  resources: readonly unknown[],
): void {
  const expectedRevision = state.revision;
  state.apply({
    type: "change",
    operator,
    atMs: 0,
    change: {
      operationId: `operation-${expectedRevision}`,
      expectedRevision,
      puts: resources.map((resource) => v.parse(resourceSchema, resource)),
      deletes: [],
    },
  });
}

describe("refusals of admitted requests", () => {
  describe("name the cause and who set it", () => {
    for (const { title, kind, changes, cause } of CASES) {
      it(title, () => {
        const state = new FleetState();
        declare(state, "bootstrap", FLEET);
        declare(state, "key/night", changes);
        const failure = createFailure(kind, "refused");
        const refusal = createRunRefusal(
          failure,
          ADMISSION,
          new FleetIndex(state),
        );
        const [first] = refusal.causes.map((
          { resource, field, value, setBy, revision },
        ) =>
          `${resource.kind}/${resource.name} ${field} = ${value} by ${setBy} in ${revision}`
        );
        assert.is(first, cause);
      });
    }
  });
});
