import * as assert from "uvu/assert";
import type { CallOutcome, CallRecord } from "../stand_ins/index.ts";
import { describe, it } from "../testing/describe.ts";
import {
  auditCalls,
  averageRunning,
  forEachStart,
  type WorkItem,
} from "./call_audit.ts";

function createRecord(callId: string, outcome: CallOutcome): CallRecord {
  return {
    callId,
    team: "team-1",
    queue: "queue-1",
    entryUrl: "",
    sentAtMs: 0,
    endedAtMs: 10,
    outcome,
    status: 200,
    requestId: "",
    reason: "",
  };
}

function createWork(
  callId: string,
  startedAtMs: number,
  endedAtMs: number,
): WorkItem {
  return { callId, team: "team-1", startedAtMs, endedAtMs, backendIndex: 0 };
}

describe("call audit", () => {
  describe("auditCalls", () => {
    const cases: readonly [
      title: string,
      outcome: CallOutcome,
      runCount: number,
      expected: readonly [
        doubled: number,
        lost: number,
        truncated: number,
        falseNotRun: number,
      ],
    ][] = [
      ["a success that ran once", "succeeded", 1, [0, 0, 0, 0]],
      ["a success that ran twice", "succeeded", 2, [1, 0, 0, 0]],
      ["a success that never ran", "succeeded", 0, [0, 1, 0, 0]],
      ["a refusal of work that did not run", "notRun", 0, [0, 0, 0, 0]],
      ["a refusal of work that ran", "notRun", 1, [0, 0, 0, 1]],
      ["a broken connection", "broken", 1, [0, 1, 0, 0]],
      ["a connection never made", "unreached", 0, [0, 0, 0, 0]],
      ["an answer cut short", "truncated", 1, [0, 0, 1, 0]],
      ["an unknown outcome", "unknown", 1, [0, 0, 0, 0]],
    ];
    for (const [title, outcome, runCount, expected] of cases) {
      it(`audits ${title}`, () => {
        const workItems = Array.from(
          { length: runCount },
          () => createWork("call-1", 0, 5),
        );
        const audit = auditCalls([createRecord("call-1", outcome)], workItems);
        assert.equal(
          [
            audit.doubledCount,
            audit.lostCount,
            audit.truncatedCount,
            audit.falseNotRunCount,
          ],
          expected,
        );
      });
    }
  });

  describe("concurrency", () => {
    const workItems = [
      createWork("a", 0, 10),
      createWork("b", 5, 15),
      createWork("c", 10, Infinity),
    ];

    it("counts running items at each start, without those that end then", () => {
      const counts: number[] = [];
      forEachStart(workItems, (_, runningCount) => counts.push(runningCount));
      assert.equal(counts, [1, 2, 2]);
    });

    it("averages over the time span only", () => {
      const average = averageRunning(workItems, { fromMs: 0, untilMs: 20 });
      assert.is(average, 1.5);
    });
  });
});
