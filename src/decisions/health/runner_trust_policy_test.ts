import * as assert from "uvu/assert";
import type { RunnerEvidenceRecord } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  FailureTrustPolicy,
  FIRST_PROBE_PAUSE_MS,
  MAX_PROBE_PAUSE_MS,
} from "./runner_trust_policy.ts";

const LAST_FAILED_AT_MS = 5_000;

function createRecord(
  number: number,
  failedProbeCount = 0,
): RunnerEvidenceRecord {
  return {
    runnerId: `r${number}`,
    bornAtMs: 1,
    failures: [],
    lastFailedAtMs: LAST_FAILED_AT_MS,
    doubtfulSinceMs: 1_000 + number,
    failedProbeCount,
  };
}

function listSuspects(
  records: readonly RunnerEvidenceRecord[],
  runnerCount: number,
): string[] {
  return new FailureTrustPolicy().assess({ records, runnerCount })
    .map(({ evidence }) => evidence.runnerId);
}

describe("FailureTrustPolicy", () => {
  const records = [1, 2, 3, 4, 5].map((number) => createRecord(number));

  describe("limits how much of a pool is suspect", () => {
    it("to a third, those that are doubtful for longest", () => {
      assert.equal(listSuspects(records, 9), ["r1", "r2", "r3"]);
    });

    it("and takes those first whose probes failed", () => {
      const probed = [...records, createRecord(6, 1)];
      assert.equal(listSuspects(probed, 9), ["r6", "r1", "r2"]);
    });

    it("and trusts the only runner", () => {
      assert.equal(listSuspects([createRecord(1)], 1), []);
    });

    it("but suspects one of two", () => {
      assert.equal(listSuspects([createRecord(1)], 2), ["r1"]);
    });
  });

  it("trusts a runner that is not doubtful", () => {
    const { doubtfulSinceMs: _, ...trusted } = createRecord(1);
    assert.equal(listSuspects([trusted], 9), []);
  });

  it("lengthens the pause with each probe that failed, up to a limit", () => {
    const pausesMs = [0, 1, 2, 30].map((count) => {
      const [suspicion] = new FailureTrustPolicy().assess({
        records: [createRecord(1, count)],
        runnerCount: 9,
      });
      return (suspicion?.probeAtMs ?? 0) - LAST_FAILED_AT_MS;
    });
    assert.equal(pausesMs, [
      FIRST_PROBE_PAUSE_MS,
      2 * FIRST_PROBE_PAUSE_MS,
      4 * FIRST_PROBE_PAUSE_MS,
      MAX_PROBE_PAUSE_MS,
    ]);
  });
});
