import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import {
  AuditTrail,
  type DecisionRecord,
  MAX_KEPT_ACTION_RECORDS,
  MAX_KEPT_REQUEST_RECORDS,
} from "./index.ts";

function createRecord(
  decisionId: string,
  action: DecisionRecord["action"],
): DecisionRecord {
  return {
    decisionId,
    atMs: 0,
    action,
    subjects: [],
    summary: "",
    revision: 1,
    causes: [],
    figures: {},
    rejected: [],
    count: 1,
  };
}

describe("audit trail", () => {
  it("keeps records of actions when there are many refusals", () => {
    const trail = new AuditTrail();
    trail.put(createRecord("move-1", "move"));
    for (let at = 0; at < 2 * MAX_KEPT_REQUEST_RECORDS; at += 1) {
      trail.put(createRecord(`refusal-${at}`, "refusal"));
    }
    const listed = trail.list();
    assert.is(listed.length, MAX_KEPT_REQUEST_RECORDS + 1);
    assert.is(listed[0]?.decisionId, "move-1");
  });

  it("drops the oldest actions beyond their bound", () => {
    const trail = new AuditTrail();
    for (let at = 0; at <= MAX_KEPT_ACTION_RECORDS; at += 1) {
      trail.put(createRecord(`move-${at}`, "move"));
    }
    assert.is(trail.list()[0]?.decisionId, "move-1");
  });

  it("lists records in the order of writing, with the newest version of each", () => {
    const trail = new AuditTrail();
    trail.put(createRecord("refusal-1", "refusal"));
    trail.put(createRecord("move-1", "move"));
    trail.put({ ...createRecord("refusal-1", "refusal"), count: 2 });
    const listed = trail.list().map(({ decisionId, count }) =>
      `${decisionId} ${count}`
    );
    assert.equal(listed, ["move-1 1", "refusal-1 2"]);
  });
});
