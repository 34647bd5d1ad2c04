import * as assert from "uvu/assert";
import type { WaveRecord } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  chooseMaintenanceTurns,
  MaintenanceBudget,
  type MaintenanceOutcome,
} from "./maintenance_turns.ts";

const NOW_MS = 10_000;

function createWave(
  waveId: number,
  changes: Partial<WaveRecord> = {},
): WaveRecord {
  return {
    waveId,
    vms: ["a"],
    maxAwayCount: 1,
    completeByMs: NOW_MS + waveId,
    progress: {},
    ...changes,
  };
}

function choose(
  waves: readonly WaveRecord[],
  outcomes: Readonly<Record<number, MaintenanceOutcome>> = {},
) {
  const findOutcome = (waveId: number) => outcomes[waveId] ?? "unknown";
  return chooseMaintenanceTurns({ waves, findOutcome, nowMs: NOW_MS });
}

describe("the turn of a VM in several waves", () => {
  describe("that no wave has ordered", () => {
    it("is that of the earliest deadline", () => {
      const turns = choose([createWave(2), createWave(1)]);
      assert.equal(turns.get("a"), { waveId: 1, isAway: false });
    });

    it("is that of a wave that can be in time", () => {
      const late = createWave(1, { completeByMs: NOW_MS - 1 });
      assert.is(choose([late, createWave(2)]).get("a")?.waveId, 2);
    });

    it("is not that of a wave in which it is done", () => {
      const done = createWave(1, { progress: { a: "done" } });
      assert.is(choose([done, createWave(2)]).get("a")?.waveId, 2);
      assert.is(choose([done]).get("a"), undefined);
    });
  });

  describe("that a wave has ordered", () => {
    const ordered = createWave(2, { progress: { a: "ordered" } });

    it("stays that wave's while the outcome is unknown", () => {
      const turns = choose([createWave(1), ordered]);
      assert.equal(turns.get("a"), { waveId: 2, isAway: true });
    });

    it("passes to another wave once the order is refused", () => {
      const turns = choose([createWave(1), ordered], { 2: "refused" });
      assert.equal(turns.get("a"), { waveId: 1, isAway: false });
    });

    it("comes back once no other wave needs it", () => {
      const turns = choose([ordered], { 2: "refused" });
      assert.equal(turns.get("a"), { waveId: 2, isAway: false });
    });

    it("is that of the confirmed order among several", () => {
      const other = createWave(1, { progress: { a: "ordered" } });
      const turns = choose([other, ordered], { 2: "confirmed" });
      assert.equal(turns.get("a"), { waveId: 2, isAway: true });
    });
  });
});

describe("the unavailable VMs of a wave", () => {
  const vms = ["a", "b", "c"];

  it("are those that it or another wave has ordered", () => {
    const first = createWave(1, { vms, progress: { a: "ordered" } });
    const second = createWave(2, {
      vms,
      maxAwayCount: 3,
      progress: { b: "ordered" },
    });
    const waves = [first, second];
    const budget = new MaintenanceBudget(waves, choose(waves));
    assert.is(budget.countLeft(first), 0);
    assert.is(budget.countLeft(second), 1);
  });

  it("are not those that are refused for another wave", () => {
    const first = createWave(1);
    const second = createWave(2, { progress: { a: "ordered" } });
    const waves = [first, second];
    const turns = choose(waves, { 2: "refused" });
    assert.is(new MaintenanceBudget(waves, turns).countLeft(first), 1);
  });

  it("stay within the limit of each wave that names them", () => {
    const narrow = createWave(1, { vms: ["a", "b"] });
    const wide = createWave(2, { vms, maxAwayCount: 2 });
    const waves = [narrow, wide];
    const budget = new MaintenanceBudget(waves, choose(waves));
    assert.equal(budget.spend(vms), ["a", "c"]);
    assert.not(budget.allows("b"));
  });
});
