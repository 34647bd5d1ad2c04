import * as assert from "uvu/assert";
import { beforeEach, describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c"];
const OBSERVERS = ["d", "e"];

describe("replica", () => {
  let cluster: FakeCluster;

  beforeEach(async () => {
    cluster = new FakeCluster({
      seed: 1,
      voterIds: VOTERS,
      observerIds: OBSERVERS,
    });
    await cluster.start();
    await cluster.waitForLeader();
  });

  describe("a new deployment", () => {
    it("accepts a change from any entry", async () => {
      for (const entryId of [...VOTERS, ...OBSERVERS]) {
        await cluster.clock.advance(1_000);
        const proposed = await cluster.propose(entryId, { name: entryId });
        assert.ok(proposed.isOk, JSON.stringify(proposed));
      }
      await cluster.clock.advance(1_000);
      const revisions = cluster.entryIds.map((entryId) =>
        cluster.replica(entryId).state.revision
      );
      assert.equal(revisions, [5, 5, 5, 5, 5]);
    });
  });
});
