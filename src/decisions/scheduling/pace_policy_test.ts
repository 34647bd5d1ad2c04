import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { BackOffPacePolicy, FullPacePolicy } from "./pace_policy.ts";

describe("pace of best-effort work", () => {
  const policy = new BackOffPacePolicy();

  it("is 0 while a task misses its latency target", () => {
    assert.is(policy.choose({ worstShare: 1.2, percent: 100 }), 0);
  });

  it("is halved near the latency target", () => {
    assert.is(policy.choose({ worstShare: 0.9, percent: 80 }), 40);
  });

  it("recovers in small steps up to full speed", () => {
    assert.is(policy.choose({ worstShare: 0.2, percent: 0 }), 10);
    assert.is(policy.choose({ worstShare: 0.2, percent: 95 }), 100);
  });

  it("is always full in the baseline", () => {
    assert.is(new FullPacePolicy().choose(), 100);
  });
});
