import fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/index.ts";
import { OutlierHealthPolicy } from "./outlier_health_policy.ts";

const SEED = 13;
const POOL = "pool-1";
const FIRST_EJECTION_MS = 2_000;

interface Given {
  readonly server: string;
  readonly healthy: boolean;
  readonly work: string;
  readonly nowMs?: number;
}

function record(policy: OutlierHealthPolicy, given: Given) {
  return policy.recordResult({
    backendServerId: given.server,
    pool: POOL,
    healthy: given.healthy,
    fingerprint: given.work,
    nowMs: given.nowMs ?? 0,
  });
}

function failMany(policy: OutlierHealthPolicy, server: string, nowMs = 0) {
  for (let index = 0; index < 5; index += 1) {
    record(policy, {
      server,
      healthy: false,
      work: `${server}/${nowMs}/${index}`,
      nowMs,
    });
  }
}

function listEjected(
  policy: OutlierHealthPolicy,
  memberCount: number,
  nowMs = 0,
): string[] {
  const backendServerIds = Array.from(
    { length: memberCount },
    (_, index) => `s${index}`,
  );
  return policy.listEjected({ pool: POOL, backendServerIds, nowMs });
}

describe("OutlierHealthPolicy", () => {
  describe("evidence", () => {
    const cases: readonly {
      readonly title: string;
      readonly results: readonly Given[];
      readonly isEjected: boolean;
    }[] = [
      {
        title: "five different pieces of work fail",
        results: [1, 2, 3, 4, 5].map((at) => ({
          server: "s0",
          healthy: false,
          work: `w${at}`,
        })),
        isEjected: true,
      },
      {
        title: "one piece of work fails repeatedly",
        results: Array.from({ length: 30 }, () => ({
          server: "s0",
          healthy: false,
          work: "poison",
        })),
        isEjected: false,
      },
      {
        title: "a piece of work fails that succeeds elsewhere",
        results: [
          { server: "s1", healthy: true, work: "w" },
          ...Array.from({ length: 5 }, () => ({
            server: "s0",
            healthy: false,
            work: "w",
          })),
        ],
        isEjected: true,
      },
      {
        title: "the failed work fails elsewhere too",
        results: [1, 2, 3, 4, 5, 6].flatMap((at) => [
          { server: "s1", healthy: false, work: `w${at}` },
          { server: "s1", healthy: true, work: `good${at}` },
          { server: "s0", healthy: false, work: `w${at}` },
        ]),
        isEjected: false,
      },
      {
        title: "fewer than half of the work fails",
        results: Array.from({ length: 30 }, (_, index) => ({
          server: "s0",
          healthy: index % 3 !== 0,
          work: `w${index}`,
        })),
        isEjected: false,
      },
    ];
    for (const { title, results, isEjected } of cases) {
      it(`${title}: ${isEjected ? "ejected" : "kept"}`, () => {
        const policy = new OutlierHealthPolicy();
        results.forEach((result) => record(policy, result));
        assert.is(listEjected(policy, 6).includes("s0"), isEjected);
      });
    }
  });

  it("ejects at most a limited share of a pool", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 12 }),
        fc.array(
          fc.record({ server: fc.nat({ max: 11 }), healthy: fc.boolean() }),
          { maxLength: 300 },
        ),
        (memberCount, results) => {
          const policy = new OutlierHealthPolicy();
          results.forEach(({ server, healthy }, index) =>
            record(policy, { server: `s${server}`, healthy, work: `w${index}` })
          );
          const allowedCount = memberCount === 1
            ? 0
            : Math.max(1, Math.floor(memberCount / 3));
          assert.ok(listEjected(policy, memberCount).length <= allowedCount);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  it("probes once a second, then restores or ejects for twice as long", () => {
    const policy = new OutlierHealthPolicy();
    failMany(policy, "s0");
    assert.equal(listEjected(policy, 6, FIRST_EJECTION_MS - 1), ["s0"]);
    let nowMs = FIRST_EJECTION_MS;
    assert.equal(listEjected(policy, 6, nowMs), []);
    policy.recordStart("s0", nowMs);
    assert.equal(listEjected(policy, 6, nowMs + 500), ["s0"]);
    const again = record(policy, {
      server: "s0",
      healthy: false,
      work: "probe",
      nowMs,
    });
    assert.is(again?.ejectedMs, 2 * FIRST_EJECTION_MS);
    nowMs += 2 * FIRST_EJECTION_MS;
    for (const index of [1, 2, 3]) {
      assert.equal(listEjected(policy, 6, nowMs), []);
      policy.recordStart("s0", nowMs);
      record(policy, {
        server: "s0",
        healthy: true,
        work: `ok${index}`,
        nowMs,
      });
      nowMs += 1_000;
    }
    assert.is(policy.hasSuspects(), false);
  });
});
