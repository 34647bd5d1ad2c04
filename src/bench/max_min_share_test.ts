import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { computeEntitledSlots } from "./max_min_share.ts";

const SEED = 7;

describe("max-min shares", () => {
  it("meets small demands in full, and divides the rest by share", () => {
    const entitled = computeEntitledSlots([
      { name: "small", share: 1, wantedCount: 4 },
      { name: "one", share: 1, wantedCount: 500 },
      { name: "two", share: 2, wantedCount: 500 },
    ], 100);
    assert.equal([...entitled], [["small", 4], ["one", 32], ["two", 64]]);
  });

  it("never exceeds demand or capacity, and leaves no wanted slot idle", () => {
    const claimant = fc.record({
      share: fc.integer({ min: 1, max: 9 }),
      wantedCount: fc.integer({ min: 0, max: 200 }),
    });
    fc.assert(
      fc.property(
        fc.array(claimant, { minLength: 1, maxLength: 8 }),
        fc.integer({ min: 0, max: 400 }),
        (teams, slotCount) => {
          const claimants = teams.map((team, index) => ({
            ...team,
            name: `team-${index}`,
          }));
          const entitled = computeEntitledSlots(claimants, slotCount);
          const totalCount = [...entitled.values()]
            .reduce((sum, count) => sum + count, 0);
          const wantedCount = claimants
            .reduce((sum, team) => sum + team.wantedCount, 0);
          const expected = Math.min(slotCount, wantedCount);
          assert.ok(Math.abs(totalCount - expected) < 1e-6);
          for (const team of claimants) {
            const entitledCount = entitled.get(team.name) ?? 0;
            assert.ok(entitledCount <= team.wantedCount + 1e-6);
          }
        },
      ),
      { seed: SEED },
    );
  });
});
