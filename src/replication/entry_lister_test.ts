import * as assert from "uvu/assert";
import { beforeEach, describe, FakeCluster, it } from "../testing/index.ts";
import { FRESHNESS_LEASE_MS } from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const SETTLE_MS = 4_000;

describe("list of entries", () => {
  let cluster: FakeCluster;
  let leaderId: string;

  beforeEach(async () => {
    cluster = new FakeCluster({
      seed: 1,
      voterIds: VOTERS,
      observerIds: ["d"],
    });
    await cluster.start();
    leaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
  });

  async function readRole(entryId: string): Promise<string | undefined> {
    const listed = await cluster.clock.runUntil(
      cluster.replica(leaderId).listEntries(),
      SETTLE_MS,
    );
    const list = listed.unwrapOrElse((failure) => {
      throw new Error(failure.message);
    });
    return list.entries.find((entry) => entry.entryId === entryId)?.role;
  }

  describe("the time left of a lease", () => {
    // Guards against a change that counts as in force everywhere while an entry
    // that is cut off still serves from its lease.
    it("does not end because the leader's wall clock was set ahead", async () => {
      cluster.network.isolate("d");
      cluster.find(leaderId).clock.setAhead(SETTLE_MS);
      await cluster.clock.advance(FRESHNESS_LEASE_MS / 4);
      const listed = await cluster.clock.runUntil(
        cluster.replica(leaderId).listEntries(),
        SETTLE_MS,
      );
      const nowMs = cluster.find("d").clock.monotonicMs();
      const heldMs = cluster.replica("d").status().freshUntilMs - nowMs;
      const entry = listed.unwrapOr(undefined)?.entries
        .find(({ entryId }) => entryId === "d");
      assert.ok(heldMs > 0);
      assert.ok(Number(entry?.leaseLeftMs) >= heldMs);
    });
  });

  describe("roles", () => {
    it("tells leader, voters and observers apart", async () => {
      const follower = VOTERS.find((entryId) => entryId !== leaderId) ?? "";
      assert.is(await readRole(leaderId), "leader");
      assert.is(await readRole(follower), "voter");
      assert.is(await readRole("d"), "observer");
    });

    it("lists a voter with an emptied data folder as learner until it votes", async () => {
      const follower = VOTERS.find((entryId) => entryId !== leaderId) ?? "";
      const { storeId: oldId } = cluster.find(follower);
      cluster.wipe(follower);
      await cluster.startEntry(follower);
      const { storeId } = cluster.find(follower);
      assert.is.not(storeId, oldId);
      const seen = new Set<string | undefined>();
      for (let votes = false; !votes;) {
        await cluster.clock.advance(20);
        const role = await readRole(follower);
        const { voters } = cluster.replica(leaderId).state.membership;
        votes = voters.some((voter) => voter.storeId === storeId);
        const hasPulled = cluster.replica(follower).status().commitIndex > 0;
        if (!votes && hasPulled) {
          seen.add(role);
        }
      }
      assert.equal([...seen], ["learner"]);
    });
  });
});
