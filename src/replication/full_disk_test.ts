import * as assert from "uvu/assert";
import { beforeEach, describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c"];

describe("voters with full disks", () => {
  let cluster: FakeCluster;
  let leaderId: string;
  let followers: string[];

  beforeEach(async () => {
    cluster = new FakeCluster({ seed: 8, voterIds: VOTERS });
    await cluster.start();
    leaderId = await cluster.waitForLeader();
    followers = VOTERS.filter((entryId) => entryId !== leaderId);
    await cluster.clock.advance(2_000);
  });

  function setFull(entryId: string, isFull: boolean): void {
    cluster.find(entryId).disk.isFull = isFull;
  }

  describe("in an election", () => {
    // Guards against candidates that raise the term although their disk rejects
    // it, and so depose every leader that the others elect.
    it("do not raise a term that is not durable", async () => {
      const { term } = cluster.replica(leaderId).status();
      followers.forEach((entryId) => setFull(entryId, true));
      cluster.crash(leaderId);
      await cluster.clock.advance(10_000);
      for (const entryId of followers) {
        assert.is(cluster.replica(entryId).status().term, term, entryId);
      }
    });
  });
});
