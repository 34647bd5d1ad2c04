import * as assert from "uvu/assert";
import {
  createChange,
  cutLeaderOff,
  describe,
  FakeCluster,
  it,
} from "../testing/index.ts";
import { LEADER_LEASE_MS } from "./timing.ts";

const VOTERS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/** Voters that are cut off beside the leader: all others are needed. */
const CUT_COUNT = 3;
const SEED_COUNT = 20;
const SETTLE_MS = 4_000;
/** Time in which a broken connection is made again. */
const RECONNECT_MS = 300;
const WATCH_MS = 5_000;

describe("a leader that needs all voters it reaches", () => {
  /** Closes the connections of all followers to the newly elected leader. */
  async function resetFollowers(seed: number) {
    const cluster = new FakeCluster({ seed, voterIds: VOTERS });
    await cluster.start();
    await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    const { findLeader, reachable } = await cutLeaderOff(cluster, CUT_COUNT);
    const leaderId = findLeader() ?? "";
    await cluster.clock.advance(RECONNECT_MS);
    for (const follower of reachable) {
      cluster.network.reset(follower, leaderId);
    }
    return { cluster, findLeader, leaderId };
  }

  // Guards against followers that look for a leader among voters that do not
  // answer, when only the connection to the one that they follow was closed.
  it("goes on leading when its followers connect anew", async () => {
    const lost: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const { cluster, findLeader, leaderId } = await resetFollowers(seed);
      await cluster.clock.advance(WATCH_MS);
      if (findLeader() !== leaderId) {
        lost.push(`seed ${seed}`);
      }
    }
    assert.equal(lost, []);
  });

  it("commits within its lease once its followers connect anew", async () => {
    const { cluster, leaderId } = await resetFollowers(1);
    const replica = cluster.replica(leaderId);
    const change = createChange({ name: "zone-a" }, replica.state.revision);
    const committed = replica.propose(change);
    const answered = await cluster.clock.runUntil(committed, LEADER_LEASE_MS);
    assert.ok(answered.isOk);
  });
});
