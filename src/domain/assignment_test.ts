import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import {
  type AssignCommand,
  type AssignmentPhase,
  findAssignmentConflict,
  type VmAssignment,
} from "./index.ts";

function createAssignment(changes: Partial<VmAssignment> = {}): VmAssignment {
  return {
    vm: "v1",
    pool: "studio",
    phase: "serving",
    actionId: "move.r1",
    operationId: "step-1",
    startedAtMs: 0,
    ...changes,
  };
}

function findConflict(
  current: VmAssignment | undefined,
  next: Partial<VmAssignment>,
  options: Partial<AssignCommand> = {},
): string | undefined {
  const command: AssignCommand = {
    type: "assign",
    assignment: createAssignment({ operationId: "step-2", ...next }),
    expectedOperationId: current?.operationId,
    ...options,
  };
  const others = [
    createAssignment({ vm: "v2", phase: "draining" }),
    createAssignment({ vm: "v3", pool: "workshop", phase: "draining" }),
  ];
  const context = {
    revision: 7,
    findAssignment: () => current,
    listAssignments: () => others,
    find: (_kind: "vm", name: string) => name,
  };
  return findAssignmentConflict(command, context)?.kind;
}

describe("assignment rules", () => {
  describe("steps", () => {
    const cases: [AssignmentPhase, AssignmentPhase, boolean][] = [
      ["serving", "cordoned", true],
      ["serving", "rebooting", false],
      ["cordoned", "draining", true],
      ["cordoned", "rebooting", false],
      ["cordoned", "serving", false],
      ["draining", "rebooting", true],
      ["draining", "serving", false],
      ["rebooting", "joining", true],
      ["rebooting", "serving", false],
      ["joining", "serving", true],
      ["joining", "rebooting", false],
    ];
    for (const [from, to, isAllowed] of cases) {
      it(`${isAllowed ? "allow" : "refuse"} ${from} to ${to}`, () => {
        const conflict = findConflict(createAssignment({ phase: from }), {
          phase: to,
        });
        assert.is(conflict, isAllowed ? undefined : "conflict");
      });
    }

    it("refuse a change based on a step that is no longer the current one", () => {
      const current = createAssignment();
      const options = { expectedOperationId: "step-0" };
      const conflict = findConflict(current, { phase: "cordoned" }, options);
      assert.is(conflict, "conflict");
    });
  });

  describe("pool", () => {
    it("changes only from joining to serving, to the target", () => {
      const joining = createAssignment({
        phase: "joining",
        targetPool: "workshop",
      });
      assert.is(findConflict(joining, { pool: "workshop" }), undefined);
      assert.is(findConflict(joining, { pool: "portal" }), "conflict");
      const serving = createAssignment();
      assert.is(findConflict(serving, { pool: "workshop" }), "conflict");
    });
  });

  describe("guard", () => {
    const cases: [string, number, string[], string | undefined][] = [
      ["the state that the decision is based on", 7, ["v2"], undefined],
      ["an older configuration", 6, ["v2"], "conflict"],
      ["a VM taken out of service meanwhile", 7, [], "conflict"],
      ["a VM back in service meanwhile", 7, ["v2", "v4"], "conflict"],
    ];
    for (const [title, revision, busyVms, expected] of cases) {
      it(`checks the guard against ${title}`, () => {
        const guard = { revision, busyVms };
        const next = { phase: "cordoned" as const };
        const conflict = findConflict(createAssignment(), next, { guard });
        assert.is(conflict, expected);
      });
    }
  });
});
