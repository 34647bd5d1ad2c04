import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RunnerPaces } from "./runner_paces.ts";

const SOUND = { runnerId: "r1", bornAtMs: 1 };
const OTHER = { runnerId: "r2", bornAtMs: 1 };
const NOW_MS = 1_000;

describe("RunnerPaces", () => {
  function learn(): RunnerPaces {
    const paces = new RunnerPaces();
    for (let count = 0; count < 50; count += 1) {
      paces.record(SOUND, "q", 2, NOW_MS);
    }
    return paces;
  }

  function record(paces: RunnerPaces, ratios: readonly number[]): void {
    ratios.forEach((ratio) => paces.record(OTHER, "q", ratio, NOW_MS));
  }

  it("finds a runner whose newest runs all took far longer than usual", () => {
    const paces = learn();
    record(paces, [14, 14, 14]);
    assert.ok(paces.findSlowness(OTHER, NOW_MS));
    assert.is(paces.findSlowness(SOUND, NOW_MS), undefined);
  });

  it("takes single long tasks for the tail of their kind", () => {
    const paces = learn();
    record(paces, [14, 2, 14]);
    assert.is(paces.findSlowness(OTHER, NOW_MS), undefined);
  });

  it("allows for estimates that are wrong for the whole queue", () => {
    const paces = learn();
    record(paces, [2, 2, 2]);
    assert.is(paces.findSlowness(OTHER, NOW_MS), undefined);
  });

  it("tries a slow runner again after a while, and its next incarnation", () => {
    const paces = learn();
    record(paces, [14, 14, 14]);
    assert.is(paces.findSlowness(OTHER, NOW_MS + 10_001), undefined);
    assert.is(paces.findSlowness({ ...OTHER, bornAtMs: 2 }, NOW_MS), undefined);
  });

  it("ignores steps without an estimate", () => {
    const paces = learn();
    record(paces, [Infinity, Number.NaN, Infinity]);
    assert.is(paces.findSlowness(OTHER, NOW_MS), undefined);
  });
});
