import * as assert from "uvu/assert";
import { describe, it } from "../testing/index.ts";
import { findLostVoter } from "./lost_voters.ts";
import { GONE_VOTER_TIMEOUT_MS, LOST_VOTER_TIMEOUT_MS } from "./timing.ts";

const LOST_MS = LOST_VOTER_TIMEOUT_MS + 1;
const GONE_MS = GONE_VOTER_TIMEOUT_MS + 1;

/** Finds the lost one of voters that are silent for these times (ms). */
function find(
  silentMs: readonly number[],
  hasReplacement = false,
): string | undefined {
  const voters = silentMs.map((silentMs, at) => ({
    entryId: `v${at}`,
    storeId: `store-${at}`,
    silentMs,
  }));
  return findLostVoter({ voters, hasReplacement })?.entryId;
}

describe("lost voters", () => {
  it("are none while all are heard", () => {
    assert.is(find([0, 500, 500, 500, 500, 500]), undefined);
    assert.is(find([0, 500, 500], true), undefined);
  });

  describe("with a learner that has caught up", () => {
    it("are replaced once they no longer count as running", () => {
      assert.is(find([0, LOST_MS, 0], true), "v1");
      assert.is(find([0, LOST_MS, LOST_MS + 1], true), "v2");
    });
  });

  describe("without one", () => {
    it("are removed where the others need a smaller quorum then", () => {
      assert.is(find([0, 0, 0, 0, 0, LOST_MS]), "v5");
      assert.is(find([0, LOST_MS, LOST_MS + 1, 0, 0, 0]), "v2");
    });

    it("stay if the others need as many votes", () => {
      assert.is(find([0, 0, 0, 0, GONE_MS]), undefined);
      assert.is(find([0, 0, 0, LOST_MS, LOST_MS]), undefined);
      assert.is(find([0, 0, 0, LOST_MS, GONE_MS]), undefined);
    });

    it("are removed if two of them are gone for good", () => {
      assert.is(find([0, 0, 0, 0, 0, GONE_MS, GONE_MS]), "v5");
    });

    it("stay if few are left", () => {
      assert.is(find([0, 0, GONE_MS]), undefined);
      assert.is(find([0, GONE_MS]), undefined);
    });
  });
});
